#include "LibJobs/JobTracker.h"

#include <algorithm>

namespace Anvilyard::Jobs {

namespace {

/// Weight of one completed item in the moving average of events.
constexpr double MeanEventsWeight = 0.1;

std::optional<std::uint32_t> countAt(FailureCounts const &counts, std::size_t index)
{
    auto const found = counts.find(index);
    return found == counts.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

JobTracker::JobTracker(JobTrackerOptions options)
    : options_(options)
{
}

void JobTracker::add(JobRecord record, std::vector<ResultSegment> segments, Duration acceptedAgo, Instant now, TenureId tenure)
{
    auto const id = record.id;
    Job job{.record = std::move(record), .acceptedAt = now - acceptedAgo, .tenure = std::move(tenure)};
    job.items.resize(job.record.items.size());
    for (std::size_t index = 0; index < job.items.size(); ++index)
        job.indexOf.emplace(job.record.items[index].id, index);
    for (auto &segment : segments)
        list(job, segment);
    jobs_.insert_or_assign(id, std::move(job));
}

void JobTracker::remove(JobId const &job)
{
    jobs_.erase(job);
}

void JobTracker::onEnded(JobId const &id)
{
    if (auto const found = jobs_.find(id); found != jobs_.end())
        found->second.isEnded = true;
}

void JobTracker::setPolicies(JobId const &id, PolicyOf const &policyOf, Instant now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    job.pools.clear();
    std::optional<Duration> completionTarget;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        auto &item = job.items[index];
        item.policy = policyOf(job.record.items[index]);
        if (!item.policy->isRouted) {
            item.unroutedSince = item.unroutedSince.value_or(now);
            continue;
        }
        item.unroutedSince.reset();
        job.pools.insert(item.policy->pool);
        completionTarget = std::min(completionTarget.value_or(item.policy->completionTarget), item.policy->completionTarget);
    }
    job.completionTarget = completionTarget.value_or(0s);
}

void JobTracker::setPolicy(JobId const &id, ItemPolicy policy, Instant now)
{
    auto const shared = std::make_shared<ItemPolicy const>(std::move(policy));
    setPolicies(
        id, [&](JobItem const &) { return shared; }, now);
}

bool JobTracker::contains(JobId const &job) const
{
    return jobs_.contains(job);
}

std::vector<JobId> JobTracker::jobs() const
{
    std::vector<JobId> ids;
    for (auto const &[id, job] : jobs_)
        ids.push_back(id);
    return ids;
}

JobRecord const *JobTracker::find(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second.record;
}

JobItem const *JobTracker::findItem(JobId const &id, ItemId const &item) const
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return nullptr;
    auto const index = found->second.indexOf.find(item);
    return index == found->second.indexOf.end() ? nullptr : &found->second.record.items[index->second];
}

bool JobTracker::isListed(JobId const &id, ItemId const &item) const
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return false;
    auto const index = found->second.indexOf.find(item);
    return index != found->second.indexOf.end() && found->second.items[index->second].state == Item::State::Listed;
}

bool JobTracker::isDone(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found != jobs_.end() && found->second.listed.size() == found->second.items.size();
}

JobTracker::Job *JobTracker::find(JobId const &id, std::size_t index)
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() || index >= found->second.items.size() ? nullptr : &found->second;
}

bool JobTracker::mayRun(Job const &job, PoolName const &pool)
{
    return !job.isEnded && job.pools.contains(pool);
}

bool JobTracker::isWaitingFor(Item const &item, PoolName const &pool)
{
    return item.state == Item::State::Waiting && item.policy->isRouted && item.policy->pool == pool;
}

bool JobTracker::canGoOnAt(Item const &item, Serving::SoftwareVersion const &version)
{
    return item.events == 0 || (item.version == version && item.pool == item.policy->pool);
}

bool JobTracker::mayRunAt(Item const &item, ItemVersions const &versions, Instant now) const
{
    return canGoOnAt(item, versions.current) || !versions.inUse.contains(item.version)
        || now - item.waitingSince >= options_.versionPatience;
}

