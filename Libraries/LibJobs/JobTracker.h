#pragma once

#include "LibJobs/FailureRecord.h"
#include "LibJobs/Job.h"
#include "LibJobs/UnansweredSends.h"
#include "LibServing/SoftwareVersion.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilyard::Jobs {

/// Settings for items of a job in the current desired state.
struct ItemPolicy {
    /// Whether the path of the items matches a route.
    bool isRouted = true;
    PoolName pool;
    /// Number of failure responses after which an item is given up.
    std::uint32_t maxAttempts = 1;
    Duration completionTarget = 0s;
    Duration giveUpAfter = 0s;
};

struct JobTrackerOptions {
    /// Minimum time over which outcomes are collected before they are stored together.
    Duration commitDelay = 400ms;
    /// Share of the time left until a job is due over which its outcomes are collected. Each commit costs a call of the store, and results
    /// that are due later may be stored later.
    double commitShareOfTimeLeft = 0.1;
    /// Maximum time over which outcomes are collected. If a runner is lost, the items whose outcomes are not stored yet run again.
    Duration maxCommitDelay = 1500ms;
    /// Maximum output size of an item, so that its result fits into one object and on one page.
    std::size_t maxOutputBytes = MaxPageBytes;
    /// Maximum output size of a segment, so that it fits into one object.
    std::size_t maxSegmentBytes = 512 * 1024;
    /// Pause before an unserved item is sent again. It doubles with each attempt up to maxRetryPause.
    Duration retryPause = 100ms;
    Duration maxRetryPause = 2s;
    /// Maximum difference between the clocks of two instances. Items are given up because of their age only after this extra time.
    Duration maxClockSkew = 10s;
    /// Time for which a route must be missing before its items are given up, as desired states may change in quick succession.
    Duration unroutedTimeout = 4s;
    /// Of this many starts one is of an item that cannot be on time if there is any. Otherwise a late job would wait for the end of an
    /// overload.
    std::uint32_t startsPerLateStart = 8;
    /// Number of sends without a response after which an item is not sent again, unless a response has shown that it does not fail each
    /// time. Servers may have answered each of them with an error.
    std::uint32_t maxUnansweredSends = 3;
    /// Number of failures and unanswered sends, in multiples of the failures after which the item is given up, after which it is not sent
    /// again.
    std::uint32_t maxFailureMultiple = 3;
    /// Minimum pause after an unanswered send, for each that there was. Within it a crash of the server is found out.
    Duration unansweredPause = 1s;
    /// Share of the time left until the item is due for which it waits after an unanswered send, for each that there was. The few sends are
    /// spread over this time, so that a fault of the network that lasts for some seconds does not use them up.
    double unansweredShareOfTimeLeft = 0.25;
    /// Interval at which the counts of other tenures are read again for an item that is not sent because of them. Another owner may have
    /// recorded a send that it did not make.
    Duration recountInterval = 5s;
    /// Time for which an item that ran partially waits for a server of the software version that began it. Then it starts anew.
    Duration versionPatience = 1500ms;
};

/// Software versions of the servers to which a runner sends items of a pool.
struct ItemVersions {
    /// Of the server for which an item is requested.
    Serving::SoftwareVersion current;
    /// Of all of them.
    Serving::SoftwareVersions inUse;
};

/// Which waiting items are meant.
enum class ItemSelection {
    All,
    /// Those that have to be sent with care, as ItemStart::unansweredAt shows.
    Careful,
    Ordinary,
};

/// An item to be sent now.
struct ItemStart {
    JobId job;
    std::size_t index = 0;
    /// Id of the last received event, for an item that ran partially.
    std::optional<std::uint64_t> lastEventId;
    /// Whether it is expected to end after the completion target of its job.
    bool isLate = false;
    /// Software version of the server to which it is sent.
    Serving::SoftwareVersion version = {};
    /// When the last send ended that was not answered, if the item has to be sent with care: each further send may be the last one.
    std::optional<Instant> unansweredAt = {};
};

/// How one send of an item ended.
enum class SendEnd {
    /// The stream ended normally.
    Complete,
    /// The server reported that the item failed.
    Failed,
    /// The server reported that the item can never be completed.
    Impossible,
    /// The exchange broke, or the server did not accept the item. This does not count as a failure of the item.
    Unserved,
    /// The item reached the server and no response came. The server may have answered with an error that was lost on the way.
    Unanswered,
    /// The runner cancelled the item to free a slot for online requests.
    Preempted,
};

