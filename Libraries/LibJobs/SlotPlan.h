#pragma once

#include "LibCore/Ids.h"

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace Anvilyard::Jobs {

/// Items of one runner at a server.
struct BatchHolder {
    InstanceId runner;
    std::uint32_t items = 0;
};

/// Occupancy of one server in the view of a runner.
struct ServerSlots {
    ServerId server;
    std::uint32_t slots = 1;
    /// Online requests of all instances.
    std::uint32_t online = 0;
    /// Items of this runner and of the runners with known reports.
    std::vector<BatchHolder> batch = {};
    /// Items of other data centres. Which runner has them is unknown.
    std::uint32_t farBatch = 0;
    /// Whether new items may be sent there.
    bool acceptsNew = true;
};

struct SlotPlanOptions {
    /// Number of slots of each server that batch items never use. The first online requests of a burst start there while items are
    /// preempted for the following ones.
    std::uint32_t reserve = 1;
    /// Share of slots occupied by online requests above which load is considered high. From there on, most requests of a peak get a slot
    /// only when an item is preempted.
    double highLoad = 0.5;
    /// Reserve at high load. A free slot is needed by the next online request within a tenth of a second, so an item started there would
    /// process its prompt only to be preempted.
    std::uint32_t highLoadReserve = 3;
    /// Number of slots of each server that are freed in advance at high load, so that the next online request does not wait for a
    /// preemption.
    std::uint32_t freedAhead = 1;
    /// Maximum number of items that one runner starts at a server in one round. Other runners receive the new counts before the next
    /// round.
    std::uint32_t maxStarts = 1;
    /// Number of items that this runner may start before it has its part of the slots. Beyond it, the runner leaves sharedReserve more
    /// slots of each server to runners that have less. Without this a runner that sees the end of its own item at once fills the slot anew
    /// before others see it.
    std::size_t partLeft = std::numeric_limits<std::size_t>::max();
    std::uint32_t sharedReserve = 2;
};

struct SlotChange {
    ServerId server;
    /// Number of items to start.
    std::uint32_t start = 0;
    /// Number of own items to preempt.
    std::uint32_t preempt = 0;
};

/// Divides the slots of servers between online requests and batch items. Designed for online bursts that arrive within a few hundred
/// milliseconds. Engines have no priorities, so an item is preempted for each online request without a slot. Runners derive from their
/// common view which of them preempts it, so that one request costs one item rather than one of each runner. Performs no I/O.
std::vector<SlotChange>
planSlots(InstanceId const &self, std::span<ServerSlots const> servers, std::size_t waitingItems, SlotPlanOptions const &options);

/// Number of items that this runner may start at the servers in this and later rounds if their load stays as it is.
std::size_t roomAt(std::span<ServerSlots const> servers, SlotPlanOptions const &options);

} // namespace Anvilyard::Jobs
