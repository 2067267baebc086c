#pragma once

#include "Services/Node/HealthProber.h"
#include "Services/Node/NodeContext.h"

#include <map>
#include <vector>

namespace Anvilyard::Node {

/// Finds out what became of sends of items that were not answered: whether their servers crashed, and whether responses of a server arrive
/// here at all.
class UnansweredItems
{
public:
    struct Send {
        JobId job;
        std::size_t index = 0;
        Serving::ServerRecord server;
        Instant endedAt;
    };

    UnansweredItems(NodeContext &context, HealthProber &health);

    void add(Send send);
    /// Returns the sends whose servers have crashed, each once.
    [[nodiscard]] std::vector<Send> takeCrashed(Instant now);
    /// Whether responses of the server have arrived since a send to any server was not answered. If that is not known, it is found out.
    [[nodiscard]] bool isPathKnown(Serving::ServerRecord const &server, Instant unansweredAt);

private:
    NodeContext &context_;
    HealthProber &health_;
    std::vector<Send> sends_;
    /// When a check began to which the server responded.
    std::map<ServerId, Instant> respondedAt_;
};

} // namespace Anvilyard::Node
