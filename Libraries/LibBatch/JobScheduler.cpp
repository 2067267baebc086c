#include "LibBatch/JobScheduler.h"

#include "LibBatch/JobNames.h"
#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Anvilyard::Batch {

JobScheduler::JobScheduler(JobSchedulerOptions options)
    : options_(std::move(options))
    , alive_({options_.self})
{
}

void JobScheduler::setInstances(std::vector<InstanceId> alive)
{
    if (std::find(alive.begin(), alive.end(), options_.self) == alive.end())
        alive.push_back(options_.self);
    if (alive == alive_)
        return;
    alive_ = std::move(alive);
    for (auto &[id, job] : jobs_)
        updateOwnChunks(job);
}

void JobScheduler::updateOwnChunks(Job &job) const
{
    job.ownChunks.clear();
    for (std::uint32_t index = 0; index < job.chunks.size(); ++index) {
        auto const name = chunkName(job.entry.id, ChunkIndex(index));
        auto const owner = rendezvousOwner(name.value(), alive_, [](InstanceId const &instance) { return instance.value(); });
        if (*owner == options_.self)
            job.ownChunks.push_back(index);
    }
}

void JobScheduler::onOpenJobs(std::vector<OpenJob> const &jobs)
{
    std::set<JobId> listed;
    for (auto const &entry : jobs) {
        listed.insert(entry.id);
        auto &job = jobs_[entry.id];
        job.entry = entry;
        job.isCancelled = cancels_.contains(entry.id);
    }
    // A stale list may miss a job with chunks held here. Such a job stays until its chunks are released.
    std::erase_if(jobs_, [&](auto const &entry) { return !listed.contains(entry.first) && entry.second.heldHere == 0; });
}

void JobScheduler::onCancels(std::set<JobId> const &jobs)
{
    // A cancel is never withdrawn, so it stays in force even if a stale read misses it.
    cancels_.insert(jobs.begin(), jobs.end());
    std::erase_if(cancels_, [&](JobId const &job) { return !jobs.contains(job) && !jobs_.contains(job); });
    for (auto &[id, job] : jobs_)
        job.isCancelled = job.isCancelled || cancels_.contains(id);
}

void JobScheduler::onJob(JobId const &id, Result<JobRecord> record, CurrentTime now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    job.isQueryPending = false;
    job.nextQueryAt = now.local + options_.queryInterval;
    if (!record) {
        // The job object is created after the entry in the list of open jobs, so it may not exist yet.
        if (record.error().code == Platform::PlatformError::NotFound && now.wall > job.entry.created + options_.orphanAfter)
            orphans_.push_back(id);
        return;
    }
    job.record = std::move(*record);
    job.isCancelled = job.isCancelled || job.record->isCancelRequested();
    job.chunks.resize(job.record->chunkItems.size());
    updateOwnChunks(job);
    if (job.record->status != JobStatus::Open)
        finish(job, job.record->counts);
    job.nextQueryAt = now.local;
}

void JobScheduler::onChunks(JobId const &id, Result<std::map<ChunkIndex, ChunkState>> chunks, CurrentTime now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    job.isQueryPending = false;
    job.nextQueryAt = now.local + options_.queryInterval;
    if (!chunks || !job.record)
        return;
    job.isListed = true;
    OutcomeCounts counts{.total = job.record->items};
    for (auto const &[index, state] : *chunks) {
        if (index.value() >= job.chunks.size())
            continue;
        addOutcomes(counts, state.outcomes);
        auto &view = job.chunks[index.value()];
        // Local knowledge of held and completed chunks is newer than any list.
        if (view.status == ChunkStatus::HeldHere || view.status == ChunkStatus::Done)
            continue;
        if (state.isDone())
            view.status = ChunkStatus::Done;
        else
            view.status = state.owner.empty() ? ChunkStatus::Released : ChunkStatus::HeldElsewhere;
        view.leaseDeadline = state.leaseDeadline;
    }
    if (counts.finished() == counts.total)
        finish(job, counts);
}

