#pragma once

#include "LibCore/Random.h"
#include "LibCore/SnapshotCell.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpClient.h"
#include "LibObserve/Tracing.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/ServerHealth.h"
#include "Services/Entry/EntryMetrics.h"
#include "Services/Entry/EntryView.h"
#include "Services/Entry/PoolChoosers.h"

#include <functional>
#include <map>
#include <string_view>

namespace Anvilyard::Entry {

/// Callbacks with which traffic threads report events to the rest of the process. They are called on a traffic thread and return at
/// once.
struct TrafficHooks {
    std::function<void(ServerId const &, Routing::ServerEvidence)> onServerEvidence;
    std::function<void(ServerId const &)> onOnlineStarted;
    std::function<void(ServerId const &)> onOnlineFinished;
};

struct TimeLimits {
    /// Maximum duration of a request. A caller can set a shorter deadline.
    Duration request = 300s;
    Duration connect = 1s;
    /// Maximum wait for the head of an answer.
    Duration head = 60s;
    /// Maximum wait for the head of an answer on a reused connection, for requests that may be retried and whose head usually arrives at
    /// once.
    Duration reusedHead = 5s;
    /// Maximum wait between two pieces of an answer.
    Duration progress = 30s;
};

/// State shared by the filters and calls of one traffic thread. Used on that thread only.
struct ThreadContext {
    Http::EventLoop &loop;
    Http::HttpClient &client;
    SnapshotCell<EntryView> const &view;
    Observe::Tracer &tracer;
    EntryMetrics &metrics;
    TrafficHooks const &hooks;
    TimeLimits limits;
    PoolChoosers choosers;
    Routing::RetryBudget retryBudget;
    RandomSource random;
    /// Called whenever a request at a backend server has ended, so that a waiting request can be sent.
    std::function<void()> onRequestFinished;
    /// Callbacks that abort the running calls when the thread ends. An exchange and its handlers reference each other until then.
    std::map<void const *, std::function<void()>> abandonCallbacks = {};
};

} // namespace Anvilyard::Entry
