#pragma once

#include "LibJobs/SlotPlan.h"
#include "LibServing/LoadTracker.h"
#include "LibServing/PeerTable.h"

#include <map>
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

/// Items of a runner that wait or run.
struct ItemDemand {
    /// Items that may be sent now.
    std::size_t waiting = 0;
    /// Tokens of all items of all pools that wait or run.
    std::uint64_t tokens = 0;
};

struct ItemPlacementOptions {
    InstanceId self;
    /// Interval at which the own part of a pool is determined anew. In a large fleet the load of other data centres arrives this often.
    Duration partInterval = 250ms;
    SlotPlanOptions slots = {};
};

/// Decides where a runner starts and preempts items, from its own load and the load that its peers report. Designed for backlogs of several
/// runners in data centres that differ in servers: each runner may fill a part of the pool's slots that corresponds to its part of the
/// waiting tokens of all runners, whoever sees a free slot first. Performs no I/O.
class ItemPlacement
{
public:
    explicit ItemPlacement(ItemPlacementOptions options);

    /// `servers`: all servers of the pool that are in use.
    [[nodiscard]] std::vector<SlotChange> plan(PoolName const &pool,
                                               std::span<PoolServer const> servers,
                                               ItemDemand const &demand,
                                               Serving::LoadTracker const &own,
                                               Serving::PeerTable const &peers,
                                               Instant now);

private:
    [[nodiscard]] ServerSlots slotsAt(PoolServer const &server, Serving::InFlight const &own, Serving::PeerTable const &peers) const;

    /// Number of slots that this runner may fill if others have waiting items as well; at least one. The parts of all runners add up to
    /// all slots, and a part is less than the runner's items only if all items together exceed the slots.
    [[nodiscard]] std::size_t partOf(std::span<PoolServer const> servers,
                                     std::uint64_t ownTokens,
                                     Serving::LoadTracker const &own,
                                     Serving::PeerTable const &peers,
                                     Instant now) const;

    struct Part {
        std::size_t slots = 0;
        Instant validUntil = Instant::min();
    };

    ItemPlacementOptions options_;
    /// Reading the load of hundreds of servers at each change would take a tenth of the processor time of a runner.
    std::map<PoolName, Part> parts_;
};

} // namespace Anvilyard::Jobs