bool JobTracker::isSelected(Item const &item, ItemSelection selection)
{
    return selection == ItemSelection::All || item.sends.mayHaveFailedUnseen() == (selection == ItemSelection::Careful);
}

std::optional<JobTracker::Candidate> JobTracker::candidateOf(JobId const &id,
                                                             Job const &job,
                                                             std::function<bool(Item const &)> const &mayStart,
                                                             ItemVersions const &versions,
                                                             Duration runTime,
                                                             Instant now) const
{
    auto waitingItem = job.items.end();
    for (auto item = job.items.begin(); item != job.items.end(); ++item) {
        if (mayStart(*item) && (waitingItem == job.items.end() || item->events > waitingItem->events))
            waitingItem = item;
    }
    if (waitingItem == job.items.end())
        return std::nullopt;
    auto const due = job.acceptedAt + waitingItem->policy->completionTarget;
    return Candidate{
        .due = due,
        .start = {.job = id,
                  .index = static_cast<std::size_t>(waitingItem - job.items.begin()),
                  .lastEventId = canGoOnAt(*waitingItem, versions.current) ? waitingItem->lastEventId : std::nullopt,
                  .isLate = now + timeLeft(*waitingItem, runTime) > due,
                  .version = versions.current,
                  .unansweredAt = waitingItem->sends.mayHaveFailedUnseen() ? std::optional(waitingItem->sends.lastAt()) : std::nullopt},
    };
}

std::optional<ItemStart> JobTracker::next(PoolName const &pool, Duration runTime, Instant now) const
{
    return next(pool, ItemVersions(), runTime, now);
}

std::optional<ItemStart>
JobTracker::next(PoolName const &pool, ItemVersions const &versions, Duration runTime, Instant now, ItemSelection selection) const
{
    auto const mayStart = [&](Item const &item) {
        return isWaitingFor(item, pool) && isSelected(item, selection) && !isPaused(item, now) && mayRunAt(item, versions, now);
    };
    std::optional<Candidate> onTime;
    std::optional<Candidate> late;
    for (auto const &[id, job] : jobs_) {
        if (!mayRun(job, pool))
            continue;
        auto candidate = candidateOf(id, job, mayStart, versions, runTime, now);
        if (!candidate)
            continue;
        auto &best = candidate->start.isLate ? late : onTime;
        if (!best || candidate->due < best->due)
            best = std::move(candidate);
    }
    auto const starts = startsSinceLate_.find(pool);
    bool const isTurnOfLate = starts != startsSinceLate_.end() && starts->second + 1 >= options_.startsPerLateStart;
    auto const &chosen = late && (!onTime || isTurnOfLate) ? late : onTime;
    return chosen ? std::optional(chosen->start) : std::nullopt;
}

Duration JobTracker::timeLeft(Item const &item, Duration runTime) const
{
    if (meanEvents_ <= 0)
        return runTime;
    auto const left = std::max(0.0, 1 - static_cast<double>(item.events) / meanEvents_);
    return std::chrono::duration_cast<Duration>(runTime * left);
}

std::size_t JobTracker::waiting(PoolName const &pool, Instant now, ItemSelection selection) const
{
    auto const isMeant = [&](Item const &item) { return isWaitingFor(item, pool) && isSelected(item, selection) && !isPaused(item, now); };
    std::size_t count = 0;
    for (auto const &[id, job] : jobs_) {
        if (!mayRun(job, pool))
            continue;
        count += static_cast<std::size_t>(std::ranges::count_if(job.items, isMeant));
    }
    return count;
}

std::map<PoolName, std::size_t> JobTracker::waitingByPool() const
{
    std::map<PoolName, std::size_t> counts;
    for (auto const &[id, job] : jobs_) {
        if (job.isEnded)
            continue;
        for (auto const &item : job.items) {
            if (item.state == Item::State::Waiting && item.policy->isRouted)
                ++counts[item.policy->pool];
        }
    }
    return counts;
}

