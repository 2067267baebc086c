// Runs one job through the job interface of one entry and one runner, with engines that respond immediately. Measures items per
// second, memory and store calls. "--items N" sets the number of items.
#include "Benchmarks/Batch/EnvironmentProcess.h"

#include "LibBatch/ItemSender.h"
#include "LibBatch/JobApi.h"
#include "LibBatch/RunnerTransport.h"
#include "LibPlatform/HttpObjectStore.h"
#include "Tests/LibHttp/LoopThread.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>

using namespace Anvilyard;
using namespace Anvilyard::Benchmarks;

namespace {

constexpr std::size_t Engines = 4;
constexpr std::uint32_t SlotsPerEngine = 16;
constexpr std::uint32_t DefaultItems = 170'000;
ServiceName const jobService("fault-notes");
CustomerId const jobCustomer("shop-17");

/// The batch part of an entry and a runner, each on its own event loop as in production.
class ProcessUnderTest
{
public:
    explicit ProcessUnderTest(EnvironmentAddresses const &environment)
    {
        startEntry(environment);
        startRunner(environment);
    }

    ~ProcessUnderTest()
    {
        runnerThread_.call([this] {
            runner_.reset();
            sender_.reset();
            runnerStore_.reset();
        });
        entryThread_.call([this] {
            server_.reset();
            api_.reset();
            entryStore_.reset();
        });
    }

    ProcessUnderTest(ProcessUnderTest const &) = delete;
    ProcessUnderTest &operator=(ProcessUnderTest const &) = delete;

    [[nodiscard]] Address entry() const
    {
        return server_->address();
    }

    double runnerCpuSeconds()
    {
        return runnerThread_.call([] {
            timespec time{};
            ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
        });
    }

private:
    void startEntry(EnvironmentAddresses const &environment)
    {
        auto rules = std::make_shared<Rules::RuleSet>();
        rules->routes.push_back({.service = jobService, .pool = PoolName("llm"), .model = ModelName("coldline-7b")});
        entryThread_.call([&] {
            entryStore_ = Platform::HttpObjectStore::create({.loop = entryThread_.loop(), .platform = Address(environment.platform)});
            api_ = Batch::JobApi::create({.loop = entryThread_.loop(),
                                          .store = *entryStore_,
                                          .metrics = metrics_,
                                          .rules = [rules] { return rules; },
                                          .onJobsChanged = [this] { runnerThread_.loop().post([this] { runner_->onJobsChanged(); }); }});
            Http::HttpServerOptions options{.listen = Address("127.0.0.1:0")};
            options.streamedBody = [this](auto const &head, auto const &writer) { return api_->streamBody(jobCustomer, head, writer); };
            server_ = std::move(*Http::HttpServer::create(entryThread_.loop(), options, [this](auto request, auto writer) {
                api_->handle(jobCustomer, std::move(request), std::move(writer));
            }));
        });
    }

    void startRunner(EnvironmentAddresses const &environment)
    {
        std::vector<Batch::SlotServer> servers;
        for (std::size_t index = 0; index < environment.engines.size(); ++index)
            servers.push_back({.id = ServerId(std::to_string(index)), .services = {jobService}, .slots = SlotsPerEngine});
        runnerThread_.call([&] {
            runnerStore_ = Platform::HttpObjectStore::create({.loop = runnerThread_.loop(), .platform = Address(environment.platform)});
            sender_ = std::make_unique<Batch::ItemSender>(Batch::ItemSenderOptions{
                .loop = runnerThread_.loop(),
                .tracer = *tracer_,
                .route = [engines = environment.engines](ServerId const &server, ServiceName const &) -> std::optional<Batch::ServerRoute> {
                    return Batch::ServerRoute{.address = Address(engines.at(std::stoul(server.value()))), .model = "coldline-7b"};
                },
                .onEnd = [this](Batch::AttemptRef const &item, Batch::AttemptResult end) { runner_->onItemEnded(item, std::move(end)); },
            });
            runner_ = std::make_shared<Batch::RunnerTransport>(Batch::RunnerTransportOptions{
                .loop = runnerThread_.loop(),
                .store = *runnerStore_,
                .metrics = metrics_,
                .runner = {.self = InstanceId("bench"), .process = "p1", .seed = 1},
                .sendItem = [this](Batch::SendItem const &item) { sender_->send(item); },
                .stopItem = [this](Batch::StopItem const &item) { sender_->stop(item); },
            });
            runner_->setServers(servers);
            runner_->start();
        });
    }

    Observe::MetricsRegistry metrics_;
    std::unique_ptr<Observe::Tracer> tracer_ = std::move(*Observe::Tracer::create({.program = "bench-batch"}));
    Tests::LoopThread entryThread_;
    Tests::LoopThread runnerThread_;
    std::unique_ptr<Platform::HttpObjectStore> entryStore_;
    std::unique_ptr<Batch::JobApi> api_;
    std::unique_ptr<Http::HttpServer> server_;
    std::unique_ptr<Platform::HttpObjectStore> runnerStore_;
    std::unique_ptr<Batch::ItemSender> sender_;
    std::shared_ptr<Batch::RunnerTransport> runner_;
};

double peakMemoryMegabytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::strtod(line.c_str() + std::strlen("VmHWM:"), nullptr) / 1024;
    }
    return 0;
}

struct Figure {
    char const *metric;
    double value;
    char const *unit;
    double target;
    /// Whether the target is a maximum, not a minimum.
    bool isUpperBound;
};

void print(Figure const &figure)
{
    std::printf(R"({"bench": "batch", "metric": "%s", "value": %.6g, "unit": "%s", "target": %.6g, "at_most": %s})"
                "\n",
                figure.metric,
                figure.value,
                figure.unit,
                figure.target,
                figure.isUpperBound ? "true" : "false");
}

} // namespace

int main(int argumentCount, char const *const *arguments)
{
    std::uint32_t items = DefaultItems;
    if (argumentCount == 3 && std::strcmp(arguments[1], "--items") == 0)
        items = static_cast<std::uint32_t>(std::strtoul(arguments[2], nullptr, 10));
    auto environment = EnvironmentProcess::fork(Engines, items);
    ClientReport report;
    double cpuSeconds = 0;
    {
        ProcessUnderTest process(environment.addresses());
        report = environment.run(process.entry());
        cpuSeconds = process.runnerCpuSeconds();
    }
    std::fprintf(stderr,
                 "%u items: submitted in %.2f s, ran for %.2f s, results read in %.2f s, %llu result lines\n",
                 items,
                 report.submitSeconds,
                 report.runSeconds,
                 report.readSeconds,
                 static_cast<unsigned long long>(report.outputLines));
    if (report.outputLines != items)
        return 1;
    // At 336 items per second, the platform allows 60 writes and 300 reads per second.
    constexpr double MaxWritesPerItem = 60.0 / 336;
    constexpr double MaxReadsPerItem = 300.0 / 336;
    print({"items_per_s", items / report.runSeconds, "1/s", 2000, false});
    print({"items_per_core_s", items / cpuSeconds, "1/s", 2000, false});
    print({"rss_mb_170k", peakMemoryMegabytes(), "MB", 200, true});
    print({"store_writes_per_item", static_cast<double>(report.storeWrites) / items, "calls", MaxWritesPerItem, true});
    print({"store_reads_per_item", static_cast<double>(report.storeReads) / items, "calls", MaxReadsPerItem, true});
    return 0;
}
