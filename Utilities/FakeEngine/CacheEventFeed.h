#pragma once

#include "LibCore/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpServer.h"
#include "Utilities/FakeEngine/FaultSwitches.h"
#include "Utilities/FakeEngine/PrefixCache.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::FakeEngine {

/// GET /v1/cache-events: server-sent events `{"sequence", "stored": [hash...], "removed": [hash...]}`, hashes as 16 hex digits.
/// The fault switches set their delay and the share that is dropped. A dropped event leaves a gap in the sequence numbers.
class CacheEventFeed
{
public:
    CacheEventFeed(Http::EventLoop &loop, FaultSwitches const &faults);

    void subscribe(std::shared_ptr<Http::ResponseWriter> writer);
    void publish(CacheChange const &change);
    /// Ends all subscriptions for a graceful stop.
    void close();

private:
    struct DelayedEvent {
        std::string event;
        Instant due;
    };

    void schedule();
    void sendDue();

    Http::EventLoop &loop_;
    FaultSwitches const &faults_;
    RandomSource random_{1};
    std::uint64_t sequence_ = 0;
    std::deque<DelayedEvent> delayedEvents_;
    std::vector<std::shared_ptr<Http::ResponseWriter>> subscribers_;
    std::unique_ptr<Http::Timer> timer_;
};

} // namespace Anvilyard::FakeEngine
