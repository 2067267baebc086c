#pragma once

#include "LibHttp/EventLoop.h"
#include "Utilities/FakeEngine/CacheEventFeed.h"
#include "Utilities/FakeEngine/EngineOptions.h"
#include "Utilities/FakeEngine/FaultSwitches.h"
#include "Utilities/FakeEngine/LoadHistory.h"
#include "Utilities/FakeEngine/RunRecorder.h"
#include "Utilities/FakeEngine/RunTable.h"
#include "Utilities/FakeEngine/SilenceableServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::FakeEngine {

/// Fake of a model engine or of the server of a plain service. All methods must be called on the loop's thread.
class EngineServer
{
public:
    static Result<std::unique_ptr<EngineServer>> create(Http::EventLoop &loop, EngineOptions options);

    [[nodiscard]] Address address() const;
    /// Refuses all later requests and marks them as not run.
    void announceLeaving();
    /// Number of requests in flight.
    [[nodiscard]] std::size_t openRuns() const;

private:
    using Writer = std::shared_ptr<Http::ResponseWriter>;

    EngineServer(Http::EventLoop &loop, EngineOptions options, std::unique_ptr<RunRecorder> recorder);

    void handle(Http::HttpRequest request, Writer writer);
    bool handleShared(Http::HttpRequest const &request, Writer const &writer);
    void handleEngine(Http::HttpRequest const &request, Writer const &writer);
    void handleOrder(Http::HttpRequest const &request, Writer const &writer);
    void handleControl(Http::HttpRequest const &request, Writer const &writer);
    void complete(CompletionKind kind, Http::HttpRequest const &request, Writer const &writer);
    void handleRun(Http::HttpRequest const &request, Writer const &writer);
    void handlePlainService(Http::HttpRequest const &request, Writer const &writer);
    bool refuseNewWork(Writer const &writer);
    [[nodiscard]] RunIdentity identityOf(Http::HttpRequest const &request);
    [[nodiscard]] std::string renderModels() const;
    [[nodiscard]] std::string renderMetrics();

    Http::EventLoop &loop_;
    EngineOptions options_;
    std::unique_ptr<RunRecorder> recorder_;
    FaultSwitches faults_;
    EngineOrders orders_;
    CacheEventFeed cacheEvents_;
    RunTable runs_;
    LoadHistory loadHistory_;
    std::string idPrefix_;
    std::uint64_t nextId_ = 1;
    bool isLeaving_ = false;
    std::map<std::uint64_t, std::unique_ptr<Http::Timer>> timers_;
    std::unique_ptr<SilenceableServer> server_;
};

} // namespace Anvilyard::FakeEngine
