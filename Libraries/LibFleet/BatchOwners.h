#pragma once

#include "LibFleet/FleetView.h"

#include <string_view>
#include <vector>

namespace Anvilyard::Fleet {

/// Determines which instance owns the batch slots of a backend server. Entries report online requests to the owner and the
/// owner fills the slots, so both must use the same rule.
class BatchOwners
{
public:
    /// Suspected and leaving instances own nothing, because they may no longer be there to yield the slots.
    explicit BatchOwners(FleetView const &view);

    /// Returns the owner by rendezvous hashing, or `nullptr` if no instance is alive. Valid during the lifetime of this
    /// object.
    [[nodiscard]] Instance const *ownerOf(std::string_view key) const;
    /// Deleted for temporaries, because a loop over the list would outlive them.
    [[nodiscard]] std::vector<Instance> const &instances() const &;
    std::vector<Instance> const &instances() const && = delete;

private:
    std::vector<Instance> alive_;
};

} // namespace Anvilyard::Fleet
