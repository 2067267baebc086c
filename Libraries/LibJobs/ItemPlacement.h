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
    /// Whether it is in another data centre.
    bool isFar = false;
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
    /// Interval at which the own part of a pool is determined anew, and at which items are started at servers that are not assigned. In a
    /// large fleet the load of other data centres arrives this often.
    Duration roundInterval = 250ms;
    SlotPlanOptions slots = {};
};

/// Decides where a runner starts and preempts items, from its own load and the load that its peers report. Designed for backlogs of several
/// runners in data centres that differ in servers: each runner may fill a part of the pool's slots that corresponds to its part of the
/// waiting tokens of all runners, whoever sees a free slot first. Items for which the assigned servers have no room start at others that
/// have. Performs no I/O.
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

    /// Whether the server accepts new items and has a free slot beside the reserve.
    [[nodiscard]] bool hasRoom(PoolServer const &server, Serving::LoadTracker const &own, Serving::PeerTable const &peers) const;
    /// Number of such servers.
    [[nodiscard]] std::size_t
    serversWithRoom(std::span<PoolServer const> servers, Serving::LoadTracker const &own, Serving::PeerTable const &peers) const;

private:
    [[nodiscard]] ServerSlots slotsAt(PoolServer const &server, Serving::InFlight const &own, Serving::PeerTable const &peers) const;

    struct Pool {
        std::uint64_t round = 0;
        /// Number of slots that this runner may fill if others have waiting items as well; at least one. The parts of all runners add up to
        /// all slots, and a part is less than the runner's items only if all items together exceed the slots.
        std::size_t part = 1;
        bool isLoadHigh = false;
        /// Whether starts at servers that are not assigned were planned in this round.
        bool hasPlannedOthers = false;
    };

    [[nodiscard]] Pool beginRound(std::uint64_t round,
                                  std::span<PoolServer const> servers,
                                  std::uint64_t ownTokens,
                                  Serving::LoadTracker const &own,
                                  Serving::PeerTable const &peers,
                                  Instant now) const;
    /// Starts at servers that are not assigned. Their load may be known half a second late, so the runners take turns at each.
    [[nodiscard]] std::vector<SlotChange> planOthers(std::span<PoolServer const> servers,
                                                     std::size_t waitingItems,
                                                     SlotPlanOptions const &options,
                                                     Serving::LoadTracker const &own,
                                                     Serving::PeerTable const &peers,
                                                     std::uint64_t round) const;

    ItemPlacementOptions options_;
    /// Determined once a round: there may be hundreds of servers, and their load changes many times a second.
    std::map<PoolName, Pool> pools_;
};

} // namespace Anvilyard::Jobs
