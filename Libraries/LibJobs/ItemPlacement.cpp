#include "LibJobs/ItemPlacement.h"

namespace Anvilyard::Jobs {

ItemPlacement::ItemPlacement(InstanceId self)
    : self_(std::move(self))
{
}

std::vector<SlotChange> ItemPlacement::plan(std::span<PoolServer const> servers,
                                            std::size_t waitingItems,
                                            Serving::LoadTracker const &own,
                                            Serving::PeerTable const &peers) const
{
    std::vector<ServerSlots> assigned;
    for (auto const &server : servers) {
        auto const ownLoad = own.at(server.id);
        if (server.isAssigned || ownLoad.batch > 0)
            assigned.push_back(slotsAt(server, ownLoad, peers));
    }
    return planSlots(self_, assigned, waitingItems, {});
}

ServerSlots ItemPlacement::slotsAt(PoolServer const &server, Serving::InFlight const &own, Serving::PeerTable const &peers) const
{
    std::vector<BatchHolder> batch{{.runner = self_, .items = own.batch}};
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