/// Failures or unanswered sends of a job's items to be recorded now.
struct FailureCommit {
    JobId job;
    TenureId tenure;
    /// All failures of this tenure, including those that are recorded.
    FailureCounts counts;
    enum class Subject {
        Failures,
        /// They include the current send of each item whose earlier one was not answered, as its sender may end before its outcome.
        UnansweredSends,
    } subject = Subject::Failures;
};

/// An item that was started and whose send waited for its record.
struct ReservedSend {
    JobId job;
    std::size_t index = 0;
    /// Otherwise the item waits again.
    bool maySend = false;
};

/// What the items of a job wait for.
struct JobWait {
    JobId job;
    /// Of one of the items; of one that matches a route if there is any.
    PoolName pool;
    bool isRouted = true;
    std::size_t waiting = 0;
    /// How many of these were held back and wait for a pause since.
    std::size_t heldBack = 0;
    /// How many of these wait for a pause after a send that did not succeed.
    std::size_t paused = 0;
    /// How many of the others have to be sent with care, as ItemStart::unansweredAt shows.
    std::size_t careful = 0;
    /// Number of items started so far, including repeated starts.
    std::uint64_t starts = 0;
};

/// Number of items by state.
struct ItemCounts {
    std::size_t waiting = 0;
    std::size_t running = 0;
    /// Items with an outcome that is not listed yet.
    std::size_t decided = 0;
    std::size_t listed = 0;
};

/// Tracks the jobs that a runner owns and the state of their items. Items of the job with the earliest due time run first. Items that
/// cannot be on time run after all others, so that some jobs are on time under overload, but get a small part of the starts. Items are
/// preempted many times where online requests come in bursts, so an item counts by what is left of it, and those of a job that are closest
/// to their end go first. An item that failed is not sent again before its failure is recorded: the number of its runs is limited over all
/// owners of the job. Performs no I/O.
class JobTracker
{
public:
    explicit JobTracker(JobTrackerOptions options);

    /// Adds a job with its stored segments. `acceptedAgo`: age of the job by the wall clock. `tenure`: unique to this call, over all
    /// runners.
    void add(JobRecord job, std::vector<ResultSegment> segments, Duration acceptedAgo, Instant now, TenureId tenure = {});
    /// Removes a job that another runner owns now, or that is over.
    void remove(JobId const &job);
    void onEnded(JobId const &job);
    /// Returns the policy of an item; never null.
    using PolicyOf = std::function<std::shared_ptr<ItemPolicy const>(JobItem const &)>;
    /// Sets the policy of each item. The paths of a job's items may match several routes.
    void setPolicies(JobId const &job, PolicyOf const &policyOf, Instant now);
    /// Sets one policy for all items.
    void setPolicy(JobId const &job, ItemPolicy policy, Instant now);

    [[nodiscard]] bool contains(JobId const &job) const;
    [[nodiscard]] std::vector<JobId> jobs() const;
    [[nodiscard]] JobRecord const *find(JobId const &job) const;
    [[nodiscard]] JobItem const *findItem(JobId const &job, ItemId const &item) const;
    [[nodiscard]] bool isListed(JobId const &job, ItemId const &item) const;
    /// Whether all items are listed.
    [[nodiscard]] bool isDone(JobId const &job) const;

    /// Returns the next item to send to a server of the pool. `runTime`: average run time of an item.
    /// An item that ran partially goes on only at the software version that began it, as texts of two versions do not fit together. If none
    /// of the servers has this version, or it has waited for long, it starts anew.
    [[nodiscard]] std::optional<ItemStart> next(PoolName const &pool,
                                                ItemVersions const &versions,
                                                Duration runTime,
                                                Instant now,
                                                ItemSelection selection = ItemSelection::All) const;
    /// The same for servers that state no version.
    [[nodiscard]] std::optional<ItemStart> next(PoolName const &pool, Duration runTime, Instant now) const;
    /// Number of items waiting for a server of the pool.
    [[nodiscard]] std::size_t waiting(PoolName const &pool, Instant now, ItemSelection selection = ItemSelection::All) const;
    /// Number of waiting items by pool, including those that are not sent again yet.
    [[nodiscard]] std::map<PoolName, std::size_t> waitingByPool() const;
    /// All jobs that were not ended, including those without waiting items.
    [[nodiscard]] std::vector<JobWait> waits(Instant now) const;
    /// An item with `unansweredAt` must not be sent before takeReservedSends() returns it.
    void onStarted(ItemStart const &start);
    /// Called instead of onStarted() if the item must not be sent yet. It waits for a pause.
    void onHeldBack(ItemStart const &start, Instant now);
    /// Called when the server of an unanswered send has crashed, so that it has not answered with an error.
    void onServerCrashed(JobId const &job, std::size_t index);
    /// Records one event of the item's stream. Returns whether the item's output is within its limit. If it is not, the item starts anew,
    /// because some of its events cannot be its own, and the run must be ended.
    bool onEvent(JobId const &job, std::size_t index, std::optional<std::uint64_t> eventId, std::string_view data);
    void onSendEnded(JobId const &job, std::size_t index, SendEnd end, Instant now);
    /// Gives up items that are too old or whose route is missing.
    void onTick(Instant now);