void JobScheduler::finish(Job &job, OutcomeCounts counts)
{
    if (std::exchange(job.isFinished, true))
        return;
    auto const status = job.isCancelled && counts.cancelled > 0 ? JobStatus::Cancelled : JobStatus::Completed;
    finished_.push_back({.job = job.entry.id, .status = status, .counts = counts});
}

void JobScheduler::onFinishFailed(JobId const &id, CurrentTime now)
{
    if (auto const found = jobs_.find(id); found != jobs_.end()) {
        found->second.isFinished = false;
        found->second.nextQueryAt = now.local + options_.queryInterval;
    }
}

void JobScheduler::onClaim(JobId const &id, ChunkIndex chunk)
{
    if (auto const found = jobs_.find(id); found != jobs_.end()) {
        ++found->second.heldHere;
        found->second.chunks.at(chunk.value()).status = ChunkStatus::HeldHere;
    }
}

void JobScheduler::onChunkEnd(JobId const &id, ChunkIndex chunk, ChunkEnd end, Duration assumedLease, CurrentTime now)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    auto &job = found->second;
    --job.heldHere;
    auto &view = job.chunks.at(chunk.value());
    switch (end) {
    case ChunkEnd::Completed:
        view.status = ChunkStatus::Done;
        break;
    case ChunkEnd::Released:
        view.status = ChunkStatus::Released;
        break;
    case ChunkEnd::Lost:
    case ChunkEnd::ClaimLost:
        view.status = ChunkStatus::HeldElsewhere;
        view.leaseDeadline = now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(assumedLease);
        break;
    }
    auto const areAllDone =
        std::all_of(job.chunks.begin(), job.chunks.end(), [](auto const &other) { return other.status == ChunkStatus::Done; });
    if (areAllDone)
        job.nextQueryAt = now.local;
}

bool JobScheduler::isClaimable(ChunkView const &chunk, CurrentTime now) const
{
    switch (chunk.status) {
    case ChunkStatus::Free:
    case ChunkStatus::Released:
        return true;
    case ChunkStatus::HeldElsewhere:
        return now.wall > chunk.leaseDeadline + options_.maxClockSkew;
    case ChunkStatus::HeldHere:
    case ChunkStatus::Done:
        return false;
    }
    return false;
}

/// Uses a heap, since a pick rarely examines more than the first few of a thousand jobs.
class JobScheduler::JobOrder
{
public:
    JobOrder(std::map<JobId, Job> const &jobs, std::function<bool(ServiceName const &)> const &isServed)
    {
        for (auto const &[id, job] : jobs) {
            if (job.heldHere > 0)
                heldPerCustomer_[job.entry.customer] += job.heldHere;
        }
        for (auto const &[id, job] : jobs) {
            auto const &services = job.entry.services;
            if (!job.isFinished && (job.isCancelled || std::any_of(services.begin(), services.end(), isServed)))
                heap_.push_back({.job = &job, .heldByCustomer = heldBy(job.entry.customer)});
        }
        std::make_heap(heap_.begin(), heap_.end(), isLater);
    }

    /// Returns the next job, or `nullptr` after the last.
    Job const *next()
    {
        if (heap_.empty())
            return nullptr;
        std::pop_heap(heap_.begin(), heap_.end(), isLater);
        auto const *job = heap_.back().job;
        heap_.pop_back();
        return job;
    }

private:
    struct Candidate {
        Job const *job = nullptr;
        std::uint32_t heldByCustomer = 0;
    };

    [[nodiscard]] std::uint32_t heldBy(CustomerId const &customer) const
    {
        auto const found = heldPerCustomer_.find(customer);
        return found == heldPerCustomer_.end() ? 0 : found->second;
    }

    static bool isLater(Candidate const &left, Candidate const &right)
    {
        auto const keyOf = [](Candidate const &place) {
            auto const &entry = place.job->entry;
            return std::tuple<bool, std::uint32_t, WallInstant, JobId const &>(
                !place.job->isCancelled, place.heldByCustomer, entry.due, entry.id);
        };
        return keyOf(right) < keyOf(left);
    }

