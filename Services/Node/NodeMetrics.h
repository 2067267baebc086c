#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"
#include "LibObserve/Metrics.h"
#include "LibServing/DesiredState.h"

#include <map>
#include <string>
#include <string_view>

namespace Anvilyard::Node {

/// Metrics of the online requests of one route.
class RouteMetrics
{
public:
    RouteMetrics(Observe::MetricsRegistry &registry, std::string label);

    /// `outcome` is one of a small fixed set, the same as in the log.
    void onEnded(std::string_view outcome, Duration requestDuration);

    Observe::Histogram &firstEventSeconds;
    Observe::Histogram &eventGapSeconds;

private:
    Observe::MetricsRegistry &registry_;
    std::string label_;
    Observe::Histogram &requestSeconds_;
    std::map<std::string, Observe::Counter *, std::less<>> ended_;
};

/// Metrics of online requests and batch jobs.
class NodeMetrics
{
public:
    explicit NodeMetrics(Observe::MetricsRegistry &registry);

    /// Routes beyond the first 64 share the label "other" because routes that are renamed over and over would exhaust the memory.
    /// The reference stays valid.
    [[nodiscard]] RouteMetrics &route(Serving::RouteName const &route);
    /// `outcome` is one of a small fixed set.
    void onAuthenticated(std::string_view outcome);
    /// `reason` is the code of the refusal.
    void onRefused(std::string_view reason);
    /// A request was refused by FairAdmission. `reason` is one of a small fixed set; `urgency` is 0 for the most urgent.
    void onAdmissionRefused(std::string_view reason, std::size_t urgency);
    /// `reason` is one of a small fixed set, the same as in the log.
    void onBrokenStream(std::string_view reason);
    /// `outcome` is one of a small fixed set.
    void onPermit(std::string_view outcome);
    void onConnectionClosed(Http::ConnectionClose close);

private:
    Observe::MetricsRegistry &registry_;
    std::map<Serving::RouteName, RouteMetrics> routes_;
    std::map<std::string, Observe::Counter *, std::less<>> authentications_;
    std::map<std::string, Observe::Counter *, std::less<>> refusals_;
    std::map<std::string, Observe::Counter *, std::less<>> brokenStreams_;

public:
    Observe::Counter &requests;
    Observe::Counter &sends;
    Observe::Counter &limitedSends;
    /// Sends to other instances, as the servers were out of reach.
    Observe::Counter &relayedSends;
    /// Of these, how many the other instance could not take.
    Observe::Counter &relayRefusals;
    /// Requests that other instances passed on to this one.
    Observe::Counter &relayedRequests;
    Observe::Counter &resumes;
    Observe::Counter &unfinishedEvents;
    Observe::Counter &lostResponses;
    Observe::Counter &callersGone;
    Observe::Counter &itemStarts;
    Observe::Counter &itemPreemptions;
    Observe::Counter &unansweredItems;
    Observe::Counter &segmentsStored;
    Observe::Counter &segmentsRefused;
    Observe::Counter &jobsAccepted;
    Observe::Histogram &expectedWaitSeconds;
};

} // namespace Anvilyard::Node
