#pragma once

#include "LibBatch/ChunkRunner.h"
#include "LibBatch/JobScheduler.h"
#include "LibBatch/RunnerActions.h"
#include "LibBatch/ServerSlots.h"
#include "LibCore/Random.h"

#include <map>
#include <memory>

namespace Anvilyard::Batch {

struct BatchRunnerOptions {
    InstanceId self;
    /// Unique among all processes that ever ran. Consists of characters that are allowed in object names.
    std::string process;
    RandomSource::result_type seed = 0;
    /// The interval at which leases are renewed and outcomes are committed grows with the fleet from the minimum to the maximum, so
    /// that the total write rate of the fleet stays bounded.
    Duration minRenewInterval = 2s;
    Duration maxRenewInterval = 30s;
    /// Number of instances at which the maximum interval is reached.
    std::size_t instancesAtMaxInterval = 360;
    /// Length of a lease in renewal intervals.
    int leaseIntervals = 3;
    Duration minLeaseLength = 10s;
    Duration listJobsInterval = 10s;
    Duration listCancelsInterval = 2s;
    /// No item starts if the last successful read of the cancels was requested longer ago than this.
    Duration maxCancelsAge = 4500ms;
    std::size_t maxHeldChunks = 16;
    std::size_t maxConcurrentClaims = 2;
    /// How long a server gets no further items after it refused or failed one.
    Duration serverPause = 500ms;
    /// A held chunk that no server of this process can run is released after this time, so that another instance can claim it.
    Duration releaseUnservedAfter = 2s;
};

/// Makes the decisions of one batch process: which chunks to claim, which items to run on which server and which items to preempt.
/// Performs no I/O: takes events and returns actions.
class BatchRunner
{
public:
    explicit BatchRunner(BatchRunnerOptions options);

    RunnerActions setInstances(std::vector<InstanceId> alive, CurrentTime now);
    RunnerActions setServers(std::vector<SlotServer> servers, CurrentTime now);
    /// Called when a job was submitted or cancelled on any instance.
    RunnerActions onJobsChanged(CurrentTime now);
    RunnerActions onOpenJobs(Result<std::vector<OpenJob>> const &jobs, CurrentTime now);
    RunnerActions onCancels(Result<std::set<JobId>> const &jobs, Instant requestedAt, CurrentTime now);
    RunnerActions onJob(JobId const &job, Result<JobRecord> record, CurrentTime now);
    /// Called when a job could not be marked as finished.
    RunnerActions onFinishFailed(JobId const &job, CurrentTime now);
    RunnerActions onChunks(JobId const &job, Result<std::map<ChunkIndex, ChunkState>> chunks, CurrentTime now);
    RunnerActions onChunkReply(ChunkRef const &chunk, ChunkReply const &reply, CurrentTime now);
    RunnerActions onChunkInput(ChunkRef const &chunk, Result<std::vector<ItemSpec>> input, CurrentTime now);
    RunnerActions onItemEnded(AttemptRef const &item, AttemptResult end, CurrentTime now);
    RunnerActions onTick(CurrentTime now);
    /// Starts no further items and claims no further chunks. Stopped is returned once all chunks have been released.
    RunnerActions stop(CurrentTime now);
    /// Cancels the running items once the drain timeout has expired.
    RunnerActions abandonRunning(CurrentTime now);

    [[nodiscard]] std::size_t runningItems() const;
    [[nodiscard]] std::size_t runningOn(ServerId const &server) const;
    [[nodiscard]] std::size_t heldChunks() const;
    [[nodiscard]] std::size_t openJobs() const;
    [[nodiscard]] std::size_t unstoredBytes() const;

private:
    struct HeldChunk {
        std::unique_ptr<ChunkRunner> runner;
        UploadId upload;
        WallInstant due;
        /// The chunk is read from the store before it is claimed.
        bool isReading = false;
        /// Set while no item of the chunk can run on the servers of this process.
        std::optional<Instant> unservedSince;
    };

    struct Running {
        ServerId server;
        std::uint64_t order = 0;
        bool isSuspect = false;
    };

    void pump(RunnerActions &actions, CurrentTime now);
    void requestLists(RunnerActions &actions, CurrentTime now);
    void preemptExcess(RunnerActions &actions, CurrentTime now);
    void startItems(RunnerActions &actions, CurrentTime now);
    bool startOneItem(RunnerActions &actions, ChunkRef const &ref, ChunkRunner &runner, CurrentTime now);
    void claimMore(RunnerActions &actions, CurrentTime now);
    void releaseUnserved(RunnerActions &actions, CurrentTime now);
    [[nodiscard]] bool isUnserved(ChunkRef const &ref, ChunkRunner const &runner) const;
    [[nodiscard]] bool mayClaim(CurrentTime now) const;
    [[nodiscard]] bool wantsMoreItems(CurrentTime now) const;
    void claim(RunnerActions &actions, ChunkPick const &pick, CurrentTime now);
    void applyCancels(RunnerActions &actions, CurrentTime now);
    void forwardActions(RunnerActions &actions, ChunkRef const &ref, ChunkActions chunkActions, CurrentTime now);
    void endChunk(ChunkRef const &ref, ChunkEnd end, CurrentTime now);
    void endAttempt(AttemptRef const &item);
    void reportStopped(RunnerActions &actions);
    void pauseServerAfter(AttemptRef const &item, AttemptResult const &end, CurrentTime now);
    [[nodiscard]] ServerId chooseServer(AttemptRef const &item, ServiceName const &service, CurrentTime now);
    [[nodiscard]] Duration renewInterval() const;
    [[nodiscard]] Duration leaseLength() const;
    [[nodiscard]] std::optional<AttemptRef> newestOn(ServerId const &server, std::set<AttemptRef> const &except) const;

    BatchRunnerOptions options_;
    RandomSource random_;
    JobScheduler scheduler_;
    ServerSlots slots_;
    std::map<ChunkRef, HeldChunk> chunks_;
    std::map<AttemptRef, Running> running_;
    /// Servers of preempted items. Their streams can only be resumed there.
    std::map<std::pair<ChunkRef, std::uint32_t>, ServerId> preemptedOn_;
    std::uint64_t starts_ = 0;
    std::size_t instanceCount_ = 1;
    std::size_t runningSuspects_ = 0;
    std::optional<ChunkRef> suspectChunk_;
    Instant nextJobsListAt_{};
    Instant nextCancelsListAt_{};
    Instant nextPickAt_{};
    /// When the newest known list of cancels was requested.
    std::optional<Instant> cancelsRequestedAt_;
    bool isListingJobs_ = false;
    bool isListingCancels_ = false;
    bool stopping_ = false;
    bool stopped_ = false;
};

} // namespace Anvilyard::Batch
