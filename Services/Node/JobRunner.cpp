#include "Services/Node/JobRunner.h"

#include "LibJobs/JobsError.h"
#include "LibObserve/Events.h"
#include "Services/Node/NodeRefusals.h"

#include <algorithm>

namespace Anvilyard::Node {

using Jobs::SendEnd;
using Platform::CallClass;
using Platform::PlatformError;

namespace {

/// Initial value of the moving average.
constexpr Duration InitialMeanRunTime = 4s;
constexpr double MeanRunTimeWeight = 0.1;
constexpr Duration LoadRetryDelay = 200ms;
/// Upper limit of the delay for a job that cannot be read, which doubles with each attempt. Another writer may have left it.
constexpr Duration MaxLoadRetryDelay = 30s;
/// Reading a job takes some calls of the store, each of which ends after a second or two at the latest.
constexpr Duration LoadOverdueAfter = 5s;
/// Within this time of a job's creation no other runner has taken the job and stored something: their watches return later, and a runner
/// counts as dead only after 1.5 s.
constexpr Duration NewJobTime = 500ms;
/// The admitting runner counts a job that it admitted for three seconds unless the owner names it.
constexpr Duration RecentJobTime = 4s;
/// The store takes some milliseconds to store a segment, and some hundred at its slowest.
constexpr Duration StoreOverdueAfter = 500ms;
/// A runner in the same region responds within milliseconds.
constexpr Duration OwnerCheckTimeout = 500ms;
/// Within this time the watch of jobs returns where jobs arrive all the time.
constexpr Duration WatchReturnTime = 2s;
/// After this time without reaching the platform's store, in which several attempts failed, a runner leaves its jobs to other
/// runners.
constexpr Duration StoreOutageTolerance = 700ms;

Jobs::TenureId makeTenure(RandomSource &random)
{
    return Jobs::TenureId(std::to_string(random()));
}

Duration ageOf(WallInstant acceptedAt)
{
    // After a backward step of the clock the difference would be negative.
    return std::max(Duration::zero(), std::chrono::duration_cast<Duration>(readClocks().wall - acceptedAt));
}

} // namespace

JobRunner::JobRunner(NodeContext &context,
                     NodeMetrics &metrics,
                     HealthProber &health,
                     PermitClient &permits,
                     PeerReportExchange &peerReports,
                     Jobs::OwnerCheckOptions const &ownerCheck)
    : context_(context)
    , metrics_(metrics)
    , health_(health)
    , permits_(permits)
    , peerReports_(peerReports)
    , placement_({.self = context.settings.instance})
    , jobs_(Jobs::JobTrackerOptions{})
    , jobFollower_({
          .loop = context.loop,
          .store = context.store,
          .kind = Jobs::jobKind,
          .random = context.random,
          .hooks = {
              .onPage =
                  [this](std::vector<Platform::Object> const &objects) {
                      for (auto const &object : objects)
                          onJobChanged(Platform::WatchChange::Added, object);
                  },
              .onChange = [this](Platform::WatchChange change, Platform::Object const &object) { onJobChanged(change, object); },
          },
      })
    , unanswered_(context, health, placement_)
    , failures_(context)
    , meanRunTime_(InitialMeanRunTime)
    , waitLog_(context, jobs_, placement_)
    , ownerCheck_(ownerCheck)
{
}

void JobRunner::start()
{
    jobFollower_.start();
}

void JobRunner::onJobChanged(Platform::WatchChange change, Platform::Object const &object)
{
    JobId const job(object.name.value());
    if (change == Platform::WatchChange::Deleted) {
        knownJobs_.erase(job);
        ownerCheck_.remove(job);
        cancelRuns(job);
        jobs_.remove(job);
        policyRoutes_.erase(job);
        return;
    }
    onJobKnown(job, Jobs::isEnded(object.status));
    auto &known = knownJobs_.at(job);
    known.unreadableLoads = 0;
    known.loadNotBefore = Instant::min();
}

/// A notice may be lost, and so may the return of the watch. If the job does not exist, it is forgotten again.
void JobRunner::lookForUnheardJob(JobId const &job)
{
    if (owns(job) && !knownJobs_.contains(job))
        knownJobs_[job].isOwned = isFirstFor(job);
}

void JobRunner::onJobKnown(JobId const &job, bool isEnded)
{
    auto const [found, isNew] = knownJobs_.try_emplace(job);
    auto &known = found->second;
    known.isConfirmed = true;
    known.isEnded = known.isEnded || isEnded;
    if (isNew || known.isEnded)
        refreshOwner(job, known, readLocalClock());
    if (known.isEnded) {
        jobs_.onEnded(job);
        cancelRuns(job);
    }
}

void JobRunner::onNotice(PeerJobNotice const &notice)
{
    bool const isUnseen = !knownJobs_.contains(notice.job);
    onJobKnown(notice.job, notice.event == PeerJobNotice::Event::Ended);
    if (notice.isNew && isUnseen)
        knownJobs_[notice.job].isNewUntil = readLocalClock() + NewJobTime;
}

bool JobRunner::isFirstFor(JobId const &job) const
{
    return context_.peers.ownerOf(job) == context_.settings.instance;
}

void JobRunner::refreshOwner(JobId const &job, KnownJob &known, Instant now)
{
    known.isOwned = isFirstFor(job);
    bool const isChecker =
        !known.isOwned && !known.isEnded && known.isConfirmed && context_.peers.nextOwnerOf(job) == context_.settings.instance;
    ownerCheck_.setOwner(job, isChecker ? context_.peers.ownerOf(job) : std::nullopt, now);
    known.isTaken = ownerCheck_.isTaken(job);
}

void JobRunner::refreshOwnership(Instant now)
{
    auto const hash = context_.peers.runnersHash();
    if (ownershipHash_ == hash)
        return;
    ownershipHash_ = hash;
    for (auto &[job, known] : knownJobs_)
        refreshOwner(job, known, now);
    uncheckedChangeAt_ = now;
    logRunners();
}

void JobRunner::logRunners()
{
    auto const &runners = context_.peers.runners();
    auto const namesIn = [](std::vector<InstanceId> const &ids, std::vector<InstanceId> const &others) {
        std::string names;
        for (auto const &id : ids) {
            if (std::find(others.begin(), others.end(), id) == others.end())
                names += (names.empty() ? "" : ",") + id.value();
        }
        return names;
    };
    std::string observed;
    for (auto const &runner : runners) {
        if (auto const observer = context_.peers.observerOf(runner))
            observed += (observed.empty() ? "" : ",") + runner.value() + " by " + observer->value();
    }
    Observe::log(Observe::Events::NodeRunnersChanged,
                 {{"runners", std::to_string(runners.size())},
                  {"added", namesIn(runners, loggedRunners_)},
                  {"removed", namesIn(loggedRunners_, runners)},
                  {"observed", observed}});
    loggedRunners_ = runners;
}

void JobRunner::renewSilentWatch(Instant now)
{
    if (!uncheckedChangeAt_ || now - *uncheckedChangeAt_ < WatchReturnTime)
        return;
    jobFollower_.renewWatch(*uncheckedChangeAt_);
    uncheckedChangeAt_.reset();
}

bool JobRunner::owns(JobId const &job) const
{
    if (isLeaving_)
        return false;
    auto const known = knownJobs_.find(job);
    bool const isCurrent = known != knownJobs_.end() && ownershipHash_ == context_.peers.runnersHash();
    return isCurrent ? known->second.isOwned || known->second.isTaken : isFirstFor(job);
}

void JobRunner::load(JobId const &job)
{
    auto &known = knownJobs_[job];
    known.isLoading = true;
    known.loadingSince = readLocalClock();
    known.isOverdueLogged = false;
    // Another runner may run items of a new job only while the runners disagree about its owner.
    bool const isNew = known.loadingSince < known.isNewUntil && !context_.peers.isUnsettled(known.loadingSince);
    // Both are read at once.
    struct Parts {
        std::optional<Result<Jobs::LoadedJob>> job;
        std::optional<Result<Jobs::RecordedCounts>> counts;
    };
    auto const parts = std::make_shared<Parts>();
    auto const onPart = [this, job, parts] {
        if (parts->job && parts->counts)
            onJobLoaded(job, std::move(*parts->job), *parts->counts);
    };
    Jobs::loadJob(
        context_.store, job, isNew ? Jobs::LoadExtent::JobOnly : Jobs::LoadExtent::Full, [parts, onPart](Result<Jobs::LoadedJob> loaded) {
            parts->job = std::move(loaded);
            onPart();
        });
    if (isNew) {
        parts->counts = Jobs::RecordedCounts();
        return;
    }
    Jobs::loadCounts(context_.store, job, [parts, onPart](Result<Jobs::RecordedCounts> counts) {
        parts->counts = std::move(counts);
        onPart();
    });
}

void JobRunner::onJobLoaded(JobId const &job, Result<Jobs::LoadedJob> loaded, Result<Jobs::RecordedCounts> const &counts)
{
    auto const now = readLocalClock();
    auto const found = knownJobs_.find(job);
    if (found == knownJobs_.end())
        return;
    found->second.isLoading = false;
    // A record that cannot be read must not keep the job from being run.
    bool const areCountsUnreadable = !counts && counts.error().code == Jobs::JobsError::BadObject;
    if (areCountsUnreadable)
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", job.value()}, {"error", counts.error().toString()}});
    else if (loaded && !counts)
        loaded = tl::unexpected(counts.error());
    if (!loaded) {
        Observe::log(Observe::Events::NodeJobReadFailed, {{"job", job.value()}, {"error", loaded.error().toString()}});
        // The job may have been stored since it was looked for.
        if (loaded.error().code == Jobs::JobsError::JobNotFound && !found->second.isConfirmed)
            knownJobs_.erase(found);
        else
            retryLoadLater(found->second, loaded.error(), now);
        return;
    }
    if (!owns(job))
        return;
    std::size_t listed = 0;
    for (auto const &segment : loaded->segments)
        listed += segment.outcomes.size();
    Observe::log(Observe::Events::NodeJobTaken,
                 {{"job", job.value()},
                  {"items", std::to_string(loaded->record.items.size())},
                  {"listed", std::to_string(listed)},
                  {"runners", std::to_string(context_.peers.runners().size())}});
    auto const age = ageOf(loaded->record.acceptedAt);
    found->second.isEnded = found->second.isEnded || loaded->isEnded;
    jobs_.add(std::move(loaded->record), std::move(loaded->segments), age, now, makeTenure(context_.random));
    jobs_.setRecordedCounts(job, counts ? *counts : Jobs::RecordedCounts());
    if (found->second.isEnded)
        jobs_.onEnded(job);
    policyRoutes_.erase(job);
    refreshPolicies(job, now);
    servePendingReads(now);
}

void JobRunner::retryLoadLater(KnownJob &known, Error const &error, Instant now)
{
    constexpr std::uint32_t MaxDoublings = 10;
    auto const doublings = std::min(known.unreadableLoads, MaxDoublings);
    known.loadNotBefore = now + std::min(LoadRetryDelay * (1U << doublings), MaxLoadRetryDelay);
    // While the store fails, nothing is known of the job.
    bool const isAnswered =
        error.code == Jobs::JobsError::BadObject || error.code == Jobs::JobsError::JobNotFound || error.code == PlatformError::NotFound;
    known.unreadableLoads += isAnswered ? 1 : 0;
}

void JobRunner::refreshPolicies(JobId const &job, Instant now)
{
    auto const *record = jobs_.find(job);
    if (!record || !context_.routes || std::exchange(policyRoutes_[job], context_.routes) == context_.routes)
        return;
    auto const routeOf = [&](Jobs::JobItem const &item) {
        std::string_view const target = item.target;
        return context_.routes->find(record->host, target.substr(0, target.find('?')));
    };
    auto const isBatch = [](Serving::Route const *route) { return route && route->kind == Serving::RouteKind::Batch; };
    auto const batchItem = std::ranges::find_if(record->items, [&](Jobs::JobItem const &item) { return isBatch(routeOf(item)); });
    auto const *batchRoute = batchItem == record->items.end() ? nullptr : routeOf(*batchItem);
    auto const makePolicy = [&](Serving::Route const *route) {
        if (!route)
            return Jobs::ItemPolicy{.isRouted = false};
        // A route of another kind has no queue time, so that an item with such a path would never end.
        auto const &limits = !isBatch(route) && batchRoute ? *batchRoute : *route;
        return Jobs::ItemPolicy{
            .pool = Serving::poolFor(*route, RequestId(job.value())),
            .maxAttempts = limits.maxServers,
            .completionTarget = limits.completionTarget,
            .giveUpAfter = limits.giveUpAfter,
        };
    };
    std::map<Serving::Route const *, std::shared_ptr<Jobs::ItemPolicy const>> policies;
    jobs_.setPolicies(
        job,
        [&](Jobs::JobItem const &item) {
            auto const *route = routeOf(item);
            auto &policy = policies[route];
            if (!policy)
                policy = std::make_shared<Jobs::ItemPolicy const>(makePolicy(route));
            return policy;
        },
        now);
}

void JobRunner::reconcile(Instant now)
{
    refreshOwnership(now);
    renewSilentWatch(now);
    for (auto const &job : jobs_.jobs()) {
        if (!owns(job)) {
            auto const owner = context_.peers.ownerOf(job);
            auto const observer = owner ? context_.peers.observerOf(*owner) : std::nullopt;
            Observe::log(
                Observe::Events::NodeJobHandedOver,
                {{"job", job.value()}, {"owner", owner ? owner->value() : "none"}, {"observer", observer ? observer->value() : ""}});
            cancelRuns(job);
            for (auto const &commit : jobs_.takeLastFailures(job))
                failures_.recordLast(commit);
            jobs_.remove(job);
            policyRoutes_.erase(job);
            pendingStores_.erase(job);
        } else {
            refreshPolicies(job, now);
        }
    }
    for (auto const &[job, known] : knownJobs_) {
        if (context_.maySendItems && !known.isLoading && now >= known.loadNotBefore && !jobs_.contains(job) && owns(job))
            load(job);
    }
}

void JobRunner::checkOwners(Instant now)
{
    // No runner could read a job that it took.
    if (context_.peers.isStoreLostForAllRunners())
        return;
    for (auto const &check : ownerCheck_.takeDue(now)) {
        if (jobs_.isDone(check.job)) {
            onOwnerAnswer(check, Jobs::OwnerAnswer::Done);
            continue;
        }
        auto const owner = context_.peers.addressOf(check.owner);
        if (!owner) {
            onOwnerAnswer(check, Jobs::OwnerAnswer::None);
            continue;
        }
        Http::ClientRequest request{
            .server = *owner,
            .request = {.method = "GET", .target = toTarget(PeerOwnerCheck{.job = check.job})},
            .deadline = now + OwnerCheckTimeout,
            .connectTimeout = OwnerCheckTimeout,
        };
        context_.peerClient->fetch(std::move(request), [this, check](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
            if (!answer)
                return onOwnerAnswer(check, Jobs::OwnerAnswer::None);
            if (answer->status == NotOwnerStatus)
                return onOwnerAnswer(check, Jobs::OwnerAnswer::NotHeld);
            // An owner of the previous version does not understand the question, but runs.
            onOwnerAnswer(check, answer->body == JobDoneBody ? Jobs::OwnerAnswer::Done : Jobs::OwnerAnswer::Holds);
        });
    }
}

void JobRunner::onOwnerAnswer(Jobs::OwnerCheck::Check const &check, Jobs::OwnerAnswer answer)
{
    ownerCheck_.onAnswer(check, answer, readLocalClock());
    auto const known = knownJobs_.find(check.job);
    if (known == knownJobs_.end())
        return;
    bool const isTaken = ownerCheck_.isTaken(check.job);
    if (std::exchange(known->second.isTaken, isTaken) == isTaken || !isTaken)
        return;
    Observe::log(Observe::Events::NodeOwnerReplaced,
                 {{"job", check.job.value()},
                  {"owner", check.owner.value()},
                  {"reason", answer == Jobs::OwnerAnswer::NotHeld ? "not held" : "no answer"}});
}

void JobRunner::onTick(Instant now)
{
    reconcile(now);
    for (auto const &send : unanswered_.takeCrashed(now))
        jobs_.onServerCrashed(send.job, send.index);
    jobs_.onTick(now);
    if (!isLeaving_) {
        checkOwners(now);
        dispatch(now);
        waitLog_.onTick(
            poolServers_, [this] { return unreadJobs(); }, now);
        logOverdueLoads(now);
    }
    storeOutcomes(now);
    recordFailures(now);
    confirmJobs(now);
    servePendingReads(now);
    peerReports_.setWaitingTokens(jobs_.waitingTokens());
    if (context_.routes && context_.routes->customers())
        peerReports_.setCustomerTokens(jobs_.waitingTokensByCustomer(), jobs_.acceptedWithin(RecentJobTime, now));
    else
        peerReports_.setCustomerTokens({}, {});
    auto const unreachableSince = jobFollower_.unreachableSince();
    bool const isLost = unreachableSince && now - *unreachableSince >= StoreOutageTolerance;
    peerReports_.setStoreReachability(isLost ? Serving::StoreReachability::Lost : Serving::StoreReachability::Reached);
}

void JobRunner::onLoadChanged(Instant now)
{
    // A peer that was heard for the first time may own some of the jobs.
    if (ownershipHash_ != context_.peers.runnersHash())
        reconcile(now);
    if (!isLeaving_)
        dispatch(now);
}

void JobRunner::refreshAssignments(Instant now)
{
    std::pair const versions(context_.serversVersion, context_.peers.topologyVersion());
    if (assignmentVersions_ == versions)
        return;
    assignmentVersions_ = versions;
    poolServers_.clear();
    itemVersions_.clear();
    std::map<ServerId, Serving::SoftwareVersion> softwareVersions;
    auto const ejected = context_.health.ejected();
    std::map<PoolName, std::vector<Serving::ItemServer>> pools;
    for (auto const &[record, use] : context_.directory.usable(now)) {
        bool const acceptsNew = use == Serving::ServerUse::Usable && !ejected.contains(record.id);
        pools[record.pool].push_back({.id = record.id, .dataCentre = record.dataCentre, .acceptsNew = acceptsNew});
        bool const isFar = record.dataCentre != context_.settings.dataCentre;
        softwareVersions[record.id] = record.softwareVersion;
        poolServers_[record.pool].push_back({.id = record.id, .slots = record.slots, .isFar = isFar, .acceptsNew = acceptsNew});
    }
    for (auto &[pool, servers] : poolServers_) {
        auto const assigned = context_.peers.itemServers(pools[pool]);
        for (auto &server : servers) {
            server.isAssigned = assigned.contains(server.id);
            if (server.isAssigned && server.acceptsNew)
                itemVersions_[pool].insert(softwareVersions.at(server.id));
        }
    }
}

void JobRunner::dispatch(Instant now)
{
    if (!context_.maySendItems)
        return;
    refreshAssignments(now);
    auto const tokens = jobs_.waitingTokens();
    auto const avoided = context_.health.avoided(Routing::SendsLeft::Some, now);
    for (auto const &[pool, servers] : poolServers_) {
        bool const isRestricted = context_.limits.limitedServers() > 0 || !avoided.empty();
        auto const &available = isRestricted ? openNow(servers, avoided, now) : servers;
        startCarefulItems(pool, available, now);
        Jobs::ItemDemand const demand{.waiting = jobs_.waiting(pool, now, Jobs::ItemSelection::Ordinary), .tokens = tokens};
        for (auto const &change : placement_.plan(pool, available, demand, context_.load, context_.peers, now)) {
            if (change.preempt > 0)
                preempt(change.server, change.preempt, now);
            if (change.start > 0)
                startItems(change.server, change.start, now);
        }
    }
}

void JobRunner::logOverdueLoads(Instant now)
{
    for (auto &[job, known] : knownJobs_) {
        if (!known.isLoading || now - known.loadingSince < LoadOverdueAfter || std::exchange(known.isOverdueLogged, true))
            continue;
        Observe::log(Observe::Events::NodeJobLoadOverdue,
                     {{"job", job.value()}, {"after_ms", std::to_string((now - known.loadingSince) / 1ms)}});
    }
}

std::vector<JobId> JobRunner::unreadJobs() const
{
    std::vector<JobId> unread;
    for (auto const &[job, known] : knownJobs_) {
        if (!jobs_.contains(job) && known.isConfirmed && !known.isEnded && owns(job))
            unread.push_back(job);
    }
    return unread;
}

void JobRunner::startItems(ServerId const &serverId, std::uint32_t count, Instant now)
{
    auto const server = context_.directory.find(serverId, now);
    if (!server)
        return;
    if (context_.limits.isLimited(server->record))
        return withPermit(server->record, [this, server = server->record](Instant granted) { startItemsAt(server, 1, granted); });
    startItemsAt(server->record, count, now);
}

std::vector<Jobs::PoolServer>
JobRunner::openNow(std::vector<Jobs::PoolServer> servers, std::span<ServerId const> avoided, Instant now) const
{
    for (auto &server : servers) {
        auto const known = context_.directory.find(server.id, now);
        auto const allowance = known ? context_.limits.allowances().find(known->record, Serving::Urgency::Batch, now) : std::nullopt;
        bool const isAvoided = std::ranges::find(avoided, server.id) != avoided.end();
        server.acceptsNew = server.acceptsNew && !isAvoided && !(allowance && allowance->exhaustedUntil);
    }
    return servers;
}

bool JobRunner::hasFreeSlot(Serving::ServerRecord const &server) const
{
    auto const own = context_.load.at(server.id);
    auto const others = context_.peers.othersAt(server.id);
    return own.online + own.batch + others.online + others.batch < server.slots;
}

void JobRunner::withPermit(Serving::ServerRecord const &server, std::function<void(Instant now)> start)
{
    if (!pendingPermits_.insert(server.id).second)
        return;
    permits_.request(server, Serving::Urgency::Batch, [this, server, start = std::move(start)](bool isGranted) {
        pendingPermits_.erase(server.id);
        if (isGranted && hasFreeSlot(server))
            start(readLocalClock());
    });
}

void JobRunner::startItemsAt(Serving::ServerRecord const &server, std::uint32_t count, Instant now)
{
    auto const &pool = server.pool;
    for (std::uint32_t started = 0; started < count;) {
        Jobs::ItemVersions const versions{.current = server.softwareVersion, .inUse = itemVersions_[pool]};
        auto const next = jobs_.next(pool, versions, meanRunTime_, now, Jobs::ItemSelection::Ordinary);
        if (!next)
            break;
        started += startItem(server, *next, now) ? 1 : 0;
    }
}

void JobRunner::startCarefulItems(PoolName const &pool, std::span<Jobs::PoolServer const> servers, Instant now)
{
    bool hasStarted = false;
    while (auto const item = jobs_.next(pool, {}, meanRunTime_, now, Jobs::ItemSelection::Careful)) {
        auto const server = unanswered_.chooseServer(pool, servers, *item->unansweredAt, now);
        if (!server)
            break;
        if (context_.limits.isLimited(*server)) {
            withPermit(*server, [this, server = *server](Instant granted) {
                if (auto const next = jobs_.next(server.pool, {}, meanRunTime_, granted, Jobs::ItemSelection::Careful))
                    startItem(server, *next, granted);
                recordFailures(granted);
            });
            break;
        }
        hasStarted = startItem(*server, *item, now) || hasStarted;
    }
    // Their sends are recorded first, while they have their places at the servers.
    if (hasStarted)
        recordFailures(now);
}

bool JobRunner::startItem(Serving::ServerRecord const &server, Jobs::ItemStart item, Instant now)
{
    item.version = server.softwareVersion;
    auto const *record = jobs_.find(item.job);
    auto const origin = originOf(*record);
    if (context_.prompts.refusalReason(suspectsOf(context_, record->items[item.index], origin))) {
        jobs_.onHeldBack(item, now);
        return false;
    }
    jobs_.onStarted(item);
    metrics_.itemStarts.add();
    if (context_.limits.isLimited(server))
        metrics_.limitedSends.add();
    waitLog_.onStarted(server.pool, now);
    auto const run = std::make_shared<ItemRun>(
        context_,
        health_,
        server,
        item,
        ItemRun::Hooks{
            .onEvent = [this, item](std::optional<std::uint64_t> eventId,
                                    std::string_view data) { return jobs_.onEvent(item.job, item.index, eventId, data); },
            .onAnswered = [this, id = server.id, now] { unanswered_.onAnswered(id, now); },
            .onBroken = [this, id = server.id] { unanswered_.onBroken(id); },
            .onEnd = [this, item, server](SendEnd end) { onRunEnded(item, server, end); },
        });
    runs_.push_back(run);
    if (item.unansweredAt) {
        unanswered_.onSentAgain(server, now);
        run->reserve();
    } else {
        run->start(record->items[item.index], origin);
    }
    return true;
}

ItemOrigin JobRunner::originOf(Jobs::JobRecord const &record) const
{
    return {.host = record.host, .customer = itemCustomer(context_.routes.get(), record)};
}

std::list<std::shared_ptr<ItemRun>>::iterator JobRunner::findRun(JobId const &job, std::size_t index)
{
    return std::ranges::find_if(runs_, [&](auto const &run) { return run->item().job == job && run->item().index == index; });
}

void JobRunner::onRunEnded(Jobs::ItemStart const &item, Serving::ServerRecord const &server, SendEnd end)
{
    auto const now = readLocalClock();
    if (auto const found = findRun(item.job, item.index); found != runs_.end()) {
        if (end == SendEnd::Complete && !item.lastEventId)
            meanRunTime_ += std::chrono::duration_cast<Duration>((now - (*found)->startedAt() - meanRunTime_) * MeanRunTimeWeight);
        runs_.erase(found);
    }
    jobs_.onSendEnded(item.job, item.index, end, now);
    if (end == SendEnd::Unanswered) {
        metrics_.unansweredItems.add();
        unanswered_.add({.job = item.job, .index = item.index, .server = server, .endedAt = now});
    }
    // A new owner that does not find them in the store would run the item again.
    if (end == SendEnd::Failed || end == SendEnd::Impossible || end == SendEnd::Unanswered) {
        storeOutcomes(now);
        recordFailures(now);
    }
}

void JobRunner::sendReserved(Instant now)
{
    for (auto const &[job, index, maySend] : jobs_.takeReservedSends(now)) {
        auto const found = findRun(job, index);
        if (found == runs_.end())
            continue;
        auto const run = *found;
        bool const isServerUsable = context_.directory.find(run->server().id, now).has_value();
        if (auto const *record = jobs_.find(job); record && maySend && isServerUsable) {
            run->start(record->items[index], originOf(*record));
            continue;
        }
        run->cancel();
        runs_.erase(found);
        // An item that may not be sent waits already.
        if (maySend)
            jobs_.onSendEnded(job, index, SendEnd::Unserved, now);
    }
}

/// Cancels the runs that started last because they have the most work left.
void JobRunner::preempt(ServerId const &server, std::uint32_t count, Instant now)
{
    for (auto run = runs_.rbegin(); run != runs_.rend() && count > 0;) {
        auto const current = *run;
        if (current->server().id != server || current->isSentWithCare()) {
            ++run;
            continue;
        }
        --count;
        metrics_.itemPreemptions.add();
        current->cancel();
        run = std::make_reverse_iterator(runs_.erase(std::next(run).base()));
        jobs_.onSendEnded(current->item().job, current->item().index, SendEnd::Preempted, now);
    }
}

void JobRunner::cancelRuns(JobId const &job)
{
    auto const now = readLocalClock();
    std::erase_if(runs_, [&](std::shared_ptr<ItemRun> const &run) {
        if (run->item().job != job)
            return false;
        run->cancel();
        // The server may have answered, and a new owner sends the item again.
        auto const end = run->hasResponse() ? SendEnd::Preempted : run->isSent() ? SendEnd::Unanswered : SendEnd::Unserved;
        jobs_.onSendEnded(job, run->item().index, end, now);
        return true;
    });
}

void JobRunner::storeOutcomes(Instant now)
{
    for (auto &[job, segment] : jobs_.takeCommits(now))
        store(job, std::move(segment));
}

void JobRunner::recordFailures(Instant now)
{
    for (auto &commit : jobs_.takeFailures(now)) {
        failures_.record(commit, [this, commit](Result<Jobs::FailureCounts> const &others) {
            auto const recorded = readLocalClock();
            if (!others)
                return jobs_.onFailuresNotRecorded(commit, recorded);
            jobs_.onFailuresRecorded(commit, *others, recorded);
            storeOutcomes(recorded);
            sendReserved(recorded);
        });
    }
    sendReserved(now);
}

void JobRunner::store(JobId const &job, Jobs::ResultSegment segment)
{
    ++pendingStoreCalls_;
    pendingStores_.try_emplace(job, PendingStore{.since = readLocalClock()});
    auto const name = Jobs::segmentObject(job, segment.first);
    auto spec = Jobs::encodeSegment(segment);
    context_.store.create(
        CallClass::Commit,
        Jobs::segmentKind,
        name,
        std::move(spec),
        [this, job, segment = std::move(segment)](Result<Platform::Object> created) mutable {
            --pendingStoreCalls_;
            auto const now = readLocalClock();
            if (created) {
                metrics_.segmentsStored.add();
                logGivenUp(job, segment);
                return onSegmentStored(job, std::move(segment));
            }
            if (created.error().code != PlatformError::AlreadyExists) {
                Observe::log(Observe::Events::NodeSegmentStoreFailed, {{"job", job.value()}, {"error", created.error().toString()}});
                auto const &code = created.error().code;
                if (code == PlatformError::InvalidValue || code == PlatformError::ValueTooLarge)
                    return onStoreRefused(job, segment, now);
                return onStoreFailed(job, created.error(), now);
            }
            // Another runner stored this segment, or this runner did and the response was lost. The stored segment is
            // authoritative.
            Jobs::loadSegment(context_.store, job, segment.first, [this, job](Result<std::optional<Jobs::ResultSegment>> stored) {
                if (!stored || !*stored)
                    return onStoreFailed(job, {.code = make_error_code(PlatformError::OutcomeUnknown)}, readLocalClock());
                onSegmentStored(job, std::move(**stored));
            });
        });
}

void JobRunner::onSegmentStored(JobId const &job, Jobs::ResultSegment segment)
{
    pendingStores_.erase(job);
    jobs_.onStored(job, std::move(segment));
    servePendingReads(readLocalClock());
}

void JobRunner::onStoreRefused(JobId const &job, Jobs::ResultSegment const &segment, Instant now)
{
    metrics_.segmentsRefused.add();
    auto const pending = pendingStores_.find(job);
    if (pending != pendingStores_.end() && !pending->second.isOutcomeUnknown)
        pendingStores_.erase(pending);
    Observe::log(Observe::Events::NodeSegmentRefused,
                 {{"job", job.value()},
                  {"first", std::to_string(segment.first)},
                  {"outcomes", std::to_string(segment.outcomes.size())},
                  {"item", segment.outcomes.size() == 1 ? segment.outcomes.front().id.value() : ""}});
    jobs_.onStoreRefused(job, segment, now);
}

void JobRunner::onStoreFailed(JobId const &job, Error const &error, Instant now)
{
    auto const pending = pendingStores_.find(job);
    if (pending != pendingStores_.end()) {
        auto &isOutcomeUnknown = pending->second.isOutcomeUnknown;
        isOutcomeUnknown = isOutcomeUnknown || error.code == PlatformError::OutcomeUnknown;
        if (!isOutcomeUnknown)
            pendingStores_.erase(pending);
    }
    jobs_.onStoreFailed(job, now);
}

bool JobRunner::mayHideSegment(JobId const &job, Instant now) const
{
    auto const pending = pendingStores_.find(job);
    return pending != pendingStores_.end() && (pending->second.isOutcomeUnknown || now - pending->second.since >= StoreOverdueAfter);
}

void JobRunner::logGivenUp(JobId const &job, Jobs::ResultSegment const &segment)
{
    for (auto const &outcome : segment.outcomes) {
        if (outcome.state == Jobs::OutcomeState::GivenUp)
            Observe::log(Observe::Events::NodeItemGivenUp, {{"job", job.value()}, {"item", outcome.id.value()}});
    }
}

bool JobRunner::handle(Http::HttpRequest const &request, Writer const &writer)
{
    auto const call = parsePeerJobCall(request);
    if (!call)
        return false;
    if (auto const *body = std::get_if<PeerReadBody>(&*call)) {
        serveBody(*body, writer);
        return true;
    }
    if (auto const *access = std::get_if<PeerJobAccess>(&*call)) {
        respondWithAccess(context_.routes.get(), jobs_.find(access->job), access->caller, *writer);
        return true;
    }
    if (auto const *admission = std::get_if<PeerAdmission>(&*call)) {
        serveAdmission(*admission, writer);
        return true;
    }
    if (auto const *notice = std::get_if<PeerJobNotice>(&*call)) {
        onNotice(*notice);
        writer->respond({.status = 200});
        return true;
    }
    if (auto const *check = std::get_if<PeerOwnerCheck>(&*call)) {
        serveOwnerCheck(*check, writer);
        return true;
    }
    auto const &read = std::get<PeerReadResults>(*call);
    auto const now = readLocalClock();
    // The reader has outcomes that this runner has not listed. Another runner's segment may have taken effect after it was looked for.
    if (jobs_.contains(read.job) && read.from > jobs_.listedCount(read.job))
        unconfirmed_.try_emplace(read.job, false);
    PendingRead pendingRead{.call = read, .until = now + read.wait, .writer = writer};
    if (!serve(pendingRead, now))
        pendingReads_.push_back(std::move(pendingRead));
    return true;
}

void JobRunner::serveBody(PeerReadBody const &call, Writer const &writer)
{
    if (refuseForeign(context_.routes.get(), jobs_.find(call.job), call.caller, *writer))
        return;
    auto const *item = owns(call.job) ? jobs_.findItem(call.job, call.item) : nullptr;
    if (!item || jobs_.isListed(call.job, call.item)) {
        lookForUnheardJob(call.job);
        return writer->respond({.status = NotOwnerStatus});
    }
    writer->respond(markAccessChecked({.status = 200, .body = item->body}));
}

void JobRunner::serveOwnerCheck(PeerOwnerCheck const &call, Writer const &writer)
{
    lookForUnheardJob(call.job);
    if (!owns(call.job) || !jobs_.contains(call.job))
        return writer->respond({.status = NotOwnerStatus});
    bool const isDone = jobs_.isDone(call.job) || knownJobs_.at(call.job).isEnded;
    writer->respond({.status = 200, .body = std::string(isDone ? JobDoneBody : "")});
}

/// A single runner admits the jobs of a route. Otherwise two entries could use the same remaining quota.
void JobRunner::serveAdmission(PeerAdmission const &call, Writer const &writer)
{
    auto const now = readLocalClock();
    auto const others = context_.peers.waitingTokens(now);
    auto const &customer = call.caller;
    auto const waiting = customer ? jobs_.waitingTokensByCustomer()[*customer] + context_.customerTokens.waiting(*customer, others, now)
                                  : jobs_.waitingTokens() + others;
    bool const isAdmitted = admission_.tryAdmit(
        {.job = call.job, .customer = customer, .tokens = call.tokens, .maxTokens = call.maxTokens},
        waiting,
        [&](JobId const &job) { return jobs_.contains(job) || context_.customerTokens.isCounted(job, now); },
        now);
    writer->respond({.status = isAdmitted ? 200 : QuotaFullStatus});
}

bool JobRunner::serve(PendingRead const &read, Instant now)
{
    if (refuseForeign(context_.routes.get(), jobs_.find(read.call.job), read.call.caller, *read.writer))
        return true;
    auto const known = knownJobs_.find(read.call.job);
    if (!owns(read.call.job) || known == knownJobs_.end()) {
        lookForUnheardJob(read.call.job);
        read.writer->respond({.status = NotOwnerStatus});
        return true;
    }
    auto const page = jobs_.read(read.call.job, read.call.from, Jobs::MaxPageBytes);
    if (!page) {
        // This runner owns the job but has not loaded it yet.
        if (now < read.until)
            return false;
        read.writer->respond({.status = NotOwnerStatus});
        return true;
    }
    bool const hasNoMoreResults = read.call.from >= page->total || known->second.isEnded;
    if (page->outcomes.empty() && !hasNoMoreResults && now < read.until)
        return false;
    // While two runners may both consider themselves the owner, or the outcome of storing a segment is unknown, only the store shows that
    // there is no new result.
    bool const mayLackResults = mayHideSegment(read.call.job, now) || read.call.runnersHash != context_.peers.runnersHash()
        || context_.peers.isUnsettled(now) || unconfirmed_.contains(read.call.job);
    auto response = markAccessChecked(context_.protocol.writeResults(*page));
    if (page->outcomes.empty() && mayLackResults) {
        // Only at the end of the listed outcomes would a segment of another runner begin.
        if (read.call.from != jobs_.listedCount(read.call.job))
            response = {.status = NotOwnerStatus};
        else
            response.status = UnconfirmedStatus;
    }
    read.writer->respond(std::move(response));
    return true;
}

void JobRunner::confirmJobs(Instant now)
{
    if (context_.peers.isUnsettled(now)) {
        for (auto const &job : jobs_.jobs()) {
            if (!jobs_.isDone(job))
                unconfirmed_.try_emplace(job, false);
        }
        return;
    }
    for (auto &[job, isInFlight] : unconfirmed_) {
        if (!std::exchange(isInFlight, true))
            confirm(job);
    }
}

void JobRunner::confirm(JobId const &job)
{
    auto const first = jobs_.listedCount(job);
    Jobs::loadSegment(context_.store, job, first, [this, job](Result<std::optional<Jobs::ResultSegment>> segment) {
        auto const found = unconfirmed_.find(job);
        if (found == unconfirmed_.end())
            return;
        found->second = false;
        // On an error the job stays unconfirmed and is checked again with the next tick.
        if (!segment)
            return;
        bool const isComplete = !*segment || !jobs_.contains(job);
        if (isComplete) {
            unconfirmed_.erase(found);
            return;
        }
        jobs_.onSegmentFound(job, std::move(**segment));
        servePendingReads(readLocalClock());
    });
}

void JobRunner::servePendingReads(Instant now)
{
    std::erase_if(pendingReads_, [&](PendingRead const &read) { return serve(read, now); });
}

void JobRunner::beginHandover()
{
    isLeaving_ = true;
}

Jobs::ItemCounts JobRunner::itemCounts() const
{
    return jobs_.counts();
}

Duration JobRunner::longestStall(Instant now) const
{
    return waitLog_.longestStall(now);
}

bool JobRunner::isIdle() const
{
    return pendingStoreCalls_ == 0 && failures_.isIdle() && runs_.empty();
}

} // namespace Anvilyard::Node