void JobTracker::onStarted(ItemStart const &start)
{
    auto *job = find(start.job, start.index);
    if (!job || job->items[start.index].state != Item::State::Waiting)
        return;
    auto &item = job->items[start.index];
    item.state = Item::State::Running;
    item.isReserved = item.sends.mayHaveFailedUnseen();
    item.isHeldBack = false;
    if (!canGoOnAt(item, start.version))
        restart(item);
    item.pool = item.policy->pool;
    item.version = start.version;
    ++job->starts;
    auto &starts = startsSinceLate_[item.pool];
    starts = start.isLate ? 0 : starts + 1;
}

void JobTracker::onHeldBack(ItemStart const &start, Instant now)
{
    auto *job = find(start.job, start.index);
    if (!job || job->items[start.index].state != Item::State::Waiting)
        return;
    auto &item = job->items[start.index];
    item.isHeldBack = true;
    pause(item, now);
}

void JobTracker::onServerCrashed(JobId const &id, std::size_t index)
{
    auto *job = find(id, index);
    if (job)
        job->items[index].sends.onServerCrashed();
}

std::vector<JobWait> JobTracker::waits(Instant now) const
{
    std::vector<JobWait> waits;
    for (auto const &[id, job] : jobs_) {
        if (job.isEnded)
            continue;
        auto &wait = waits.emplace_back(JobWait{.job = id, .starts = job.starts});
        for (auto const &item : job.items) {
            if (item.state != Item::State::Waiting)
                continue;
            if (wait.waiting == 0 || (!wait.isRouted && item.policy->isRouted)) {
                wait.pool = item.policy->pool;
                wait.isRouted = item.policy->isRouted;
            }
            ++wait.waiting;
            wait.heldBack += item.isHeldBack ? 1 : 0;
            bool const isPausedNow = isPaused(item, now);
            wait.paused += !item.isHeldBack && isPausedNow ? 1 : 0;
            wait.careful += !item.isHeldBack && !isPausedNow && isSelected(item, ItemSelection::Careful) ? 1 : 0;
        }
    }
    return waits;
}

bool JobTracker::onEvent(JobId const &id, std::size_t index, std::optional<std::uint64_t> eventId, std::string_view data)
{
    auto *job = find(id, index);
    if (!job || job->items[index].state != Item::State::Running)
        return true;
    auto &item = job->items[index];
    if (item.output.size() + data.size() >= options_.maxOutputBytes) {
        restart(item);
        return false;
    }
    if (item.events++ > 0)
        item.output += '\n';
    item.output += data;
    item.lastEventId = eventId;
    item.pauses = 0;
    item.sends.onResponded();
    return true;
}

void JobTracker::restart(Item &item)
{
    item.output.clear();
    item.events = 0;
    item.lastEventId.reset();
}

void JobTracker::onSendEnded(JobId const &id, std::size_t index, SendEnd end, Instant now)
{
    auto *job = find(id, index);
    if (!job || job->items[index].state != Item::State::Running)
        return;
    auto &item = job->items[index];
    if (item.isReserved)
        return returnReserved(item, now);
    item.state = Item::State::Waiting;
    item.waitingSince = now;
    switch (end) {
    case SendEnd::Complete:
        meanEvents_ +=
            meanEvents_ > 0 ? (static_cast<double>(item.events) - meanEvents_) * MeanEventsWeight : static_cast<double>(item.events);
        return decide(*job, index, OutcomeState::Completed, now);
    case SendEnd::Impossible:
        // A new owner that does not find the outcome would send it again.
        item.sends.onUnanswered(now);
        return giveUpFailed(*job, index, now);
    case SendEnd::Failed:
        ++item.failures;
        if (failuresOf(item) >= item.policy->maxAttempts)
            return giveUpFailed(*job, index, now);
        return pause(item, now);
    case SendEnd::Unserved:
        return pause(item, now);
    case SendEnd::Unanswered:
        return onUnanswered(*job, item, now);
    case SendEnd::Preempted:
        if (item.sends.mayHaveFailedUnseen())
            return onUnanswered(*job, item, now);
        break;
    }
    // Without an event id the servers cannot resume the item, so it restarts from the beginning.
    if (!item.lastEventId)
        restart(item);
}

