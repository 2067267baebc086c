#pragma once

#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpServer.h"
#include "Utilities/FakeEngine/CompletionFormat.h"
#include "Utilities/FakeEngine/EngineOptions.h"
#include "Utilities/FakeEngine/FaultSwitches.h"
#include "Utilities/FakeEngine/PrefixCache.h"
#include "Utilities/FakeEngine/RunRecorder.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Anvilyard::FakeEngine {

/// A request as stored for running and for resuming it later.
struct RunRequest {
    CompletionRequest completion;
    RunIdentity identity;
    /// Renders the body of a response that is not streamed. CompletionFormat::fullResponse() is used if empty.
    std::function<std::string(std::string_view text)> renderBody;
};

struct EngineLoadReport {
    std::size_t running = 0;
    std::size_t waiting = 0;
};

struct EngineTotals {
    std::uint64_t finished = 0;
    std::uint64_t tokens = 0;
};

/// Running requests and requests that can be resumed.
class RunTable
{
public:
    struct Hooks {
        std::function<void(CacheChange const &)> onCacheChange;
    };

    RunTable(Http::EventLoop &loop, EngineOptions const &options, FaultSwitches &faults, RunRecorder &recorder, Hooks hooks);
    ~RunTable();

    void start(RunRequest request, std::shared_ptr<Http::ResponseWriter> writer);
    /// Returns whether a request with this id was running.
    bool cancel(std::string const &id);
    /// Streams a stored request's tokens from an offset. Returns false if the id is unknown or the offset is out of range.
    bool resume(std::string const &id, std::uint32_t offset, std::shared_ptr<Http::ResponseWriter> writer);
    void setSlowness(double factor);
    [[nodiscard]] EngineLoadReport load() const;
    [[nodiscard]] EngineTotals totals() const;

private:
    struct Run;

    void begin(RunRequest const &request, std::uint32_t offset, std::shared_ptr<Http::ResponseWriter> writer);
    void admit(std::uint64_t key);
    void schedule();
    void advance();
    void deliver(ProducedToken const &token);
    void finish(Run &run);
    void send(Run &run, std::string piece);
    void end(std::uint64_t key, RunEvent event);
    void runImmediately(Run &run);
    void storeForResume(RunRequest request);
    [[nodiscard]] std::uint32_t uncachedPromptTokens(std::string const &prompt);

    static constexpr std::size_t MaxResumableRequests = 50'000;

    Http::EventLoop &loop_;
    EngineOptions const &options_;
    FaultSwitches &faults_;
    RunRecorder &recorder_;
    Hooks hooks_;
    ContinuousBatcher batcher_;
    PrefixCache cache_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Run>> runs_;
    std::unordered_map<std::string, std::uint64_t> runKeysById_;
    std::unordered_map<std::string, RunRequest> resumable_;
    std::deque<std::string> resumableOrder_;
    std::uint64_t nextKey_ = 1;
    EngineTotals totals_;
    std::unique_ptr<Http::Timer> timer_;
    std::optional<Instant> timerDeadline_;
    /// Expires with the table, so that callbacks can detect its destruction.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace Anvilyard::FakeEngine
