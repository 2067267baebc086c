#include "LibJobs/SlotPlan.h"

#include <algorithm>

namespace Anvilyard::Jobs {

namespace {

std::uint32_t batchAt(ServerSlots const &server)
{
    std::uint32_t sum = 0;
    for (auto const &holder : server.batch)
        sum += holder.items;
    return sum;
}

std::uint32_t occupiedAt(ServerSlots const &server)
{
    return server.online + batchAt(server) + server.farBatch;
}

/// Returns the number of own items to preempt. Each excess item is taken from the runner that has the most items left at the server.
/// Among equals, the first by name is chosen.
std::uint32_t preemptionAt(InstanceId const &self, ServerSlots const &server, std::uint32_t freedAhead)
{
    auto const occupied = occupiedAt(server) + freedAhead;
    if (occupied <= server.slots)
        return 0;
    auto holders = server.batch;
    auto const excess = std::min(occupied - server.slots, batchAt(server));
    std::uint32_t own = 0;
    for (std::uint32_t preempted = 0; preempted < excess; ++preempted) {
        auto const largest = std::max_element(holders.begin(), holders.end(), [](BatchHolder const &left, BatchHolder const &right) {
            return left.items != right.items ? left.items < right.items : left.runner > right.runner;
        });
        --largest->items;
        own += largest->runner == self ? 1 : 0;
    }
    return own;
}

bool isLoadHigh(std::span<ServerSlots const> servers, double highLoad)
{
    std::uint64_t online = 0;
    std::uint64_t slots = 0;
    for (auto const &server : servers) {
        online += server.online;
        slots += server.slots;
    }
    return static_cast<double>(online) >= highLoad * static_cast<double>(slots);
}

} // namespace

std::vector<SlotChange>
planSlots(InstanceId const &self, std::span<ServerSlots const> servers, std::size_t waitingItems, SlotPlanOptions const &options)
{
    std::vector<SlotChange> changes;
    std::vector<ServerSlots const *> open;
    bool const isHigh = isLoadHigh(servers, options.highLoad);
    auto const reserve = isHigh ? options.highLoadReserve : options.reserve;
    auto const freedAhead = isHigh ? options.freedAhead : 0;
    for (auto const &server : servers) {
        if (auto const preempt = preemptionAt(self, server, freedAhead); preempt > 0)
            changes.push_back({.server = server.server, .preempt = preempt});
        else if (server.acceptsNew && occupiedAt(server) + reserve < server.slots)
            open.push_back(&server);
    }
    // The server with the lowest share of occupied slots comes first.
    std::stable_sort(open.begin(), open.end(), [](ServerSlots const *left, ServerSlots const *right) {
        return static_cast<std::uint64_t>(occupiedAt(*left)) * right->slots < static_cast<std::uint64_t>(occupiedAt(*right)) * left->slots;
    });
    auto partLeft = options.partLeft;
    for (auto const *server : open) {
        if (waitingItems == 0)
            break;
        std::size_t const freeSlots = server->slots - reserve - occupiedAt(*server);
        auto const beyondPart = freeSlots - std::min<std::size_t>(freeSlots, options.sharedReserve);
        auto const allowed = std::max(std::min(freeSlots, partLeft), beyondPart);
        auto const start = std::min<std::size_t>({allowed, options.maxStarts, waitingItems});
        if (start == 0)
            continue;
        waitingItems -= start;
        partLeft -= std::min(partLeft, start);
        changes.push_back({.server = server->server, .start = static_cast<std::uint32_t>(start)});
    }
    return changes;
}

std::size_t roomAt(std::span<ServerSlots const> servers, SlotPlanOptions const &options)
{
    auto const reserve = isLoadHigh(servers, options.highLoad) ? options.highLoadReserve : options.reserve;
    std::size_t room = 0;
    std::size_t roomBeyondPart = 0;
    for (auto const &server : servers) {
        auto const used = occupiedAt(server) + reserve;
        if (!server.acceptsNew || used >= server.slots)
            continue;
        auto const freeSlots = server.slots - used;
        room += freeSlots;
        roomBeyondPart += freeSlots - std::min(freeSlots, options.sharedReserve);
    }
    return std::max(std::min(room, options.partLeft), roomBeyondPart);
}

} // namespace Anvilyard::Jobs