void JobTracker::onUnanswered(Job const &job, Item &item, Instant now) const
{
    if (item.sends.hasResponded())
        return pause(item, now);
    item.sends.onUnanswered(now);
    restart(item);
    auto const sends = item.sends.count();
    auto const timeLeft = job.acceptedAt + item.policy->completionTarget - now;
    auto const share = std::chrono::duration_cast<Duration>(timeLeft * (options_.unansweredShareOfTimeLeft * sends));
    item.notBefore = now + std::max(options_.unansweredPause * static_cast<Duration::rep>(sends), std::min(share, timeLeft / 2));
}

void JobTracker::pause(Item &item, Instant now) const
{
    item.notBefore = now + pauseAfter(item.pauses++);
    if (!item.lastEventId)
        restart(item);
}

Duration JobTracker::pauseAfter(std::uint32_t earlierPauses) const
{
    constexpr std::uint32_t MaxDoublings = 10;
    return std::min(options_.maxRetryPause, options_.retryPause * (1U << std::min(earlierPauses, MaxDoublings)));
}

bool JobTracker::isPaused(Item const &item, Instant now) const
{
    if (now < item.notBefore || item.recordedFailures < item.failures)
        return true;
    return item.sends.mayHaveFailedUnseen() && !mayBeSentAgain(item);
}

UnansweredSends::SendState JobTracker::sendStateOf(Item const &item)
{
    return item.state == Item::State::Running ? UnansweredSends::SendState::Sending : UnansweredSends::SendState::None;
}

bool JobTracker::mayBeSentAgain(Item const &item) const
{
    auto const sends = item.sends.count();
    // Whether its servers would answer with 422 is not known before one has answered.
    if (failuresOf(item) == 0)
        return sends < options_.maxUnansweredSends;
    return failuresOf(item) + sends < options_.maxFailureMultiple * item.policy->maxAttempts;
}

std::uint32_t JobTracker::failuresOf(Item const &item)
{
    return item.failures + item.otherFailures;
}

bool JobTracker::isExhausted(Item const &item)
{
    return item.policy->isRouted && failuresOf(item) >= item.policy->maxAttempts;
}

void JobTracker::giveUpFailed(Job &job, std::size_t index, Instant now)
{
    job.hasFailedItem = true;
    decide(job, index, OutcomeState::GivenUp, now);
}

void JobTracker::decide(Job &job, std::size_t index, OutcomeState outcome, Instant now)
{
    auto &item = job.items[index];
    item.state = Item::State::Decided;
    item.outcome = outcome;
    if (outcome == OutcomeState::GivenUp)
        item.output.clear();
    job.decided.push_back(index);
    if (!job.firstDecidedAt)
        job.firstDecidedAt = now;
}

void JobTracker::onTick(Instant now)
{
    for (auto &[id, job] : jobs_) {
        if (job.isEnded)
            continue;
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            auto const &item = job.items[index];
            auto const giveUpAfter = item.policy->giveUpAfter;
            bool const isTooOld = giveUpAfter > Duration::zero() && now - job.acceptedAt > giveUpAfter + options_.maxClockSkew;
            bool const isUnrouted = item.unroutedSince && now - *item.unroutedSince > options_.unroutedTimeout;
            if (item.state != Item::State::Waiting)
                continue;
            if (isTooOld || isUnrouted)
                decide(job, index, OutcomeState::GivenUp, now);
            else if (item.otherFailures > 0 && !job.pools.empty() && isExhausted(item))
                giveUpFailed(job, index, now);
        }
    }
}

Duration JobTracker::commitDelay(Job const &job, Instant now) const
{
    auto const timeLeft = job.acceptedAt + job.completionTarget - now;
    auto const share = std::chrono::duration_cast<Duration>(timeLeft * options_.commitShareOfTimeLeft);
    return std::clamp(share, options_.commitDelay, std::max(options_.commitDelay, options_.maxCommitDelay));
}

