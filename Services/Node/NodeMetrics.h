#pragma once

#include "LibCore/Time.h"
#include "LibObserve/Metrics.h"
#include "LibServing/DesiredState.h"

#include <map>
#include <string>
#include <string_view>

namespace Anvilyard::Node {

/// What a node counts of the requests of one route.
class RouteMetrics
{
public:
    RouteMetrics(Observe::MetricsRegistry &registry, std::string label);

    /// `outcome`: one of the few that requests end with, as in the log.
    void onEnded(std::string_view outcome, Duration took);

    Observe::Histogram &firstEventSeconds;
    Observe::Histogram &eventGapSeconds;

private:
    Observe::MetricsRegistry &registry_;
    std::string label_;
    Observe::Histogram &requestSeconds_;
    std::map<std::string, Observe::Counter *, std::less<>> ended_;
};

/// What a node counts of online requests and batch jobs.
class NodeMetrics
{
public:
    explicit NodeMetrics(Observe::MetricsRegistry &registry);

    /// Routes beyond the first 64 share the label "other", so that renamed routes cannot fill the memory. Stays valid.
    [[nodiscard]] RouteMetrics &route(Serving::RouteName const &route);
    /// `reason`: the code of one of our refusals.
    void onRefused(std::string_view reason);

private:
    Observe::MetricsRegistry &registry_;
    std::map<Serving::RouteName, RouteMetrics> routes_;
    std::map<std::string, Observe::Counter *, std::less<>> refusals_;

public:
    Observe::Counter &requests;
    Observe::Counter &sends;
    Observe::Counter &resumes;
    Observe::Counter &brokenStreams;
    Observe::Counter &callersGone;
    Observe::Counter &itemStarts;
    Observe::Counter &itemPreemptions;
    Observe::Counter &segmentsStored;
    Observe::Counter &jobsAccepted;
    Observe::Histogram &expectedWaitSeconds;
};

} // namespace Anvilyard::Node
