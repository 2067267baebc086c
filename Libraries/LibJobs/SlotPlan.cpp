#include "LibJobs/SlotPlan.h"

#include <algorithm>

namespace Anvilyard::Jobs {

namespace {

std::uint32_t takenAt(ServerSlots const &server)
{
    return server.online + server.ownBatch + server.othersBatch;
}

/// The own part of the items that are too many, rounded up: one item too few ended keeps a caller waiting.
std::uint32_t preemptionAt(ServerSlots const &server)
{
    auto const taken = takenAt(server);
    auto const batch = server.ownBatch + server.othersBatch;
    if (taken <= server.slots || batch == 0)
        return 0;
    auto const excess = std::min(taken - server.slots, batch);
    return (excess * server.ownBatch + batch - 1) / batch;
}

} // namespace

std::vector<SlotChange> planSlots(std::span<ServerSlots const> servers, std::size_t waitingItems, SlotPlanOptions const &options)
{
    std::vector<SlotChange> changes;
    std::vector<ServerSlots const *> open;
    for (auto const &server : servers) {
        if (auto const preempt = preemptionAt(server); preempt > 0)
            changes.push_back({.server = server.server, .preempt = preempt});
        else if (server.takesNew && takenAt(server) + options.reserve < server.slots)
            open.push_back(&server);
    }
    // The emptiest first, by share of its slots.
    std::stable_sort(open.begin(), open.end(), [](ServerSlots const *left, ServerSlots const *right) {
        return static_cast<std::uint64_t>(takenAt(*left)) * right->slots < static_cast<std::uint64_t>(takenAt(*right)) * left->slots;
    });
    for (auto const *server : open) {
        if (waitingItems == 0)
            break;
        auto const room = server->slots - options.reserve - takenAt(*server);
        auto const start = static_cast<std::uint32_t>(std::min<std::size_t>({room, options.startsMost, waitingItems}));
        waitingItems -= start;
        changes.push_back({.server = server->server, .start = start});
    }
    return changes;
}

} // namespace Anvilyard::Jobs