std::vector<std::pair<JobId, ResultSegment>> JobTracker::takeCommits(Instant now)
{
    std::vector<std::pair<JobId, ResultSegment>> commits;
    for (auto &[id, job] : jobs_) {
        if (job.decided.empty() || job.isStoring || now < job.storeNotBefore)
            continue;
        bool const isLast = job.listed.size() + job.decided.size() == job.items.size();
        if (!isLast && !job.hasFailedItem && now - *job.firstDecidedAt < commitDelay(job, now))
            continue;
        ResultSegment segment{.first = job.listed.size()};
        std::size_t bytes = 0;
        for (auto const index : job.decided) {
            auto const &item = job.items[index];
            bytes += item.output.size();
            bool const isTooLarge = bytes > options_.maxSegmentBytes || segment.outcomes.size() >= job.maxStored;
            if (isTooLarge && !segment.outcomes.empty())
                break;
            segment.outcomes.push_back({.id = job.record.items[index].id, .state = item.outcome, .output = item.output});
        }
        job.isStoring = true;
        commits.emplace_back(id, std::move(segment));
    }
    return commits;
}

void JobTracker::list(Job &job, ResultSegment &segment)
{
    if (segment.first != job.listed.size())
        return;
    for (auto &outcome : segment.outcomes) {
        auto const found = job.indexOf.find(outcome.id);
        if (found == job.indexOf.end())
            continue;
        auto &item = job.items[found->second];
        item.state = Item::State::Listed;
        item.outcome = outcome.state;
        item.output = std::move(outcome.output);
        job.listed.push_back(found->second);
        // The body of a listed item is no longer needed.
        job.record.items[found->second].body = {};
        std::erase(job.decided, found->second);
    }
    if (!job.decided.empty())
        return;
    job.firstDecidedAt.reset();
    job.hasFailedItem = false;
}

void JobTracker::onStored(JobId const &id, ResultSegment segment)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    job.isStoring = false;
    if (job.maxStored <= job.items.size())
        job.maxStored *= 2;
    list(job, segment);
}

void JobTracker::onSegmentFound(JobId const &id, ResultSegment segment)
{
    if (auto const found = jobs_.find(id); found != jobs_.end())
        list(found->second, segment);
}

std::size_t JobTracker::listedCount(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? 0 : found->second.listed.size();
}

void JobTracker::onStoreFailed(JobId const &id, Instant now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    found->second.isStoring = false;
    found->second.storeNotBefore = now + options_.retryPause;
}

void JobTracker::onStoreRefused(JobId const &id, ResultSegment const &segment, Instant now)
{
    onStoreFailed(id, now);
    auto const found = jobs_.find(id);
    if (found == jobs_.end() || segment.outcomes.empty())
        return;
    auto &job = found->second;
    job.maxStored = std::max<std::size_t>(1, segment.outcomes.size() / 2);
    auto const index = job.indexOf.find(segment.outcomes.front().id);
    if (segment.outcomes.size() > 1 || index == job.indexOf.end() || job.items[index->second].state != Item::State::Decided)
        return;
    auto &item = job.items[index->second];
    std::erase(job.decided, index->second);
    if (item.outcome == OutcomeState::GivenUp) {
        job.decided.push_back(index->second);
        return;
    }
    item.state = Item::State::Waiting;
    item.waitingSince = now;
    item.notBefore = now + pauseAfter(item.storeRefusals++);
    restart(item);
    if (job.decided.empty())
        job.firstDecidedAt.reset();
}

std::vector<FailureCommit> JobTracker::takeFailures(Instant now)
{
    std::vector<FailureCommit> commits;
    for (auto &[id, job] : jobs_) {
        if (job.isEnded || now < job.recordNotBefore)
            continue;
        if (auto commit = takeFailures(id, job))
            commits.push_back(std::move(*commit));
        if (auto commit = takeUnanswered(id, job, now))
            commits.push_back(std::move(*commit));
    }
    return commits;
}

std::optional<FailureCommit> JobTracker::takeFailures(JobId const &id, Job &job) const
{
    FailureCommit commit{.job = id, .tenure = job.tenure};
    bool isDue = false;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        auto const &item = job.items[index];
        isDue = isDue || (item.state == Item::State::Waiting && item.recordedFailures < item.failures);
        if (item.failures > 0)
            commit.counts.emplace(index, item.failures);
    }
    if (!isDue || std::exchange(job.isRecording, true))
        return std::nullopt;
    return commit;
}

