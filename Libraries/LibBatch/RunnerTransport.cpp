#include "LibBatch/RunnerTransport.h"

#include "LibBatch/ChunkCodec.h"
#include "LibBatch/InputCodec.h"
#include "LibBatch/JobCodec.h"
#include "LibBatch/JobFinisher.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/OpenJobCodec.h"
#include "LibBatch/ResultCodec.h"
#include "LibPlatform/PagedList.h"

namespace Anvilyard::Batch {

using Platform::CallClass;

namespace {

/// Lists return either a handful of objects or about a thousand small open jobs, so this takes few pages.
constexpr std::size_t PageSize = 500;

Result<StoredChunk> toStoredChunk(Platform::Object const &object)
{
    auto state = ChunkCodec::decode(object.spec);
    if (!state)
        return tl::unexpected(state.error());
    return StoredChunk{.state = std::move(*state), .version = object.version};
}

} // namespace

RunnerTransport::RunnerTransport(RunnerTransportOptions options)
    : options_(std::move(options))
    , runner_(options_.runner)
    , caller_(std::make_shared<StoreCaller>(StoreCallerOptions{.loop = options_.loop,
                                                               .store = options_.store,
                                                               .random = RandomSource(options_.runner.seed),
                                                               .attempts = options_.finishAttempts}))
    , writes_(options_.metrics.counter("anvilyard_batch_store_writes_total", "Writes to the platform for chunks and results."))
    , reads_(options_.metrics.counter("anvilyard_batch_store_reads_total", "Reads and lists from the platform for jobs and chunks."))
    , sent_(options_.metrics.counter("anvilyard_batch_item_attempts_total", "Attempts at items that were sent."))
    , preempted_(options_.metrics.counter("anvilyard_batch_items_preempted_total", "Attempts that ended to make room for online requests."))
    , running_(options_.metrics.gauge("anvilyard_batch_running_items", "Items that run now."))
    , held_(options_.metrics.gauge("anvilyard_batch_held_chunks", "Chunks that this process holds or claims."))
    , unstoredBytes_(options_.metrics.gauge("anvilyard_batch_waiting_outcome_bytes", "Outcomes that are not stored yet."))
{
}

void RunnerTransport::start()
{
    scheduleTick();
}

void RunnerTransport::scheduleTick()
{
    tick();
    timer_ = options_.loop.at(readLocalClock() + options_.tickInterval, [weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->scheduleTick();
    });
}

void RunnerTransport::tick()
{
    perform(runner_.onTick(options_.clock()));
    running_.set(static_cast<double>(runner_.runningItems()));
    held_.set(static_cast<double>(runner_.heldChunks()));
    unstoredBytes_.set(static_cast<double>(runner_.unstoredBytes()));
}

void RunnerTransport::setInstances(std::vector<InstanceId> alive)
{
    perform(runner_.setInstances(std::move(alive), options_.clock()));
}

void RunnerTransport::setServers(std::vector<SlotServer> servers)
{
    perform(runner_.setServers(std::move(servers), options_.clock()));
}

void RunnerTransport::onJobsChanged()
{
    perform(runner_.onJobsChanged(options_.clock()));
}

void RunnerTransport::onItemEnded(AttemptRef const &item, AttemptResult end)
{
    perform(runner_.onItemEnded(item, std::move(end), options_.clock()));
}

void RunnerTransport::stop(std::function<void()> stopped)
{
    stopped_ = std::move(stopped);
    perform(runner_.stop(options_.clock()));
}

void RunnerTransport::abandonRunning()
{
    perform(runner_.abandonRunning(options_.clock()));
}

BatchRunner const &RunnerTransport::runner() const
{
    return runner_;
}

void RunnerTransport::perform(RunnerActions actions)
{
    for (auto const &action : actions)
        std::visit([this](auto const &typed) { performOne(typed); }, action);
}

void RunnerTransport::listAll(Platform::Kind const &kind, std::string prefix, std::function<void(Result<Objects>)> done)
{
    auto const objects = std::make_shared<Objects>();
    Platform::listAllPages(
        [weak = weak_from_this(), kind](Platform::ListOptions options, Platform::Reply<Platform::ObjectList> reply) {
            auto const self = weak.lock();
            if (!self)
                return;
            self->reads_.add();
            self->options_.store.list(
                CallClass::Read, kind, std::move(options), [weak, reply = std::move(reply)](Result<Platform::ObjectList> page) {
                    if (auto const alive = weak.lock())
                        reply(std::move(page));
                });
        },
        {.namePrefix = std::move(prefix), .limit = PageSize},
        [objects](Objects page) { std::move(page.begin(), page.end(), std::back_inserter(*objects)); },
        [objects, done = std::move(done)](Result<std::monostate> const &listed) {
            done(listed ? Result<Objects>(std::move(*objects)) : tl::unexpected(listed.error()));
        });
}

void RunnerTransport::performOne(ListOpenJobs const &)
{
    listAll(Kinds::openJobs, {}, [this](Result<Objects> const &result) {
        if (!result) {
            perform(runner_.onOpenJobs(tl::unexpected(result.error()), options_.clock()));
            return;
        }
        std::vector<OpenJob> jobs;
        for (auto const &object : *result) {
            if (auto job = OpenJobCodec::decode(object.spec))
                jobs.push_back(std::move(*job));
        }
        perform(runner_.onOpenJobs(jobs, options_.clock()));
    });
}

void RunnerTransport::performOne(ListCancels const &action)
{
    listAll(Kinds::cancels, {}, [this, requestedAt = action.requestedAt](Result<Objects> const &result) {
        if (!result) {
            perform(runner_.onCancels(tl::unexpected(result.error()), requestedAt, options_.clock()));
            return;
        }
        std::set<JobId> jobs;
        for (auto const &object : *result)
            jobs.insert(JobId(object.name.value()));
        perform(runner_.onCancels(jobs, requestedAt, options_.clock()));
    });
}

void RunnerTransport::performOne(GetJob const &action)
{
    reads_.add();
    options_.store.get(CallClass::Read,
                       Kinds::jobs,
                       Platform::ObjectName(action.job.value()),
                       [weak = weak_from_this(), job = action.job](Result<Platform::Object> const &result) {
                           if (auto const self = weak.lock()) {
                               auto record = result ? JobCodec::decode(result->spec) : tl::unexpected(result.error());
                               self->perform(self->runner_.onJob(job, std::move(record), self->options_.clock()));
                           }
                       });
}

void RunnerTransport::performOne(ListChunks const &action)
{
    listAll(Kinds::chunks, chunkPrefix(action.job), [this, job = action.job](Result<Objects> const &result) {
        if (!result) {
            perform(runner_.onChunks(job, tl::unexpected(result.error()), options_.clock()));
            return;
        }
        std::map<ChunkIndex, ChunkState> chunks;
        for (auto const &object : *result) {
            auto const index = chunkIndexOf(job, object.name);
            auto state = ChunkCodec::decode(object.spec);
            if (index && state)
                chunks.emplace(*index, std::move(*state));
        }
        perform(runner_.onChunks(job, std::move(chunks), options_.clock()));
    });
}

Platform::Reply<Platform::Object> RunnerTransport::chunkReply(ChunkRef const &chunk)
{
    return [weak = weak_from_this(), chunk](Result<Platform::Object> const &result) {
        auto const self = weak.lock();
        if (!self)
            return;
        auto stored = result ? toStoredChunk(*result) : tl::unexpected(result.error());
        ChunkReply const reply = stored ? ChunkReply(std::optional(std::move(*stored))) : tl::unexpected(stored.error());
        self->perform(self->runner_.onChunkReply(chunk, reply, self->options_.clock()));
    };
}

void RunnerTransport::performOne(ChunkCall const &action)
{
    auto const name = chunkName(action.chunk.job, action.chunk.chunk);
    if (auto const *create = std::get_if<CreateChunk>(&action.call)) {
        writes_.add();
        options_.store.create(CallClass::Lease, Kinds::chunks, name, ChunkCodec::encode(create->state), chunkReply(action.chunk));
    } else if (auto const *update = std::get_if<UpdateChunk>(&action.call)) {
        writes_.add();
        Platform::Object object{.name = name, .version = update->version, .spec = ChunkCodec::encode(update->state)};
        options_.store.update(CallClass::Lease, Kinds::chunks, std::move(object), chunkReply(action.chunk));
    } else if (std::holds_alternative<ReadChunk>(action.call)) {
        reads_.add();
        options_.store.get(CallClass::Lease, Kinds::chunks, name, chunkReply(action.chunk));
    } else if (auto const *part = std::get_if<CreatePart>(&action.call)) {
        writes_.add();
        auto reply = [weak = weak_from_this(), chunk = action.chunk](Result<Platform::Object> const &result) {
            if (auto const self = weak.lock()) {
                ChunkReply const reply = result ? ChunkReply(std::optional<StoredChunk>()) : tl::unexpected(result.error());
                self->perform(self->runner_.onChunkReply(chunk, reply, self->options_.clock()));
            }
        };
        options_.store.create(
            CallClass::Commit, Kinds::results, Platform::ObjectName(part->name), ResultCodec::encode(part->lines), std::move(reply));
    }
}

void RunnerTransport::performOne(FetchChunkInput const &action)
{
    reads_.add();
    auto const name = inputName(action.upload, action.chunk.chunk);
    options_.store.get(
        CallClass::Commit, Kinds::inputs, name, [weak = weak_from_this(), chunk = action.chunk](Result<Platform::Object> const &result) {
            if (auto const self = weak.lock()) {
                auto input = result ? InputCodec::decode(result->spec) : tl::unexpected(result.error());
                self->perform(self->runner_.onChunkInput(chunk, std::move(input), self->options_.clock()));
            }
        });
}

void RunnerTransport::performOne(SendItem const &action)
{
    sent_.add();
    options_.sendItem(action);
}

void RunnerTransport::performOne(StopItem const &action)
{
    if (action.reason == StopItem::Reason::Preempted)
        preempted_.add();
    options_.stopItem(action);
}

void RunnerTransport::performOne(FinishJob const &action)
{
    auto done = [weak = weak_from_this(), job = action.job.job](JobFinisher::End end) {
        auto const self = weak.lock();
        if (self && end == JobFinisher::End::Failed)
            self->perform(self->runner_.onFinishFailed(job, self->options_.clock()));
    };
    std::make_shared<JobFinisher>(caller_, action.job, options_.clock().wall, std::move(done))->start();
}

void RunnerTransport::performOne(RemoveOrphan const &action)
{
    caller_->remove(Kinds::openJobs, Platform::ObjectName(action.job.value()), [](Result<std::monostate> const &) {});
}

void RunnerTransport::performOne(Stopped const &)
{
    if (stopped_)
        stopped_();
}

} // namespace Anvilyard::Batch
