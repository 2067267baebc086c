#include "Services/Node/NodeMetrics.h"

namespace Anvilyard::Node {

NodeMetrics::NodeMetrics(Observe::MetricsRegistry &registry)
    : requests(registry.counter("anvilyard_node_requests_total", "Online requests taken from callers"))
    , refusals(registry.counter("anvilyard_node_refusals_total", "Requests answered with a refusal of our own"))
    , sends(registry.counter("anvilyard_node_sends_total", "Sends of online requests to servers"))
    , resumes(registry.counter("anvilyard_node_resumes_total", "Streams that another send went on with"))
    , brokenStreams(registry.counter("anvilyard_node_broken_streams_total", "Answers broken off after a part was relayed"))
    , callersGone(registry.counter("anvilyard_node_callers_gone_total", "Requests cancelled because their caller had closed"))
    , itemStarts(registry.counter("anvilyard_node_item_starts_total", "Sends of batch items to servers"))
    , itemPreemptions(registry.counter("anvilyard_node_item_preemptions_total", "Items ended to make room for online requests"))
    , segmentsStored(registry.counter("anvilyard_node_segments_stored_total", "Writes of batch results that were stored"))
    , jobsAccepted(registry.counter("anvilyard_node_jobs_accepted_total", "Batch jobs acknowledged"))
    , firstEventSeconds(registry.distribution("anvilyard_node_first_event_seconds", "From a streaming request to its first event"))
    , requestSeconds(registry.distribution("anvilyard_node_request_seconds", "From an online request to the end of its answer"))
{
}

} // namespace Anvilyard::Node
