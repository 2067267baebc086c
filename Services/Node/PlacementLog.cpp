#include "Services/Node/PlacementLog.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Node {

void logNoPlacement(NodeContext const &context, UnplacedRequest const &unplaced, Serving::Placement const &placement)
{
    auto const milliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    Observe::log(Observe::Events::NodeNoPlacement,
                 {{"request", unplaced.request.value()},
                  {"pool", unplaced.pool.value()},
                  {"servers", std::to_string(placement.servers)},
                  {"excluded", std::to_string(unplaced.triedServers)},
                  {"ejected", std::to_string(context.health.ejected().size())},
                  {"shortest_wait_ms", milliseconds(placement.shortestWait)},
                  {"mean_run_ms", milliseconds(context.placement.meanRun(unplaced.pool))},
                  {"target_ms", milliseconds(unplaced.latencyTarget)},
                  {"retry_after_ms", milliseconds(placement.retryAfter)},
                  {"peers", std::to_string(context.peers.live().size())},
                  {"state_version", context.routes ? std::to_string(context.routes->state().version.value()) : "none"}});
}

} // namespace Anvilyard::Node
