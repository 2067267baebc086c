#include "LibFleet/BatchOwners.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <iterator>

namespace Anvilyard::Fleet {

BatchOwners::BatchOwners(FleetView const &view)
{
    std::copy_if(view.instances.begin(), view.instances.end(), std::back_inserter(alive_), [](Instance const &instance) {
        return instance.state == InstanceState::Alive;
    });
}

Instance const *BatchOwners::ownerOf(std::string_view key) const
{
    auto const owner = rendezvousOwner(key, alive_, [](Instance const &instance) -> std::string const & { return instance.id.value(); });
    return owner == alive_.end() ? nullptr : &*owner;
}

std::vector<Instance> const &BatchOwners::instances() const &
{
    return alive_;
}

} // namespace Anvilyard::Fleet
