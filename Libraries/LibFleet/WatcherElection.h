#pragma once

#include "LibCore/Ids.h"
#include "LibFleet/PeerMessages.h"

#include <optional>
#include <vector>

namespace Anvilyard::Fleet {

/// Number of platform watchers in each data centre: two, because one may fail or lag.
inline constexpr std::size_t WatchersPerDataCentre = 2;

/// Position of a watcher among all watchers of the fleet, which determines its turn.
struct WatcherPlace {
    std::size_t rank = 0;
    std::size_t count = 1;
};

/// Returns the position of `self` if it is one of the watchers of its data centre, chosen by rendezvous hashing among the
/// instances alive there. Instances with different views of the membership may temporarily elect one watcher more, which
/// costs a few reads and does no harm.
std::optional<WatcherPlace> electWatcher(InstanceRecord const &self, std::vector<InstanceRecord const *> const &livePeers);

} // namespace Anvilyard::Fleet
