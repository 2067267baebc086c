#pragma once

#include "LibHttp/HttpServer.h"
#include "LibJobs/ItemPlacement.h"
#include "LibJobs/JobTracker.h"
#include "LibJobs/OwnerCheck.h"
#include "LibJobs/TokenAdmission.h"
#include "Services/Node/FailureRecorder.h"
#include "Services/Node/ItemRun.h"
#include "Services/Node/ItemWaitLog.h"
#include "Services/Node/JobApiHandler.h"
#include "Services/Node/PeerReportExchange.h"
#include "Services/Node/UnansweredItems.h"

#include <list>
#include <map>
#include <set>

namespace Anvilyard::Node {

/// Runs the items of the jobs that this runner owns, stores their outcomes and serves the reads of entries.
class JobRunner
{
public:
    JobRunner(NodeContext &context,
              NodeMetrics &metrics,
              HealthProber &health,
              PermitClient &permits,
              PeerReportExchange &peerReports,
              Jobs::OwnerCheckOptions const &ownerCheck);

    void start();
    /// Takes jobs over and hands them over, starts and ends items, and stores outcomes. Call about 20 times a second.
    void onTick(Instant now);
    /// Called when the load of other instances at the servers changed.
    void onLoadChanged(Instant now);
    /// Returns whether the request was a call about a job.
    bool handle(Http::HttpRequest const &request, Writer const &writer);
    /// Stops starting items and hands the jobs over.
    void beginHandover();
    /// Whether no item is running and no outcome is being stored.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] Jobs::ItemCounts itemCounts() const;
    /// The longest time for which items of a pool have waited with none started.
    [[nodiscard]] Duration longestStall(Instant now) const;

private:
    struct KnownJob {
        /// It is in the store. Others were only asked for here.
        bool isConfirmed = false;
        bool isOwned = false;
        /// Its owner does not hold it, so that this runner runs it.
        bool isTaken = false;
        bool isEnded = false;
        bool isLoading = false;
        /// Until then nothing but the job itself can be stored of it, as no other runner has seen it.
        Instant isNewUntil = Instant::min();
        Instant loadingSince = Instant::min();
        bool isOverdueLogged = false;
        Instant loadNotBefore = Instant::min();
        /// Attempts since the last change of the job in which the store answered, but the job could not be read.
        std::uint32_t unreadableLoads = 0;
    };

    /// A read by an entry that waits for a result.
    struct PendingRead {
        PeerReadResults call;
        Instant until;
        Writer writer;
    };

