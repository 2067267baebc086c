#include "LibJobs/ItemPlacement.h"

#include <algorithm>
#include <cmath>

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
    auto options = options_.slots;
    if (demand.waiting > 0) {
        auto &part = parts_[pool];
        if (now >= part.validUntil)
            part = {.slots = partOf(servers, demand.tokens, own, peers, now), .validUntil = now + options_.partInterval};
        options.partLeft = part.slots - std::min(part.slots, ownItems);
    }
    return planSlots(options_.self, assigned, demand.waiting, options);
}

std::size_t ItemPlacement::partOf(std::span<PoolServer const> servers,
                                  std::uint64_t ownTokens,
                                  Serving::LoadTracker const &own,
                                  Serving::PeerTable const &peers,
                                  Instant now) const
{
    std::uint64_t slots = 0;
    for (auto const &server : servers) {
        if (!server.acceptsNew)
            continue;
        auto const used = own.at(server.id).online + peers.othersAt(server.id).online + options_.slots.reserve;
        slots += server.slots - std::min(server.slots, used);
    }
    auto const allTokens = ownTokens + peers.waitingTokens(now);
    auto const part = allTokens > 0 ? static_cast<double>(slots) * static_cast<double>(ownTokens) / static_cast<double>(allTokens) : 0;
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(part)));
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
