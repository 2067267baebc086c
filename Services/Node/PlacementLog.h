#pragma once

#include "Services/Node/NodeContext.h"

namespace Anvilyard::Node {

/// A request for which no server was found.
struct UnplacedRequest {
    RequestId request;
    PoolName pool;
    /// Number of servers that were not asked again.
    std::size_t triedServers = 0;
    Duration latencyTarget{0};
};

/// Logs the inputs of the decision so that a refusal can be explained later.
void logNoPlacement(NodeContext const &context, UnplacedRequest const &unplaced, Serving::Placement const &placement);

} // namespace Anvilyard::Node
