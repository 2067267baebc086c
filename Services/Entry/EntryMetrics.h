#pragma once

#include "LibObserve/Metrics.h"

namespace Anvilyard::Entry {

/// The metrics of the entry service, looked up once in the registry.
struct EntryMetrics {
    explicit EntryMetrics(Observe::MetricsRegistry &registry);

    Observe::Counter &requests;
    Observe::Counter &refusals;
    Observe::Counter &retries;
    Observe::Counter &resumes;
    Observe::Counter &brokenStreams;
    Observe::Counter &callersGone;
    Observe::Counter &relayedEvents;
    Observe::Distribution &requestSeconds;
    Observe::Distribution &firstPieceSeconds;
    Observe::Distribution &queueSeconds;
};

} // namespace Anvilyard::Entry
