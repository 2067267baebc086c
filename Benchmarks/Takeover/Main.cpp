// Eight runners process one job and one of them stops without releasing its chunks. Measures the share of items that run twice and
// the time until another runner resumes those chunks.
#include "LibBatch/InputCodec.h"
#include "LibBatch/ItemSender.h"
#include "LibBatch/JobCodec.h"
#include "LibBatch/JobNames.h"
#include "LibBatch/OpenJobCodec.h"
#include "LibBatch/RunnerTransport.h"
#include "LibPlatform/HttpObjectStore.h"
#include "Tests/FakePlatform/FakePlatformServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "Utilities/FakeEngine/EngineServer.h"

#include <cstdio>
#include <future>

using namespace Anvilyard;
using namespace Anvilyard::Batch;

namespace {

constexpr std::size_t Runners = 8;
constexpr std::uint32_t SlotsPerEngine = 16;
constexpr std::uint32_t Items = 20'000;
constexpr std::uint32_t ItemsPerChunk = 256;
constexpr std::uint32_t ItemsBeforeStop = 6'000;
ServiceName const jobService("fault-notes");

struct Observations {
    std::uint32_t sends = 0;
    std::optional<Instant> stoppedAt;
    std::optional<Instant> resumedAt;
    std::set<ChunkRef> chunksOfStoppedRunner;
};

/// The runner part of a batch process. Destroying it simulates a crash.
class Runner
{
public:
    Runner(Http::EventLoop &loop,
           Address const &platform,
           std::size_t index,
           Address const &engine,
           Observations &observations,
           Observe::Tracer &tracer)
        : store_(Platform::HttpObjectStore::create({.loop = loop, .platform = platform}))
        , sender_(ItemSenderOptions{
              .loop = loop,
              .tracer = tracer,
              .route = [engine](ServerId const &, ServiceName const &) -> std::optional<ServerRoute> {
                  return ServerRoute{.address = engine, .model = "coldline-7b"};
              },
              .onEnd =
                  [this](AttemptRef const &item, AttemptResult end) {
                      running_.erase(item);
                      transport_->onItemEnded(item, std::move(end));
                  },
          })
    {
        std::vector<InstanceId> alive;
        for (std::size_t other = 0; other < Runners; ++other)
            alive.emplace_back("i" + std::to_string(other));
        transport_ = std::make_shared<RunnerTransport>(RunnerTransportOptions{
            .loop = loop,
            .store = *store_,
            .metrics = metrics_,
            .runner = {.self = alive.at(index), .process = "p1", .seed = index + 1},
            .sendItem = [this, &observations](SendItem const &item) { onSend(item, observations); },
            .stopItem = [this](StopItem const &item) { sender_.stop(item); },
        });
        transport_->setInstances(alive);
        transport_->setServers({{.id = ServerId("e" + std::to_string(index)), .services = {jobService}, .slots = SlotsPerEngine}});
        transport_->start();
    }

    [[nodiscard]] std::set<ChunkRef> chunks() const
    {
        std::set<ChunkRef> chunks;
        for (auto const &item : running_)
            chunks.insert(item.chunk);
        return chunks;
    }

private:
    void onSend(SendItem const &item, Observations &observations)
    {
        ++observations.sends;
        running_.insert(item.item);
        if (observations.stoppedAt && !observations.resumedAt && observations.chunksOfStoppedRunner.contains(item.item.chunk))
            observations.resumedAt = readLocalClock();
        sender_.send(item);
    }

