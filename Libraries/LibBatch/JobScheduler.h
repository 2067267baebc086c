#pragma once

#include "LibBatch/ChunkActions.h"
#include "LibBatch/JobRecords.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Batch {

struct JobSchedulerOptions {
    InstanceId self;
    /// Maximum number of chunk lists per second of the entire fleet. Each instance uses an equal share.
    std::uint32_t fleetListsPerSecond = 60;
    Duration minListInterval = 100ms;
    /// Interval at which a job with unfinished chunks is queried again.
    Duration queryInterval = 2s;
    /// Upper bound of the difference between the clocks of two instances.
    std::chrono::milliseconds maxClockSkew{1000};
    /// An entry of the list of open jobs that still has no job after this time is an orphan of an incomplete submission.
    std::chrono::milliseconds orphanAfter = std::chrono::hours(1);
};

/// A chunk to claim next.
struct ChunkPick {
    enum class Seen {
        /// No earlier holder is known, so the chunk is created.
        Never,
        /// The chunk is read first, since its holder may have written again.
        Before,
    };
    enum class Work {
        Run,
        /// The job is cancelled: pending items are marked as cancelled.
        Cancel,
    };
    JobId job;
    ChunkIndex chunk;
    Seen seen = Seen::Never;
    Work work = Work::Run;
};

/// A query of the scheduler to the store.
struct JobQuery {
    enum class Kind {
        Job,
        Chunks,
    };
    Kind kind = Kind::Job;
    JobId job;
};

/// A job in which every item has its outcome.
struct FinishedJob {
    JobId job;
    JobStatus status = JobStatus::Completed;
    OutcomeCounts counts;
};

/// Orders the open jobs and picks chunks so that instances rarely compete for the same one. Each instance prefers the chunks that
/// rendezvous hashing assigns to it and takes others only when it has none left. Customers share equally. Within a customer, jobs
/// with an earlier due time come first. Performs no I/O.
class JobScheduler
{
public:
    explicit JobScheduler(JobSchedulerOptions options);

    void setInstances(std::vector<InstanceId> alive);
    void onOpenJobs(std::vector<OpenJob> const &jobs);
    void onCancels(std::set<JobId> const &jobs);
    /// After an error other than NotFound the job is queried again.
    void onJob(JobId const &job, Result<JobRecord> record, CurrentTime now);
    void onChunks(JobId const &job, Result<std::map<ChunkIndex, ChunkState>> chunks, CurrentTime now);
    /// Called when marking the job as finished failed. The job is queried again.
    void onFinishFailed(JobId const &job, CurrentTime now);
    void onClaim(JobId const &job, ChunkIndex chunk);
    /// `assumedLease` is the lease length that is assumed for a chunk claimed by another process. The chunk is skipped for that time.
    void onChunkEnd(JobId const &job, ChunkIndex chunk, ChunkEnd end, Duration assumedLease, CurrentTime now);

    /// Returns the next chunk to claim whose service is served or whose job is cancelled.
    std::optional<ChunkPick> pick(std::function<bool(ServiceName const &)> const &isServed, CurrentTime now) const;
    /// Returns the next query to the store, if this instance's share of the read rate permits one.
    std::optional<JobQuery> takeQuery(std::function<bool(ServiceName const &)> const &isServed, CurrentTime now);
    std::vector<FinishedJob> takeFinished();
    /// Returns entries of the list of open jobs for which no job exists.
    std::vector<JobId> takeOrphans();

    [[nodiscard]] JobRecord const *findJob(JobId const &job) const;
    [[nodiscard]] bool isCancelled(JobId const &job) const;
    [[nodiscard]] std::size_t openJobs() const;
    /// Returns the job's due time, or `WallInstant::max()` for an unknown job.
    [[nodiscard]] WallInstant dueOf(JobId const &job) const;

private:
    enum class ChunkStatus : std::uint8_t {
        Free,
        /// Held before and free now.
        Released,
        HeldElsewhere,
        HeldHere,
        Done,
    };

    struct ChunkView {
        ChunkStatus status = ChunkStatus::Free;
        WallInstant leaseDeadline;
    };

    struct Job {
        OpenJob entry;
        std::optional<JobRecord> record;
        std::vector<ChunkView> chunks;
        /// Chunks that rendezvous hashing assigns to this instance, in input order.
        std::vector<std::uint32_t> ownChunks;
        std::uint32_t heldHere = 0;
        bool isCancelled = false;
        bool isListed = false;
        bool isFinished = false;
        /// A query is in flight.
        bool isQueryPending = false;
        Instant nextQueryAt{};
    };

    /// Orders the jobs that this instance can work on: cancelled jobs first, then by the number of chunks held here for the
    /// customer, then by due time.
    class JobOrder;

    [[nodiscard]] bool isClaimable(ChunkView const &chunk, CurrentTime now) const;
    [[nodiscard]] std::optional<ChunkPick> pickOwn(Job const &job, CurrentTime now) const;
    [[nodiscard]] std::optional<ChunkPick> pickOther(Job const &job, CurrentTime now) const;
    [[nodiscard]] static ChunkPick makePick(Job const &job, std::uint32_t index);
    [[nodiscard]] bool isQueryDue(Job const &job, CurrentTime now) const;
    void updateOwnChunks(Job &job) const;
    void finish(Job &job, OutcomeCounts counts);

    JobSchedulerOptions options_;
    std::vector<InstanceId> alive_;
    std::map<JobId, Job> jobs_;
    std::set<JobId> cancels_;
    std::vector<FinishedJob> finished_;
    std::vector<JobId> orphans_;
    Instant nextListAt_{};
};

} // namespace Anvilyard::Batch
