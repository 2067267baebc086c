#pragma once

#include "LibJobs/CarefulPlacement.h"
#include "LibJobs/ItemPlacement.h"
#include "Services/Node/HealthProber.h"
#include "Services/Node/NodeContext.h"

#include <span>
#include <vector>

namespace Anvilyard::Node {

/// Finds out what became of sends of items that were not answered, and where the items are sent next.
class UnansweredItems
{
public:
    struct Send {
        JobId job;
        std::size_t index = 0;
        Serving::ServerRecord server;
        Instant endedAt;
    };

    UnansweredItems(NodeContext &context, HealthProber &health, Jobs::ItemPlacement const &placement);

    void add(Send send);
    /// Returns the sends whose servers have crashed, each once.
    [[nodiscard]] std::vector<Send> takeCrashed(Instant now);
    /// Records that the server has answered an item that was sent at this time, or a part of it.
    void onAnswered(ServerId const &server, Instant sentAt);
    /// Records that the exchange of an item with the server broke.
    void onBroken(ServerId const &server);
    /// Records that one of these items is sent again.
    void onSentAgain(Serving::ServerRecord const &server, Instant now);
    /// Chooses the server for one of these items; `std::nullopt` if it has to wait. `servers`: those of the item's pool. `unansweredAt`:
    /// end of its last send.
    [[nodiscard]] std::optional<Serving::ServerRecord>
    chooseServer(PoolName const &pool, std::span<Jobs::PoolServer const> servers, Instant unansweredAt, Instant now);

private:
    void check(ServerId const &server, Instant now);

    NodeContext &context_;
    HealthProber &health_;
    Jobs::ItemPlacement const &placement_;
    Jobs::CarefulPlacement careful_{{}};
    std::vector<Send> sends_;
};

} // namespace Anvilyard::Node
