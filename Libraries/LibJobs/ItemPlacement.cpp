#include "LibJobs/ItemPlacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Anvilyard::Jobs {

ItemPlacement::ItemPlacement(ItemPlacementOptions options)
    : options_(std::move(options))
{
}

std::vector<SlotChange> ItemPlacement::plan(PoolName const &pool,
                                            std::span<PoolServer const> servers,
                                            ItemDemand const &demand,
                                            Serving::LoadTracker const &own,
                                            Serving::PeerTable const &peers,
                                            Instant now)
{
    std::vector<ServerSlots> assigned;
    std::size_t ownItems = 0;
    for (auto const &server : servers) {
        auto const ownLoad = own.at(server.id);
        ownItems += ownLoad.batch;
        if (server.isAssigned || ownLoad.batch > 0)
            assigned.push_back(slotsAt(server, ownLoad, peers));
    }
    if (demand.waiting == 0)
        return planSlots(options_.self, assigned, 0, options_.slots);
    auto &state = pools_[pool];
    if (auto const round = static_cast<std::uint64_t>(now.time_since_epoch() / options_.roundInterval); round != state.round)
        state = beginRound(round, servers, demand.tokens, own, peers, now);
    auto options = options_.slots;
    options.partLeft = state.part - std::min(state.part, ownItems);
    auto changes = planSlots(options_.self, assigned, demand.waiting, options);
    auto const room = roomAt(assigned, options);
    if (demand.waiting <= room || std::exchange(state.hasPlannedOthers, true))
        return changes;
    options.partLeft -= std::min(options.partLeft, room);
    if (state.isLoadHigh)
        options.reserve = options.highLoadReserve;
    auto others = planOthers(servers, demand.waiting - room, options, own, peers, state.round);
    changes.insert(changes.end(), others.begin(), others.end());
    return changes;
}

std::vector<SlotChange> ItemPlacement::planOthers(std::span<PoolServer const> servers,
                                                  std::size_t waitingItems,
                                                  SlotPlanOptions const &options,
                                                  Serving::LoadTracker const &own,
                                                  Serving::PeerTable const &peers,
                                                  std::uint64_t round) const
{
    std::vector<ServerSlots> others;
    bool const knowsFarLoad = peers.knowsFarLoad();
    for (auto const &server : servers) {
        bool const mayStart = server.acceptsNew && !server.isAssigned && (knowsFarLoad || !server.isFar);
        if (!mayStart || !peers.hasTurnAt(server.id, round))
            continue;
        others.push_back(slotsAt(server, own.at(server.id), peers));
        others.back().acceptsNew = true;
    }
    auto changes = planSlots(options_.self, others, waitingItems, options);
    // Preemptions are planned with those at assigned servers.
    std::erase_if(changes, [](SlotChange const &change) { return change.start == 0; });
    return changes;
}

ItemPlacement::Pool ItemPlacement::beginRound(std::uint64_t round,
                                              std::span<PoolServer const> servers,
                                              std::uint64_t ownTokens,
                                              Serving::LoadTracker const &own,
                                              Serving::PeerTable const &peers,
                                              Instant now) const
{
    std::uint64_t slots = 0;
    std::uint64_t online = 0;
    std::uint64_t batchSlots = 0;
    for (auto const &server : servers) {
        if (!server.acceptsNew)
            continue;
        auto const requests = own.at(server.id).online + peers.othersAt(server.id).online;
        slots += server.slots;
        online += requests;
        batchSlots += server.slots - std::min(server.slots, requests + options_.slots.reserve);
    }
    auto const allTokens = ownTokens + peers.waitingTokens(now);
    auto const part = allTokens > 0 ? static_cast<double>(batchSlots) * static_cast<double>(ownTokens) / static_cast<double>(allTokens) : 0;
    return {
        .round = round,
        .part = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(part))),
        .isLoadHigh = static_cast<double>(online) >= options_.slots.highLoad * static_cast<double>(slots),
    };
}

bool ItemPlacement::hasRoom(PoolServer const &server, Serving::LoadTracker const &own, Serving::PeerTable const &peers) const
{
    auto const ownLoad = own.at(server.id);
    auto const others = peers.othersAt(server.id);
    auto const occupied = ownLoad.online + ownLoad.batch + others.online + others.batch;
    return server.acceptsNew && occupied + options_.slots.reserve < server.slots;
}

std::size_t
ItemPlacement::serversWithRoom(std::span<PoolServer const> servers, Serving::LoadTracker const &own, Serving::PeerTable const &peers) const
{
    return static_cast<std::size_t>(std::ranges::count_if(servers, [&](PoolServer const &server) { return hasRoom(server, own, peers); }));
}

ServerSlots ItemPlacement::slotsAt(PoolServer const &server, Serving::InFlight const &own, Serving::PeerTable const &peers) const
{
    std::vector<BatchHolder> batch{{.runner = options_.self, .items = own.batch}};
    for (auto const &[runner, items] : peers.batchAt(server.id))
        batch.push_back({.runner = runner, .items = items});
    return {
        .server = server.id,
        .slots = server.slots,
        .online = own.online + peers.othersAt(server.id).online,
        .batch = std::move(batch),
        .farBatch = peers.farBatchAt(server.id),
        .acceptsNew = server.acceptsNew && server.isAssigned,
    };
}

} // namespace Anvilyard::Jobs
