#include "Services/Node/NodeMetrics.h"

namespace Anvilyard::Node {

namespace {

/// The histograms of a route take several kilobytes. An installation has only a few routes at a time.
constexpr std::size_t MaxRouteLabels = 64;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RouteMetrics::RouteMetrics(Observe::MetricsRegistry &registry, std::string label)
    : firstEventSeconds(registry.histogram(
        "anvilyard_node_first_event_seconds", "From a streaming request to its first event", Observe::LatencyBounds, {{"route", label}}))
    , eventGapSeconds(registry.histogram(
          "anvilyard_node_event_gap_seconds", "Between two reads of events of one answer", Observe::LatencyBounds, {{"route", label}}))
    , registry_(registry)
    , label_(std::move(label))
    , requestSeconds_(registry.histogram(
          "anvilyard_node_request_seconds", "From an online request to the end of its answer", Observe::LatencyBounds, {{"route", label_}}))
{
}

void RouteMetrics::onEnded(std::string_view outcome, Duration requestDuration)
{
    auto found = ended_.find(outcome);
    if (found == ended_.end()) {
        auto &counter = registry_.counter("anvilyard_node_requests_ended_total",
                                          "Online requests by route and how they ended",
                                          {{"route", label_}, {"outcome", std::string(outcome)}});
        found = ended_.emplace(outcome, &counter).first;
    }
    found->second->add();
    requestSeconds_.record(toSeconds(requestDuration));
}

NodeMetrics::NodeMetrics(Observe::MetricsRegistry &registry)
    : registry_(registry)
    , requests(registry.counter("anvilyard_node_requests_total", "Online requests taken from callers"))
    , sends(registry.counter("anvilyard_node_sends_total", "Sends of online requests to servers"))
    , limitedSends(
          registry.counter("anvilyard_node_limited_sends_total", "Sends of online requests and batch items to servers that state a limit"))
    , relayedSends(registry.counter("anvilyard_node_relayed_sends_total",
                                    "Sends of online requests to other instances, as the servers were out of reach"))
    , relayRefusals(registry.counter("anvilyard_node_relay_refusals_total", "Sends that the other instance could not take"))
    , relayedRequests(
          registry.counter("anvilyard_node_relayed_requests_total", "Online requests that other instances passed on to this one"))
    , resumes(registry.counter("anvilyard_node_resumes_total", "Streams that another send went on with"))
    , unfinishedEvents(registry.counter("anvilyard_node_unfinished_events_total", "Sends of streams that ended within an event"))
    , lostResponses(registry.counter("anvilyard_node_lost_responses_total",
                                     "Sends of streams that ended with their connection after the head and before an answer"))
    , callersGone(registry.counter("anvilyard_node_callers_gone_total", "Requests cancelled because their caller had closed"))
    , itemStarts(registry.counter("anvilyard_node_item_starts_total", "Sends of batch items to servers"))
    , itemPreemptions(registry.counter("anvilyard_node_item_preemptions_total", "Items ended to make room for online requests"))
    , unansweredItems(
          registry.counter("anvilyard_node_unanswered_items_total", "Sends of batch items that reached a server and were not answered"))
    , segmentsStored(registry.counter("anvilyard_node_segments_stored_total", "Writes of batch results that were stored"))
    , segmentsRefused(
          registry.counter("anvilyard_node_segments_refused_total", "Writes of batch results that the store refused for what they hold"))
    , jobsAccepted(registry.counter("anvilyard_node_jobs_accepted_total", "Batch jobs acknowledged"))
    , expectedWaitSeconds(registry.histogram("anvilyard_node_expected_wait_seconds",
                                             "Shortest expected wait for a slot at the arrival of online requests",
                                             Observe::LatencyBounds))
{
}

RouteMetrics &NodeMetrics::route(Serving::RouteName const &route)
{
    bool const isNew = !routes_.contains(route);
    auto const name = isNew && routes_.size() >= MaxRouteLabels ? Serving::RouteName("other") : route;
    return routes_.try_emplace(name, registry_, name.value()).first->second;
}

void NodeMetrics::onAdmissionRefused(std::string_view reason, std::size_t urgency)
{
    registry_
        .counter("anvilyard_node_admission_refusals_total",
                 "Online requests of customers refused because capacity was short, by the reason and the urgency",
                 {{"reason", std::string(reason)}, {"urgency", std::to_string(urgency)}})
        .add();
}

void NodeMetrics::onBrokenStream(std::string_view reason)
{
    auto found = brokenStreams_.find(reason);
    if (found == brokenStreams_.end()) {
        auto &counter = registry_.counter(
            "anvilyard_node_broken_streams_total", "Streams broken off by this node, by the reason", {{"reason", std::string(reason)}});
        found = brokenStreams_.emplace(reason, &counter).first;
    }
    found->second->add();
}

void NodeMetrics::onPermit(std::string_view outcome)
{
    registry_
        .counter("anvilyard_node_permits_total",
                 "Permits requested for sends to limited servers, by what became of them",
                 {{"outcome", std::string(outcome)}})
        .add();
}

void NodeMetrics::onConnectionClosed(Http::ConnectionClose close)
{
    registry_
        .counter("anvilyard_node_connections_closed_total",
                 "Connections of callers that ended within a request, or that this node closed, by their state and the reason",
                 {{"state", Http::nameOf(close.state)}, {"reason", Http::nameOf(close.reason)}})
        .add();
}

void NodeMetrics::onAuthenticated(std::string_view outcome)
{
    auto found = authentications_.find(outcome);
    if (found == authentications_.end()) {
        auto &counter = registry_.counter(
            "anvilyard_node_authentications_total", "Calls whose key was checked, by the outcome", {{"outcome", std::string(outcome)}});
        found = authentications_.emplace(outcome, &counter).first;
    }
    found->second->add();
}

void NodeMetrics::onRefused(std::string_view reason)
{
    auto found = refusals_.find(reason);
    if (found == refusals_.end()) {
        auto &counter = registry_.counter(
            "anvilyard_node_refusals_total", "Requests answered with a refusal of our own, by its code", {{"reason", std::string(reason)}});
        found = refusals_.emplace(reason, &counter).first;
    }
    found->second->add();
}

} // namespace Anvilyard::Node