std::optional<FailureCommit> JobTracker::takeUnanswered(JobId const &id, Job &job, Instant now) const
{
    FailureCommit commit{.job = id, .tenure = job.tenure, .subject = FailureCommit::Subject::UnansweredSends};
    bool isDue = false;
    bool isRecountDue = false;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        auto const &item = job.items[index];
        isRecountDue = isRecountDue || (now >= job.nextRecountAt && isHeldByOthers(item));
        bool const isOpen = item.state == Item::State::Waiting || item.state == Item::State::Running;
        isDue = isDue || (isOpen && !item.sends.isRecorded(sendStateOf(item)));
        if (auto const count = item.sends.toRecord(sendStateOf(item)))
            commit.counts.emplace(index, *count);
    }
    if ((!isDue && !isRecountDue) || job.isRecordingUnanswered)
        return std::nullopt;
    job.isRecordingUnanswered = true;
    job.nextRecountAt = now + options_.recountInterval;
    return commit;
}

void JobTracker::returnReserved(Item &item, Instant now)
{
    item.isReserved = false;
    item.state = Item::State::Waiting;
    item.waitingSince = now;
}

std::vector<ReservedSend> JobTracker::takeReservedSends(Instant now)
{
    std::vector<ReservedSend> sends;
    for (auto &[id, job] : jobs_) {
        // What is being written may not be what the item needs.
        if (job.isRecordingUnanswered)
            continue;
        for (std::size_t index = 0; index < job.items.size(); ++index) {
            auto &item = job.items[index];
            if (!item.isReserved)
                continue;
            // The outcome of another owner was found meanwhile.
            if (item.state != Item::State::Running) {
                item.isReserved = false;
                sends.push_back({.job = id, .index = index});
                continue;
            }
            bool const isRecorded = item.sends.isRecorded(UnansweredSends::SendState::Sending);
            if (!isRecorded && now >= job.recordNotBefore)
                continue;
            bool const maySend = isRecorded && (!item.sends.mayHaveFailedUnseen() || mayBeSentAgain(item));
            if (maySend)
                item.isReserved = false;
            else
                returnReserved(item, now);
            if (!isRecorded)
                item.notBefore = job.recordNotBefore;
            sends.push_back({.job = id, .index = index, .maySend = maySend});
        }
    }
    return sends;
}

bool JobTracker::isHeldByOthers(Item const &item) const
{
    return item.state == Item::State::Waiting && item.sends.hasOthers() && item.sends.mayHaveFailedUnseen() && !mayBeSentAgain(item);
}

std::vector<FailureCommit> JobTracker::takeLastFailures(JobId const &id) const
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return {};
    auto const &job = found->second;
    FailureCommit failures{.job = id, .tenure = job.tenure};
    FailureCommit unanswered{.job = id, .tenure = job.tenure, .subject = FailureCommit::Subject::UnansweredSends};
    bool hasFailures = false;
    bool hasUnanswered = false;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        auto const &item = job.items[index];
        hasFailures = hasFailures || item.recordedFailures < item.failures;
        if (item.failures > 0)
            failures.counts.emplace(index, item.failures);
        if (item.state == Item::State::Listed)
            continue;
        // No item runs any more.
        hasUnanswered = hasUnanswered || !item.sends.isRecorded(UnansweredSends::SendState::None);
        if (auto const count = item.sends.toRecord(UnansweredSends::SendState::None))
            unanswered.counts.emplace(index, *count);
    }
    std::vector<FailureCommit> commits;
    if (hasFailures)
        commits.push_back(std::move(failures));
    if (hasUnanswered)
        commits.push_back(std::move(unanswered));
    return commits;
}

void JobTracker::setOtherUnanswered(Job &job, FailureCounts const &counts)
{
    for (std::size_t index = 0; index < job.items.size(); ++index)
        job.items[index].sends.setOthers(countAt(counts, index));
}