    std::map<CustomerId, std::uint32_t> heldPerCustomer_;
    std::vector<Candidate> heap_;
};

/// Picks the first claimable chunk of this instance in input order.
std::optional<ChunkPick> JobScheduler::pickOwn(Job const &job, CurrentTime now) const
{
    for (auto const index : job.ownChunks) {
        if (isClaimable(job.chunks[index], now))
            return makePick(job, index);
    }
    return std::nullopt;
}

/// Picks the claimable chunk with the highest rendezvous score for this instance, so that helping instances spread over the chunks
/// of others.
std::optional<ChunkPick> JobScheduler::pickOther(Job const &job, CurrentTime now) const
{
    std::optional<std::uint32_t> best;
    std::uint64_t bestScore = 0;
    for (std::uint32_t index = 0; index < job.chunks.size(); ++index) {
        if (!isClaimable(job.chunks[index], now))
            continue;
        auto const score = rendezvousScore(chunkName(job.entry.id, ChunkIndex(index)).value(), options_.self.value());
        if (best && score <= bestScore)
            continue;
        best = index;
        bestScore = score;
    }
    return best ? std::optional(makePick(job, *best)) : std::nullopt;
}

ChunkPick JobScheduler::makePick(Job const &job, std::uint32_t index)
{
    return {.job = job.entry.id,
            .chunk = ChunkIndex(index),
            .seen = job.chunks[index].status == ChunkStatus::Free ? ChunkPick::Seen::Never : ChunkPick::Seen::Before,
            .work = job.isCancelled ? ChunkPick::Work::Cancel : ChunkPick::Work::Run};
}

std::optional<ChunkPick> JobScheduler::pick(std::function<bool(ServiceName const &)> const &isServed, CurrentTime now) const
{
    std::vector<Job const *> examined;
    JobOrder order(jobs_, isServed);
    while (auto const *job = order.next()) {
        if (!job->isListed)
            continue;
        if (auto found = pickOwn(*job, now))
            return found;
        examined.push_back(job);
    }
    // No job has a claimable chunk of this instance, so chunks of other instances are picked.
    for (auto const *job : examined) {
        if (auto found = pickOther(*job, now))
            return found;
    }
    return std::nullopt;
}

bool JobScheduler::isQueryDue(Job const &job, CurrentTime now) const
{
    return !job.isQueryPending && now.local >= job.nextQueryAt;
}

std::optional<JobQuery> JobScheduler::takeQuery(std::function<bool(ServiceName const &)> const &isServed, CurrentTime now)
{
    if (now.local < nextListAt_)
        return std::nullopt;
    // Jobs that were never listed come first, since none of their chunks can be claimed before.
    Job const *found = nullptr;
    JobOrder order(jobs_, isServed);
    while (auto const *job = order.next()) {
        if (!isQueryDue(*job, now))
            continue;
        if (!found || !job->isListed)
            found = job;
        if (!found->isListed)
            break;
    }
    if (!found)
        return std::nullopt;
    auto &job = jobs_.at(found->entry.id);
    job.isQueryPending = true;
    auto const share = Duration(1s) * static_cast<std::int64_t>(alive_.size()) / options_.fleetListsPerSecond;
    nextListAt_ = now.local + std::max(options_.minListInterval, share);
    return JobQuery{.kind = job.record ? JobQuery::Kind::Chunks : JobQuery::Kind::Job, .job = job.entry.id};
}

std::vector<FinishedJob> JobScheduler::takeFinished()
{
    return std::exchange(finished_, {});
}

std::vector<JobId> JobScheduler::takeOrphans()
{
    return std::exchange(orphans_, {});
}

JobRecord const *JobScheduler::findJob(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found != jobs_.end() && found->second.record ? &*found->second.record : nullptr;
}

bool JobScheduler::isCancelled(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found != jobs_.end() && found->second.isCancelled;
}

std::size_t JobScheduler::openJobs() const
{
    return jobs_.size();
}

WallInstant JobScheduler::dueOf(JobId const &id) const
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? WallInstant::max() : found->second.entry.due;
}

} // namespace Anvilyard::Batch
