#include "Services/Entry/EntryMetrics.h"

namespace Anvilyard::Entry {

EntryMetrics::EntryMetrics(Observe::MetricsRegistry &registry)
    : requests(registry.counter("anvilyard_entry_requests_total", "Requests accepted from callers."))
    , refusals(registry.counter("anvilyard_entry_refusals_total", "Requests answered with a refusal."))
    , retries(registry.counter("anvilyard_entry_retries_total", "Sends after the first one of a request."))
    , resumes(registry.counter("anvilyard_entry_resumes_total", "Broken streams that an engine was asked to resume."))
    , brokenStreams(registry.counter("anvilyard_entry_broken_streams_total", "Answers that were broken off after a part was relayed."))
    , callersGone(registry.counter("anvilyard_entry_callers_gone_total", "Requests cancelled because their caller had closed."))
    , relayedEvents(registry.counter("anvilyard_entry_relayed_events_total", "Server-sent events relayed to callers."))
    , requestSeconds(registry.distribution("anvilyard_entry_request_seconds", "Time from a request to the end of its answer."))
    , firstPieceSeconds(
          registry.distribution("anvilyard_entry_first_piece_seconds", "Time from a request to the first piece of its answer."))
    , queueSeconds(registry.distribution("anvilyard_entry_queue_seconds", "Time that requests waited for room on a server."))
{
}

} // namespace Anvilyard::Entry
