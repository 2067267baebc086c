#include "LibBatch/BatchRunner.h"

#include <algorithm>
#include <utility>

namespace Anvilyard::Batch {

namespace {

constexpr Duration PickRetryDelay = 100ms;

} // namespace

BatchRunner::BatchRunner(BatchRunnerOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , scheduler_({.self = options_.self})
{
}

RunnerActions BatchRunner::setInstances(std::vector<InstanceId> alive, CurrentTime now)
{
    instanceCount_ = std::max<std::size_t>(1, alive.size());
    scheduler_.setInstances(std::move(alive));
    return onTick(now);
}

RunnerActions BatchRunner::setServers(std::vector<SlotServer> servers, CurrentTime now)
{
    slots_.setServers(std::move(servers));
    nextPickAt_ = now.local;
    return onTick(now);
}

RunnerActions BatchRunner::onJobsChanged(CurrentTime now)
{
    nextJobsListAt_ = now.local;
    nextCancelsListAt_ = now.local;
    return onTick(now);
}

RunnerActions BatchRunner::onOpenJobs(Result<std::vector<OpenJob>> const &jobs, CurrentTime now)
{
    isListingJobs_ = false;
    if (jobs)
        scheduler_.onOpenJobs(*jobs);
    nextPickAt_ = now.local;
    return onTick(now);
}

RunnerActions BatchRunner::onCancels(Result<std::set<JobId>> const &jobs, Instant requestedAt, CurrentTime now)
{
    isListingCancels_ = false;
    RunnerActions actions;
    if (jobs) {
        cancelsRequestedAt_ = requestedAt;
        scheduler_.onCancels(*jobs);
        applyCancels(actions, now);
    }
    pump(actions, now);
    return actions;
}

void BatchRunner::applyCancels(RunnerActions &actions, CurrentTime now)
{
    std::vector<ChunkRef> cancelled;
    for (auto const &[ref, held] : chunks_) {
        if (scheduler_.isCancelled(ref.job))
            cancelled.push_back(ref);
    }
    for (auto const &ref : cancelled)
        forwardActions(actions, ref, chunks_.at(ref).runner->cancelJob(now), now);
}

RunnerActions BatchRunner::onJob(JobId const &job, Result<JobRecord> record, CurrentTime now)
{
    scheduler_.onJob(job, std::move(record), now);
    return onTick(now);
}

RunnerActions BatchRunner::onFinishFailed(JobId const &job, CurrentTime now)
{
    scheduler_.onFinishFailed(job, now);
    return onTick(now);
}

RunnerActions BatchRunner::onChunks(JobId const &job, Result<std::map<ChunkIndex, ChunkState>> chunks, CurrentTime now)
{
    scheduler_.onChunks(job, std::move(chunks), now);
    nextPickAt_ = now.local;
    return onTick(now);
}

RunnerActions BatchRunner::onChunkReply(ChunkRef const &ref, ChunkReply const &reply, CurrentTime now)
{
    RunnerActions actions;
    auto const found = chunks_.find(ref);
    if (found == chunks_.end())
        return actions;
    auto &held = found->second;
    if (std::exchange(held.isReading, false)) {
        // Claims the chunk only if its lease is free or has expired. Otherwise it is left to its holder.
        auto const isClaimable = !stopping_ && reply && *reply && !(*reply)->state.isDone()
            && ((*reply)->state.owner.empty() || now.wall > (*reply)->state.leaseDeadline + JobSchedulerOptions().maxClockSkew);
        if (isClaimable)
            forwardActions(actions, ref, held.runner->claim(**reply, now), now);
        else
            endChunk(ref, reply && *reply && (*reply)->state.isDone() ? ChunkEnd::Completed : ChunkEnd::ClaimLost, now);
    } else {
        forwardActions(actions, ref, held.runner->onReply(reply, now), now);
    }
    pump(actions, now);
    return actions;
}

RunnerActions BatchRunner::onChunkInput(ChunkRef const &ref, Result<std::vector<ItemSpec>> input, CurrentTime now)
{
    RunnerActions actions;
    if (auto const found = chunks_.find(ref); found != chunks_.end())
        forwardActions(actions, ref, found->second.runner->onInput(std::move(input), now), now);
    pump(actions, now);
    return actions;
}

RunnerActions BatchRunner::onItemEnded(AttemptRef const &item, AttemptResult end, CurrentTime now)
{
    RunnerActions actions;
    if (!running_.contains(item))
        return actions;
    pauseServerAfter(item, end, now);
    endAttempt(item);
    if (auto const found = chunks_.find(item.chunk); found != chunks_.end())
        forwardActions(actions, item.chunk, found->second.runner->onItemEnded(item.item, item.run, std::move(end), now), now);
    pump(actions, now);
    return actions;
}

void BatchRunner::pauseServerAfter(AttemptRef const &item, AttemptResult const &end, CurrentTime now)
{
    if (end.kind != AttemptResult::Kind::NotRun)
        return;
    auto const until = std::max(now.local + options_.serverPause, end.notBefore.value_or(Instant{}));
    slots_.pause(running_.at(item).server, until);
}

RunnerActions BatchRunner::onTick(CurrentTime now)
{
    RunnerActions actions;
    std::vector<ChunkRef> refs;
    for (auto const &[ref, held] : chunks_)
        refs.push_back(ref);
    for (auto const &ref : refs)
        forwardActions(actions, ref, chunks_.at(ref).runner->onTick(now), now);
    pump(actions, now);
    return actions;
}

RunnerActions BatchRunner::stop(CurrentTime now)
{
    stopping_ = true;
    RunnerActions actions;
    std::vector<ChunkRef> refs;
    for (auto const &[ref, held] : chunks_)
        refs.push_back(ref);
    for (auto const &ref : refs)
        forwardActions(actions, ref, chunks_.at(ref).runner->stop(now), now);
    pump(actions, now);
    return actions;
}

RunnerActions BatchRunner::abandonRunning(CurrentTime now)
{
    RunnerActions actions;
    std::vector<ChunkRef> refs;
    for (auto const &[ref, held] : chunks_)
        refs.push_back(ref);
    for (auto const &ref : refs)
        forwardActions(actions, ref, chunks_.at(ref).runner->abandonRunning(now), now);
    pump(actions, now);
    return actions;
}

void BatchRunner::pump(RunnerActions &actions, CurrentTime now)
{
    preemptExcess(actions, now);
    if (!stopping_) {
        releaseUnserved(actions, now);
        requestLists(actions, now);
        startItems(actions, now);
        claimMore(actions, now);
        for (auto &job : scheduler_.takeFinished())
            actions.emplace_back(FinishJob{.job = std::move(job)});
        for (auto &job : scheduler_.takeOrphans())
            actions.emplace_back(RemoveOrphan{.job = std::move(job)});
    }
    reportStopped(actions);
}

void BatchRunner::reportStopped(RunnerActions &actions)
{
    if (stopping_ && chunks_.empty() && !std::exchange(stopped_, true))
        actions.emplace_back(Stopped{});
}

void BatchRunner::requestLists(RunnerActions &actions, CurrentTime now)
{
    if (!isListingJobs_ && now.local >= nextJobsListAt_) {
        isListingJobs_ = true;
        nextJobsListAt_ = now.local + options_.listJobsInterval;
        actions.emplace_back(ListOpenJobs{});
    }
    // Without open jobs no item can start, so the cancels are not needed.
    if (!isListingCancels_ && now.local >= nextCancelsListAt_ && scheduler_.openJobs() > 0) {
        isListingCancels_ = true;
        nextCancelsListAt_ = now.local + options_.listCancelsInterval;
        actions.emplace_back(ListCancels{.requestedAt = now.local});
    }
    auto const isServed = [this](ServiceName const &service) { return slots_.isServed(service); };
    if (auto query = scheduler_.takeQuery(isServed, now)) {
        if (query->kind == JobQuery::Kind::Job)
            actions.emplace_back(GetJob{.job = query->job});
        else
            actions.emplace_back(ListChunks{.job = query->job});
    }
}

void BatchRunner::preemptExcess(RunnerActions &actions, CurrentTime now)
{
    for (auto const &server : slots_.overloadedServers()) {
        // Items that must not be repeated keep running, since cancelling them would leave their outcome unknown.
        std::set<AttemptRef> protectedItems;
        while (slots_.excess(server) > 0) {
            auto const newest = newestOn(server, protectedItems);
            if (!newest)
                break;
            forwardActions(actions, newest->chunk, chunks_.at(newest->chunk).runner->preempt(newest->item, newest->run, now), now);
            protectedItems.insert(*newest);
        }
    }
}

std::optional<AttemptRef> BatchRunner::newestOn(ServerId const &server, std::set<AttemptRef> const &except) const
{
    std::optional<AttemptRef> newest;
    std::uint64_t order = 0;
    for (auto const &[item, running] : running_) {
        if (running.server != server || running.order < order || except.contains(item))
            continue;
        newest = item;
        order = running.order;
    }
    return newest;
}

void BatchRunner::startItems(RunnerActions &actions, CurrentTime now)
{
    auto const areCancelsFresh = cancelsRequestedAt_ && now.local < *cancelsRequestedAt_ + options_.maxCancelsAge;
    if (!areCancelsFresh || slots_.freeSlots(now.local) == 0)
        return;
    std::vector<std::pair<WallInstant, ChunkRef>> order;
    for (auto const &[ref, held] : chunks_) {
        if (held.runner->isReady() && held.runner->waiting() > 0)
            order.emplace_back(held.due, ref);
    }
    std::sort(order.begin(), order.end());
    for (auto const &[due, ref] : order) {
        auto &runner = *chunks_.at(ref).runner;
        while (startOneItem(actions, ref, runner, now)) { }
    }
}

bool BatchRunner::startOneItem(RunnerActions &actions, ChunkRef const &ref, ChunkRunner &runner, CurrentTime now)
{
    auto const isWanted = [&](ServiceName const &service) { return slots_.findFreeServer(service, now.local).has_value(); };
    // Suspects of only one chunk run at a time, so that the loss of the process can be attributed to that chunk.
    auto const canRunSuspects = runningSuspects_ == 0 || suspectChunk_ == ref;
    auto const suspects = canRunSuspects ? ChunkRunner::Suspects::Allowed : ChunkRunner::Suspects::Deferred;
    auto const start = runner.takeItem(isWanted, suspects, now);
    if (!start)
        return false;
    AttemptRef const item{.chunk = ref, .item = start->item, .run = start->run};
    auto const server = chooseServer(item, start->spec->service, now);
    slots_.acquire(server);
    if (start->isSuspect) {
        ++runningSuspects_;
        suspectChunk_ = ref;
    }
    running_[item] = Running{.server = server, .order = ++starts_, .isSuspect = start->isSuspect};
    actions.emplace_back(SendItem{.item = item, .server = server, .spec = *start->spec});
    return true;
}

ServerId BatchRunner::chooseServer(AttemptRef const &item, ServiceName const &service, CurrentTime now)
{
    auto const before = preemptedOn_.find({item.chunk, item.item});
    if (before == preemptedOn_.end())
        return *slots_.findFreeServer(service, now.local);
    auto const server = before->second;
    preemptedOn_.erase(before);
    return slots_.hasFreeSlot(server, now.local) ? server : *slots_.findFreeServer(service, now.local);
}

bool BatchRunner::mayClaim(CurrentTime now) const
{
    auto const isClaiming = [](auto const &entry) { return !entry.second.runner->isReady(); };
    auto const claiming = static_cast<std::size_t>(std::count_if(chunks_.begin(), chunks_.end(), isClaiming));
    return claiming < options_.maxConcurrentClaims && chunks_.size() < options_.maxHeldChunks && now.local >= nextPickAt_;
}

bool BatchRunner::wantsMoreItems(CurrentTime now) const
{
    std::size_t waiting = 0;
    for (auto const &[ref, held] : chunks_)
        waiting += held.runner->waiting();
    // If slots are free, the items that are waiting here cannot run yet, so further chunks are claimed.
    return waiting < slots_.totalSlots() || slots_.freeSlots(now.local) > 0;
}

void BatchRunner::claimMore(RunnerActions &actions, CurrentTime now)
{
    while (mayClaim(now)) {
        // If no further items are needed, only chunks of cancelled jobs are picked. They need no server.
        auto const wantsItems = wantsMoreItems(now);
        auto const isServed = [&](ServiceName const &service) { return wantsItems && slots_.isServed(service); };
        auto const pick = scheduler_.pick(isServed, now);
        if (!pick) {
            nextPickAt_ = now.local + PickRetryDelay;
            return;
        }
        claim(actions, *pick, now);
    }
}

void BatchRunner::releaseUnserved(RunnerActions &actions, CurrentTime now)
{
    std::vector<ChunkRef> unserved;
    for (auto &[ref, held] : chunks_) {
        if (!isUnserved(ref, *held.runner))
            held.unservedSince.reset();
        else if (!held.unservedSince)
            held.unservedSince = now.local;
        else if (now.local >= *held.unservedSince + options_.releaseUnservedAfter)
            unserved.push_back(ref);
    }
    for (auto const &ref : unserved)
        forwardActions(actions, ref, chunks_.at(ref).runner->stop(now), now);
}

bool BatchRunner::isUnserved(ChunkRef const &ref, ChunkRunner const &runner) const
{
    if (!runner.isHeld() || runner.running() > 0 || runner.waiting() == 0)
        return false;
    auto const *job = scheduler_.findJob(ref.job);
    return job == nullptr
        || std::none_of(job->services.begin(), job->services.end(), [this](auto const &service) { return slots_.isServed(service); });
}

void BatchRunner::claim(RunnerActions &actions, ChunkPick const &pick, CurrentTime now)
{
    auto const &job = *scheduler_.findJob(pick.job);
    ChunkRef const ref{.job = pick.job, .chunk = pick.chunk};
    auto runner = std::make_unique<ChunkRunner>(ChunkRunnerOptions{
        .job = pick.job,
        .chunk = pick.chunk,
        .items = job.chunkItems.at(pick.chunk.value()),
        .owner = options_.self.value() + "-" + options_.process,
        .maxAttempts = job.attempts,
        .leaseLength = leaseLength(),
        .renewInterval = renewInterval(),
        .seed = random_(),
    });
    if (pick.work == ChunkPick::Work::Cancel)
        static_cast<void>(runner->cancelJob(now));
    scheduler_.onClaim(pick.job, pick.chunk);
    auto const isReading = pick.seen == ChunkPick::Seen::Before;
    auto &held = chunks_[ref] = HeldChunk{.runner = std::move(runner), .upload = job.upload, .due = job.due, .isReading = isReading};
    if (isReading)
        actions.emplace_back(ChunkCall{.chunk = ref, .call = ReadChunk{}});
    else
        forwardActions(actions, ref, held.runner->claim(std::nullopt, now), now);
}

Duration BatchRunner::renewInterval() const
{
    auto const share = static_cast<double>(instanceCount_) / static_cast<double>(options_.instancesAtMaxInterval);
    auto const scaled = std::chrono::duration_cast<Duration>(options_.maxRenewInterval * std::min(1.0, share));
    return std::max(options_.minRenewInterval, scaled);
}

Duration BatchRunner::leaseLength() const
{
    return std::max(options_.minLeaseLength, renewInterval() * options_.leaseIntervals);
}

void BatchRunner::forwardActions(RunnerActions &actions, ChunkRef const &ref, ChunkActions chunkActions, CurrentTime now)
{
    for (auto &action : chunkActions) {
        if (auto const *end = std::get_if<EndChunk>(&action)) {
            endChunk(ref, end->end, now);
        } else if (auto const *cancel = std::get_if<CancelItem>(&action)) {
            AttemptRef const item{.chunk = ref, .item = cancel->item, .run = cancel->run};
            auto const found = running_.find(item);
            if (found == running_.end())
                continue;
            auto const reason = slots_.excess(found->second.server) > 0 ? StopItem::Reason::Preempted : StopItem::Reason::Abandoned;
            actions.emplace_back(StopItem{.item = item, .reason = reason});
            if (reason == StopItem::Reason::Preempted)
                preemptedOn_[{ref, item.item}] = found->second.server;
            endAttempt(item);
        } else if (std::holds_alternative<FetchInput>(action)) {
            actions.emplace_back(FetchChunkInput{.chunk = ref, .upload = chunks_.at(ref).upload});
        } else {
            actions.emplace_back(ChunkCall{.chunk = ref, .call = std::move(action)});
        }
    }
}

void BatchRunner::endAttempt(AttemptRef const &item)
{
    auto const found = running_.find(item);
    slots_.release(found->second.server);
    runningSuspects_ -= found->second.isSuspect ? 1 : 0;
    running_.erase(found);
}

void BatchRunner::endChunk(ChunkRef const &ref, ChunkEnd end, CurrentTime now)
{
    scheduler_.onChunkEnd(ref.job, ref.chunk, end, leaseLength(), now);
    chunks_.erase(ref);
    std::erase_if(preemptedOn_, [&](auto const &entry) { return entry.first.first == ref; });
    nextPickAt_ = now.local;
}

std::size_t BatchRunner::runningItems() const
{
    return running_.size();
}

std::size_t BatchRunner::runningOn(ServerId const &server) const
{
    auto const runsOnServer = [&](auto const &entry) { return entry.second.server == server; };
    return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), runsOnServer));
}

std::size_t BatchRunner::heldChunks() const
{
    return chunks_.size();
}

std::size_t BatchRunner::openJobs() const
{
    return scheduler_.openJobs();
}

std::size_t BatchRunner::unstoredBytes() const
{
    std::size_t bytes = 0;
    for (auto const &[ref, held] : chunks_)
        bytes += held.runner->unstoredBytes();
    return bytes;
}

} // namespace Anvilyard::Batch
