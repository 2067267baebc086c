#pragma once

#include "LibObserve/Metrics.h"

namespace Anvilyard::Node {

/// What a node counts of online requests and batch jobs.
struct NodeMetrics {
    explicit NodeMetrics(Observe::MetricsRegistry &registry);

    Observe::Counter &requests;
    Observe::Counter &refusals;
    Observe::Counter &sends;
    Observe::Counter &resumes;
    Observe::Counter &brokenStreams;
    Observe::Counter &callersGone;
    Observe::Counter &itemStarts;
    Observe::Counter &itemPreemptions;
    Observe::Counter &segmentsStored;
    Observe::Counter &jobsAccepted;
    Observe::Distribution &firstEventSeconds;
    Observe::Distribution &requestSeconds;
};

} // namespace Anvilyard::Node
