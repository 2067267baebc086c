#pragma once

#include "LibBatch/PreemptedStreams.h"
#include "LibBatch/RunnerActions.h"
#include "LibBatch/SlotPlan.h"
#include "LibHttp/HttpClient.h"
#include "LibObserve/Tracing.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Anvilyard::Batch {

struct ItemSenderOptions {
    Http::EventLoop &loop;
    Observe::Tracer &tracer;
    /// Returns `std::nullopt` if the server or the route no longer exists.
    std::function<std::optional<ServerRoute>(ServerId const &, ServiceName const &)> route;
    std::function<void(AttemptRef const &, AttemptResult)> onEnd;
    /// Called with the average interval between tokens of a streamed response.
    std::function<void(ServerId const &, Duration)> onTokenInterval;
    Duration attemptTimeout = 10min;
    /// Maximum total size of the preempted streams that are kept for resuming.
    std::size_t maxPreemptedBytes = 8UL * 1024 * 1024;
};

/// Sends items to backend servers, one exchange per attempt, and reports the result of each attempt. Runs on the event loop's
/// thread.
class ItemSender
{
public:
    explicit ItemSender(ItemSenderOptions options);
    ~ItemSender();

    void send(SendItem const &item);
    /// Cancels the exchange. Its result is not reported.
    void stop(StopItem const &item);

private:
    struct Attempt;

    using AttemptPointer = std::shared_ptr<Attempt>;

    [[nodiscard]] Http::ClientRequest makeRequest(SendItem const &item, ServerRoute const &route, Attempt &attempt);
    void exchange(AttemptPointer const &attempt, Http::ClientRequest request);
    void onPiece(Attempt &attempt, std::string_view piece);
    void countTokens(Attempt &attempt, Instant now);
    void onComplete(Attempt &attempt);
    void end(AttemptRef const &item, AttemptResult end);

    ItemSenderOptions options_;
    std::unique_ptr<Http::HttpClient> client_;
    PreemptedStreams preemptedStreams_;
    std::map<AttemptRef, AttemptPointer> attempts_;
};

/// Returns the result of an attempt that received this response.
AttemptResult classifyResponse(Repeat repeat, Http::HttpResponse const &response, Instant now);

} // namespace Anvilyard::Batch
