#pragma once

#include "LibBatch/BatchRunner.h"
#include "LibBatch/StoreCaller.h"
#include "LibHttp/EventLoop.h"
#include "LibObserve/Metrics.h"

#include <functional>
#include <memory>

namespace Anvilyard::Batch {

struct RunnerTransportOptions {
    Http::EventLoop &loop;
    Platform::ObjectStore &store;
    Observe::MetricsRegistry &metrics;
    BatchRunnerOptions runner;
    std::function<void(SendItem const &)> sendItem;
    std::function<void(StopItem const &)> stopItem;
    Duration tickInterval = 20ms;
    /// Maximum number of tries of each call that marks a job as finished.
    std::uint32_t finishAttempts = 4;
    /// Replaced in tests.
    std::function<CurrentTime()> clock = readClocks;
};

/// Performs a BatchRunner's actions on the store and the backend servers and passes the replies back. Runs on the event loop's
/// thread.
class RunnerTransport : public std::enable_shared_from_this<RunnerTransport>
{
public:
    explicit RunnerTransport(RunnerTransportOptions options);

    /// Starts periodic ticks.
    void start();
    /// Lets the runner process the passing of time.
    void tick();
    void setInstances(std::vector<InstanceId> alive);
    void setServers(std::vector<SlotServer> servers);
    void onJobsChanged();
    void onItemEnded(AttemptRef const &item, AttemptResult end);
    /// Calls `stopped` once all chunks have been released.
    void stop(std::function<void()> stopped);
    void abandonRunning();

    [[nodiscard]] BatchRunner const &runner() const;

private:
    void scheduleTick();
    void perform(RunnerActions actions);
    void performOne(ListOpenJobs const &action);
    void performOne(ListCancels const &action);
    void performOne(GetJob const &action);
    void performOne(ListChunks const &action);
    void performOne(ChunkCall const &action);
    void performOne(FetchChunkInput const &action);
    void performOne(SendItem const &action);
    void performOne(StopItem const &action);
    void performOne(FinishJob const &action);
    void performOne(RemoveOrphan const &action);
    void performOne(Stopped const &action);

    using Objects = std::vector<Platform::Object>;
    void listAll(Platform::Kind const &kind, std::string prefix, std::function<void(Result<Objects>)> done);
    Platform::Reply<Platform::Object> chunkReply(ChunkRef const &chunk);

    RunnerTransportOptions options_;
    BatchRunner runner_;
    std::shared_ptr<StoreCaller> caller_;
    std::unique_ptr<Http::Timer> timer_;
    std::function<void()> stopped_;
    Observe::Counter &writes_;
    Observe::Counter &reads_;
    Observe::Counter &sent_;
    Observe::Counter &preempted_;
    Observe::Gauge &running_;
    Observe::Gauge &held_;
    Observe::Gauge &unstoredBytes_;
};

} // namespace Anvilyard::Batch