JobTracker::Job *JobTracker::find(FailureCommit const &commit)
{
    auto const found = jobs_.find(commit.job);
    return found != jobs_.end() && found->second.tenure == commit.tenure ? &found->second : nullptr;
}

void JobTracker::onFailuresRecorded(FailureCommit const &commit, FailureCounts const &others, Instant now)
{
    auto *job = find(commit);
    if (!job)
        return;
    if (commit.subject == FailureCommit::Subject::UnansweredSends) {
        job->isRecordingUnanswered = false;
        for (std::size_t index = 0; index < job->items.size(); ++index)
            job->items[index].sends.onRecorded(countAt(commit.counts, index));
        return setOtherUnanswered(*job, others);
    }
    job->isRecording = false;
    for (auto const &[index, count] : commit.counts)
        job->items[index].recordedFailures = count;
    for (auto const &[index, count] : others) {
        if (index >= job->items.size())
            continue;
        auto &item = job->items[index];
        item.otherFailures = count;
        if (item.state == Item::State::Waiting && isExhausted(item))
            giveUpFailed(*job, index, now);
    }
}

void JobTracker::setRecordedCounts(JobId const &id, RecordedCounts const &counts)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &items = found->second.items;
    for (auto const &[index, count] : counts.failures) {
        if (index < items.size())
            items[index].otherFailures = count;
    }
    setOtherUnanswered(found->second, counts.unanswered);
}

void JobTracker::onFailuresNotRecorded(FailureCommit const &commit, Instant now)
{
    auto *job = find(commit);
    if (!job)
        return;
    (commit.subject == FailureCommit::Subject::Failures ? job->isRecording : job->isRecordingUnanswered) = false;
    job->recordNotBefore = now + options_.retryPause;
}

std::optional<ResultPage> JobTracker::read(JobId const &id, std::size_t from, std::size_t maxBytes) const
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return std::nullopt;
    auto const &job = found->second;
    ResultPage page{.total = job.items.size(), .next = from};
    std::size_t bytes = 0;
    for (; page.next < job.listed.size(); ++page.next) {
        auto const index = job.listed[page.next];
        auto const &item = job.items[index];
        bytes += item.output.size();
        if (bytes > maxBytes && !page.outcomes.empty())
            break;
        page.outcomes.push_back({.id = job.record.items[index].id, .state = item.outcome, .output = item.output});
    }
    return page;
}

std::uint64_t JobTracker::waitingTokens() const
{
    std::uint64_t sum = 0;
    for (auto const &[id, job] : jobs_)
        sum += waitingTokens(job);
    return sum;
}

std::map<CustomerId, std::uint64_t> JobTracker::waitingTokensByCustomer() const
{
    std::map<CustomerId, std::uint64_t> sums;
    for (auto const &[id, job] : jobs_) {
        if (auto const tokens = waitingTokens(job); tokens > 0)
            sums[job.record.customer.value_or(CustomerId())] += tokens;
    }
    return sums;
}

std::vector<JobId> JobTracker::acceptedWithin(Duration time, Instant now) const
{
    std::vector<JobId> jobs;
    for (auto const &[id, job] : jobs_) {
        if (now - job.acceptedAt < time)
            jobs.push_back(id);
    }
    return jobs;
}

std::uint64_t JobTracker::waitingTokens(Job const &job)
{
    std::uint64_t sum = 0;
    if (job.isEnded)
        return sum;
    for (std::size_t index = 0; index < job.items.size(); ++index) {
        if (job.items[index].state == Item::State::Waiting || job.items[index].state == Item::State::Running)
            sum += job.record.items[index].tokens;
    }
    return sum;
}

ItemCounts JobTracker::counts() const
{
    ItemCounts counts;
    for (auto const &[id, job] : jobs_) {
        for (auto const &item : job.items) {
            switch (item.state) {
            case Item::State::Waiting:
                ++counts.waiting;
                break;
            case Item::State::Running:
                ++counts.running;
                break;
            case Item::State::Decided:
                ++counts.decided;
                break;
            case Item::State::Listed:
                ++counts.listed;
                break;
            }
        }
    }
    return counts;
}

} // namespace Anvilyard::Jobs
