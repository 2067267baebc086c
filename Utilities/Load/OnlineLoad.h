#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/HttpClient.h"
#include "Utilities/Load/ArrivalPlan.h"
#include "Utilities/Load/Quantiles.h"
#include "Utilities/Load/StreamedCompletion.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Load {

struct OnlineOptions {
    /// Used in rotation.
    std::vector<Address> targets;
    /// Sent as a bearer token unless empty. Engines need none.
    std::string key;
    std::string model;
    std::uint32_t tokens = 32;
    /// Requests that arrive before this time are sent and checked, but their latencies are not recorded.
    Duration warmUp{0};
    Duration timeout = 60s;
    ArrivalOptions arrivals;
    PromptOptions prompts;
};

struct OnlineResults {
    std::size_t requests = 0;
    /// Number of responses by verdict (see StreamedCompletion::Verdict).
    std::size_t complete = 0;
    std::size_t truncated = 0;
    std::size_t mismatched = 0;
    std::size_t errorEvents = 0;
    /// Number of refused requests by HTTP status.
    std::map<int, std::size_t> refused;
    /// Number of requests without a response head.
    std::size_t failed = 0;
    std::size_t tokens = 0;
    Quantiles firstToken;
    Quantiles betweenTokens;
    Quantiles requestDuration;
    Instant started;
    Duration runDuration{0};
};

/// Sends requests at their planned times, measures latencies from the planned arrival, and checks the complete text of every
/// response.
class OnlineLoad
{
public:
    OnlineLoad(Http::EventLoop &loop, Http::HttpClient &client, OnlineOptions options);

    /// Must be called on the event loop's thread, which calls `done` once the planned time has passed and all requests have ended.
    void start(std::function<void(OnlineResults)> done);

private:
    struct Request;

    void scheduleNext();
    void sendDue();
    void send(std::size_t number);
    void end(Request const &request);
    void recordVerdict(Request const &request);
    void finishIfDone();

    Http::EventLoop &loop_;
    Http::HttpClient &client_;
    OnlineOptions options_;
    std::vector<Duration> arrivals_;
    std::size_t nextArrival_ = 0;
    std::size_t inFlight_ = 0;
    Instant started_;
    OnlineResults results_;
    std::function<void(OnlineResults)> done_;
    std::unique_ptr<Http::Timer> timer_;
    std::unique_ptr<Http::Timer> endTimer_;
    bool isArrivalTimeOver_ = false;
};

} // namespace Anvilyard::Load