    Observe::MetricsRegistry metrics_;
    std::unique_ptr<Platform::HttpObjectStore> store_;
    std::set<AttemptRef> running_;
    std::shared_ptr<RunnerTransport> transport_;
    ItemSender sender_;
};

void storeJob(Tests::ObjectTable &table)
{
    auto const now = readClocks().wall;
    UploadId const upload("upload-1");
    JobRecord job{
        .id = JobId("batch-bench"), .customer = CustomerId("shop-17"), .upload = upload, .items = Items, .services = {jobService}};
    job.created = now;
    job.due = now + std::chrono::hours(12);
    for (std::uint32_t first = 0; first < Items; first += ItemsPerChunk) {
        std::vector<ItemSpec> items;
        for (auto item = first; item < std::min(Items, first + ItemsPerChunk); ++item)
            items.push_back({.customId = std::to_string(item),
                             .url = "/v1/completions",
                             .service = jobService,
                             .body = R"({"model":"fault-notes","prompt":"note )" + std::to_string(item) + R"(","max_tokens":8})"});
        auto const chunk = ChunkIndex(static_cast<std::uint32_t>(job.chunkItems.size()));
        job.chunkItems.push_back(static_cast<std::uint32_t>(items.size()));
        static_cast<void>(table.create(Kinds::inputs, inputName(upload, chunk), InputCodec::encode(items)));
    }
    OpenJob const open{.id = job.id, .customer = job.customer, .due = job.due, .created = now, .services = job.services};
    static_cast<void>(table.create(Kinds::jobs, Platform::ObjectName(job.id.value()), JobCodec::encode(job)));
    static_cast<void>(table.create(Kinds::openJobs, Platform::ObjectName(job.id.value()), OpenJobCodec::encode(open)));
}

/// Polls a condition on the loop until it is true.
void waitUntil(Tests::LoopThread &thread, std::function<bool()> const &condition)
{
    std::promise<void> done;
    std::unique_ptr<Http::Timer> timer;
    std::function<void()> check = [&] {
        if (condition())
            done.set_value();
        else
            timer = thread.loop().at(readLocalClock() + 20ms, check);
    };
    thread.loop().post(check);
    done.get_future().wait();
    thread.call([&] { timer.reset(); });
}

void print(char const *metric, double value, char const *unit, double target)
{
    std::printf(R"({"bench": "takeover", "metric": "%s", "value": %.6g, "unit": "%s", "target": %.6g, "at_most": true})"
                "\n",
                metric,
                value,
                unit,
                target);
}

} // namespace

int main()
{
    auto const tracer = std::move(*Observe::Tracer::create({.program = "bench-takeover"}));
    Tests::LoopThread environmentThread;
    Tests::LoopThread runnerThread;
    std::unique_ptr<Tests::FakePlatformServer> platform;
    std::vector<std::unique_ptr<FakeEngine::EngineServer>> engines;
    environmentThread.call([&] {
        platform = std::move(*Tests::FakePlatformServer::create(environmentThread.loop(), Address("127.0.0.1:0")));
        storeJob(platform->table());
        for (std::size_t index = 0; index < Runners; ++index)
            engines.push_back(std::move(*FakeEngine::EngineServer::create(environmentThread.loop(), {.timing = {.tokenBase = 15ms}})));
    });
    Observations observations;
    std::vector<std::unique_ptr<Runner>> runners(Runners);
    runnerThread.call([&] {
        for (std::size_t index = 0; index < Runners; ++index)
            runners[index] =
                std::make_unique<Runner>(runnerThread.loop(), platform->address(), index, engines[index]->address(), observations, *tracer);
    });
    waitUntil(runnerThread, [&] { return observations.sends >= ItemsBeforeStop; });
    runnerThread.call([&] {
        observations.chunksOfStoppedRunner = runners.front()->chunks();
        observations.stoppedAt = readLocalClock();
        runners.front().reset();
    });
    waitUntil(environmentThread, [&] { return platform->table().list(Kinds::openJobs, {})->objects.empty(); });
    auto const job = environmentThread.call(
        [&] { return *JobCodec::decode(platform->table().get(Kinds::jobs, Platform::ObjectName("batch-bench"))->spec); });
    runnerThread.call([&] { runners.clear(); });
    environmentThread.call([&] {
        engines.clear();
        platform.reset();
    });
    if (job.counts.succeeded != Items || !observations.resumedAt) {
        std::fprintf(stderr,
                     "the job finished with only %llu of %u items succeeded, or its chunks were not resumed\n",
                     static_cast<unsigned long long>(job.counts.succeeded),
                     Items);
        return 1;
    }
    print("run_again_share", static_cast<double>(observations.sends - Items) / Items, "share", 0.01);
    print("resume_s", std::chrono::duration<double>(*observations.resumedAt - *observations.stoppedAt).count(), "s", 20);
    return 0;
}