    /// Returns the segments to be stored now. A job has at most one segment being stored at a time.
    [[nodiscard]] std::vector<std::pair<JobId, ResultSegment>> takeCommits(Instant now);
    /// Called when a segment is in the store: the one returned by takeCommits(), or another runner's at the same position.
    void onStored(JobId const &job, ResultSegment segment);
    /// Called when a segment of another runner was found in the store.
    void onSegmentFound(JobId const &job, ResultSegment segment);
    /// Called when the store did not accept the segment or did not respond. takeCommits() returns it again after a pause.
    void onStoreFailed(JobId const &job, Instant now);
    /// Called when the store refused the segment for what it holds. takeCommits() returns its first half after a pause. The item of a
    /// single outcome runs again, so that the others are not held up by it.
    void onStoreRefused(JobId const &job, ResultSegment const &segment, Instant now);

    /// Returns the failures to be recorded now. A job has at most one record being written at a time.
    [[nodiscard]] std::vector<FailureCommit> takeFailures(Instant now);
    /// Returns the started items whose sends are recorded, so that they are sent now, and those that wait again because the store did not
    /// accept the record, or because the record shows that other owners have sent them too often.
    [[nodiscard]] std::vector<ReservedSend> takeReservedSends(Instant now);
    /// Returns what is not recorded yet of a job that this runner hands over. The next owner counts it.
    [[nodiscard]] std::vector<FailureCommit> takeLastFailures(JobId const &job) const;
    /// Called when the counts of the commit are in the store, with those of other tenures. Items that failed often enough are given up.
    void onFailuresRecorded(FailureCommit const &commit, FailureCounts const &others, Instant now);
    /// Sets what earlier tenures recorded. Call before the first item is sent.
    void setRecordedCounts(JobId const &job, RecordedCounts const &counts);
    /// Called when the store did not accept the counts or did not respond. takeFailures() returns them again after a pause.
    void onFailuresNotRecorded(FailureCommit const &commit, Instant now);

    /// Returns listed outcomes from a position on, up to `maxBytes` of output but at least one. Returns `std::nullopt` if the job is
    /// not tracked.
    [[nodiscard]] std::optional<ResultPage> read(JobId const &job, std::size_t from, std::size_t maxBytes) const;
    /// Number of listed outcomes.
    [[nodiscard]] std::size_t listedCount(JobId const &job) const;
    /// Tokens of the waiting and running items of all jobs that were not ended.
    [[nodiscard]] std::uint64_t waitingTokens() const;
    /// The same by customer, with an empty name for jobs without one.
    [[nodiscard]] std::map<CustomerId, std::uint64_t> waitingTokensByCustomer() const;
    /// Jobs that were accepted within this time.
    [[nodiscard]] std::vector<JobId> acceptedWithin(Duration time, Instant now) const;
    /// Item counts over all jobs, including completed ones.
    [[nodiscard]] ItemCounts counts() const;

private:
    struct Item {
        enum class State {
            Waiting,
            Running,
            /// The item has an outcome that is not listed yet.
            Decided,
            Listed,
        } state = State::Waiting;
        std::shared_ptr<ItemPolicy const> policy = std::make_shared<ItemPolicy>();
        std::optional<Instant> unroutedSince;
        std::string output;
        std::size_t events = 0;
        std::optional<std::uint64_t> lastEventId;
        /// Pool and version of the server that generated the output.
        PoolName pool;
        Serving::SoftwareVersion version;
        /// When its last run ended.
        Instant waitingSince = Instant::min();
        /// Failures in this tenure.
        std::uint32_t failures = 0;
        /// How many of these are recorded.
        std::uint32_t recordedFailures = 0;
        /// Failures in other tenures, as of the last record.
        std::uint32_t otherFailures = 0;
        UnansweredSends sends;
        /// Whether its send waits for its record.
        bool isReserved = false;
        std::uint32_t pauses = 0;
        /// How often the store refused its outcome.
        std::uint32_t storeRefusals = 0;
        Instant notBefore = Instant::min();
        /// Whether it waits since it was held back.
        bool isHeldBack = false;
        OutcomeState outcome = OutcomeState::Completed;
    };

