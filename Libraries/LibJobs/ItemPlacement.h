#pragma once

#include "LibJobs/SlotPlan.h"
#include "LibServing/LoadTracker.h"
#include "LibServing/PeerTable.h"

#include <span>
#include <vector>

namespace Anvilyard::Jobs {

/// A server as far as it matters for the items of a runner.
struct PoolServer {
    ServerId id;
    std::uint32_t slots = 1;
    /// Whether this runner is one of the few that send items to the server.
    bool isAssigned = false;
    /// Whether new items may be sent there.
    bool acceptsNew = false;
};

/// Decides where a runner starts and preempts items, from its own load and the load that its peers report. Performs no I/O.
class ItemPlacement
{
public:
    explicit ItemPlacement(InstanceId self);

    /// `servers`: all servers of a pool that are in use. `waitingItems`: items of this runner that may be sent now.
    [[nodiscard]] std::vector<SlotChange> plan(std::span<PoolServer const> servers,
                                               std::size_t waitingItems,
                                               Serving::LoadTracker const &own,
                                               Serving::PeerTable const &peers) const;

private:
    [[nodiscard]] ServerSlots slotsAt(PoolServer const &server, Serving::InFlight const &own, Serving::PeerTable const &peers) const;

    InstanceId self_;
};

} // namespace Anvilyard::Jobs