    /// Records a job that exists in the store.
    void onJobKnown(JobId const &job, bool isEnded);
    void onNotice(PeerJobNotice const &notice);
    /// Reads a job from the store that is asked for here and that this runner would own.
    void lookForUnheardJob(JobId const &job);
    void onJobChanged(Platform::WatchChange change, Platform::Object const &object);
    void load(JobId const &job);
    void retryLoadLater(KnownJob &known, Error const &error, Instant now);
    /// Applies the current routes to the items of a job if they have changed since.
    void refreshPolicies(JobId const &job, Instant now);
    void reconcile(Instant now);
    void dispatch(Instant now);
    void refreshAssignments(Instant now);
    void logOverdueLoads(Instant now);
    /// Jobs of this runner that it has not read from the store yet.
    [[nodiscard]] std::vector<JobId> unreadJobs() const;
    /// Starts items, or requests a permit for one first if the server has a limit.
    void startItems(ServerId const &server, std::uint32_t count, Instant now);
    void startItemsAt(Serving::ServerRecord const &server, std::uint32_t count, Instant now);
    /// Starts items of which earlier sends were not answered.
    void startCarefulItems(PoolName const &pool, std::span<Jobs::PoolServer const> servers, Instant now);
    /// Returns whether the item was started. One that may crash servers is held back.
    bool startItem(Serving::ServerRecord const &server, Jobs::ItemStart item, Instant now);
    /// Sends the items whose sends are recorded now.
    void sendReserved(Instant now);
    [[nodiscard]] ItemOrigin originOf(Jobs::JobRecord const &record) const;
    [[nodiscard]] std::list<std::shared_ptr<ItemRun>>::iterator findRun(JobId const &job, std::size_t index);
    void onRunEnded(Jobs::ItemStart const &item, Serving::ServerRecord const &server, Jobs::SendEnd end);
    void onJobLoaded(JobId const &job, Result<Jobs::LoadedJob> loaded, Result<Jobs::RecordedCounts> const &counts);
    /// Calls `start` once there is a permit for one item, if the server has a free slot then.
    void withPermit(Serving::ServerRecord const &server, std::function<void(Instant now)> start);
    [[nodiscard]] bool hasFreeSlot(Serving::ServerRecord const &server) const;
    /// The servers, of which those without permits and those to be avoided accept no new items.
    [[nodiscard]] std::vector<Jobs::PoolServer>
    openNow(std::vector<Jobs::PoolServer> servers, std::span<ServerId const> avoided, Instant now) const;
    void preempt(ServerId const &server, std::uint32_t count, Instant now);
    void cancelRuns(JobId const &job);
    void storeOutcomes(Instant now);
    void store(JobId const &job, Jobs::ResultSegment segment);
    /// Records failures of items, so that the next owner of their jobs counts them.
    void recordFailures(Instant now);
    void onSegmentStored(JobId const &job, Jobs::ResultSegment segment);
    /// The store refused the segment for what it holds.
    void onStoreRefused(JobId const &job, Jobs::ResultSegment const &segment, Instant now);
    void onStoreFailed(JobId const &job, Error const &error, Instant now);
    /// Whether the store may have shown a segment of this runner to others for a while that this runner does not list yet.
    [[nodiscard]] bool mayHideSegment(JobId const &job, Instant now) const;
    static void logGivenUp(JobId const &job, Jobs::ResultSegment const &segment);
    /// Checks the store for outcomes of other runners after a period in which they may have owned the same jobs.
    void confirmJobs(Instant now);
    void confirm(JobId const &job);
    void servePendingReads(Instant now);
    /// Returns whether a response was sent.
    bool serve(PendingRead const &read, Instant now);
    void serveBody(PeerReadBody const &call, Writer const &writer);
    void serveOwnerCheck(PeerOwnerCheck const &call, Writer const &writer);
    /// Determines the owner of a job and whether this runner checks it.
    void refreshOwner(JobId const &job, KnownJob &known, Instant now);
    /// Asks owners whether they hold their jobs.
    void checkOwners(Instant now);
    void onOwnerAnswer(Jobs::OwnerCheck::Check const &check, Jobs::OwnerAnswer answer);
    void serveAdmission(PeerAdmission const &call, Writer const &writer);
    /// Logs the runners that came and went since the last change, and those that only others observe.
    void logRunners();
    /// Determines the owners of all known jobs anew after a change of the runners.
    void refreshOwnership(Instant now);
    /// After a change of the runners this one may own jobs that it has not heard of.
    void renewSilentWatch(Instant now);
    [[nodiscard]] bool owns(JobId const &job) const;
    [[nodiscard]] bool isFirstFor(JobId const &job) const;

    NodeContext &context_;
    NodeMetrics &metrics_;
    HealthProber &health_;
    PermitClient &permits_;
    PeerReportExchange &peerReports_;
    /// Determined anew only after a change of servers or runners. Load changes many times a second, and ranking all runners for each of
    /// hundreds of servers each time would take most of the processor time of a runner.
    std::map<PoolName, std::vector<Jobs::PoolServer>> poolServers_;
    /// Software versions of the servers that get items of this runner.
    std::map<PoolName, Serving::SoftwareVersions> itemVersions_;
    std::optional<std::pair<std::uint64_t, std::uint64_t>> assignmentVersions_;
    Jobs::ItemPlacement placement_;
    Jobs::JobTracker jobs_;
    StoreFollower jobFollower_;
    std::map<JobId, KnownJob> knownJobs_;
    /// Routes from which the policies of the items of each tracked job were made.
    std::map<JobId, std::shared_ptr<Serving::RouteTable const>> policyRoutes_;
    /// Runners for which `KnownJob::isOwned` holds. Ranking all runners for each of hundreds of jobs in every tick would take a third of
    /// the processor time of a runner.
    std::optional<std::uint64_t> ownershipHash_;
    std::vector<InstanceId> loggedRunners_;
    /// Last change of the runners, until the watch has been checked after it.
    std::optional<Instant> uncheckedChangeAt_;
    std::list<std::shared_ptr<ItemRun>> runs_;
    UnansweredItems unanswered_;
    FailureRecorder failures_;
    /// Servers for which a permit is requested.
    std::set<ServerId> pendingPermits_;
    std::list<PendingRead> pendingReads_;
    /// Jobs that may have more segments in the store than this runner has listed. The value is true while the next one is being
    /// read.
    std::map<JobId, bool> unconfirmed_;
    struct PendingStore {
        Instant since;
        /// An earlier call may have taken effect.
        bool isOutcomeUnknown = false;
    };
    /// Jobs of which the store may have a segment of this runner that is not listed yet.
    std::map<JobId, PendingStore> pendingStores_;
    Jobs::TokenAdmission admission_;
    /// Moving average of the duration of item runs that were not resumed.
    Duration meanRunTime_;
    ItemWaitLog waitLog_;
    Jobs::OwnerCheck ownerCheck_;
    std::size_t pendingStoreCalls_ = 0;
    bool isLeaving_ = false;
};

} // namespace Anvilyard::Node