    struct Job {
        JobRecord record;
        std::vector<Item> items;
        std::map<ItemId, std::size_t> indexOf;
        /// Indices of the listed items in the order of their positions.
        std::vector<std::size_t> listed;
        /// Indices of the decided items in the order of their decisions.
        std::vector<std::size_t> decided;
        std::optional<Instant> firstDecidedAt;
        Instant acceptedAt;
        /// Pools of the items' policies, without those of items that match no route.
        std::set<PoolName> pools;
        /// Shortest one of all items.
        Duration completionTarget{0};
        std::uint64_t starts = 0;
        bool isEnded = false;
        bool isStoring = false;
        Instant storeNotBefore = Instant::min();
        /// Number of outcomes stored together. Reduced while the store refuses some for what they hold.
        std::size_t maxStored = std::numeric_limits<std::size_t>::max();
        TenureId tenure;
        bool isRecording = false;
        bool isRecordingUnanswered = false;
        Instant recordNotBefore = Instant::min();
        Instant nextRecountAt = Instant::min();
        /// An item was given up because of a response. Its outcome is stored at once, as the next owner would run it again.
        bool hasFailedItem = false;
    };

    [[nodiscard]] static std::uint64_t waitingTokens(Job const &job);

    struct Candidate {
        Instant due;
        ItemStart start;
    };

    [[nodiscard]] Job *find(JobId const &job, std::size_t index);
    /// The item of a job to start first of those for which `mayStart` returns true; `std::nullopt` if none may start now.
    [[nodiscard]] std::optional<Candidate> candidateOf(JobId const &id,
                                                       Job const &job,
                                                       std::function<bool(Item const &)> const &mayStart,
                                                       ItemVersions const &versions,
                                                       Duration runTime,
                                                       Instant now) const;
    [[nodiscard]] static bool isSelected(Item const &item, ItemSelection selection);
    [[nodiscard]] bool mayRunAt(Item const &item, ItemVersions const &versions, Instant now) const;
    /// Whether the item can go on after its last event at a server of its pool with this version.
    [[nodiscard]] static bool canGoOnAt(Item const &item, Serving::SoftwareVersion const &version);
    /// Expected run time of what is left of an item.
    [[nodiscard]] Duration timeLeft(Item const &item, Duration runTime) const;
    [[nodiscard]] Duration commitDelay(Job const &job, Instant now) const;
    void decide(Job &job, std::size_t index, OutcomeState outcome, Instant now);
    void pause(Item &item, Instant now) const;
    [[nodiscard]] Duration pauseAfter(std::uint32_t earlierPauses) const;
    /// Whether the item may not be sent yet.
    [[nodiscard]] bool isPaused(Item const &item, Instant now) const;
    [[nodiscard]] static std::uint32_t failuresOf(Item const &item);
    /// Whether the item has failed as often as its policy allows.
    [[nodiscard]] static bool isExhausted(Item const &item);
    /// Whether one more send keeps within the number of answers with an error that an item may get.
    [[nodiscard]] bool mayBeSentAgain(Item const &item) const;
    void onUnanswered(Job const &job, Item &item, Instant now) const;
    [[nodiscard]] static UnansweredSends::SendState sendStateOf(Item const &item);
    static void setOtherUnanswered(Job &job, FailureCounts const &counts);
    [[nodiscard]] std::optional<FailureCommit> takeFailures(JobId const &id, Job &job) const;
    [[nodiscard]] std::optional<FailureCommit> takeUnanswered(JobId const &id, Job &job, Instant now) const;
    /// Makes an item wait again that was started and not sent.
    static void returnReserved(Item &item, Instant now);
    /// Whether the item is not sent because of what other tenures recorded.
    [[nodiscard]] bool isHeldByOthers(Item const &item) const;
    void giveUpFailed(Job &job, std::size_t index, Instant now);
    /// The job if it is still in the tenure of the commit.
    [[nodiscard]] Job *find(FailureCommit const &commit);
    static void restart(Item &item);
    void list(Job &job, ResultSegment &segment);
    /// Whether any item of the job may run in the pool.
    [[nodiscard]] static bool mayRun(Job const &job, PoolName const &pool);
    [[nodiscard]] static bool isWaitingFor(Item const &item, PoolName const &pool);

    JobTrackerOptions options_;
    std::map<JobId, Job> jobs_;
    /// Starts of items that can be on time since the last start of a late one, by pool.
    std::map<PoolName, std::uint32_t> startsSinceLate_;
    /// Moving average of the events of completed items; 0 before the first.
    double meanEvents_ = 0;
};

} // namespace Anvilyard::Jobs
