#include "Benchmarks/Capacity/FleetData.h"
#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"
#include "LibBatch/JobScheduler.h"
#include "LibYield/BatchGate.h"

namespace Anvilyard::Benchmarks {

namespace {

constexpr std::size_t Instances = 360;
constexpr std::size_t Jobs = 1000;
constexpr std::size_t Chunks = 850;
/// A batch process owns only a few engines. This larger number makes the slope measurable.
constexpr std::size_t OwnedEngines = 64;

std::unique_ptr<Yield::BatchGate> makeGate(std::size_t engines, std::size_t entries)
{
    auto gate = std::make_unique<Yield::BatchGate>(Yield::GateOptions{});
    std::map<ServerId, Yield::GateLimits> owned;
    std::vector<Yield::OnlineTally> tallies;
    for (auto const &backend : servers(engines)) {
        owned.emplace(backend.id, Yield::GateLimits{});
        tallies.push_back({.server = backend.id, .started = 7, .finished = 6});
    }
    gate->setEngines(owned, Instant{1s});
    for (std::size_t number = 0; number < entries; ++number)
        gate->onOnlineReport(instanceRecord(number).id, 1, tallies, Instant{1s});
    return gate;
}

Batch::OpenJob openJob(std::size_t number)
{
    return {.id = JobId(numbered("job-0123456789abcdef0123456789-", number)),
            .customer = CustomerId(numbered("shop-", number % 1800)),
            .due = WallInstant(12h),
            .created = WallInstant(1h),
            .services = {ServiceName("maintenance-reports")}};
}

Batch::JobRecord jobRecord(std::size_t number, std::size_t chunks)
{
    auto const entry = openJob(number);
    return {.id = entry.id,
            .customer = entry.customer,
            .items = static_cast<std::uint32_t>(chunks * 200),
            .chunkItems = std::vector<std::uint32_t>(chunks, 200),
            .services = entry.services,
            .created = entry.created,
            .due = entry.due};
}

std::unique_ptr<Batch::JobScheduler> makeScheduler(std::size_t jobs, std::size_t chunksEach)
{
    CurrentTime const now{.local = Instant{1s}, .wall = WallInstant(2h)};
    auto scheduler = std::make_unique<Batch::JobScheduler>(Batch::JobSchedulerOptions{.self = instanceRecord(0).id});
    std::vector<InstanceId> alive;
    for (std::size_t number = 0; number < Instances; ++number)
        alive.push_back(instanceRecord(number).id);
    scheduler->setInstances(alive);
    std::vector<Batch::OpenJob> open;
    for (std::size_t number = 0; number < jobs; ++number)
        open.push_back(openJob(number));
    scheduler->onOpenJobs(open);
    for (std::size_t number = 0; number < jobs; ++number) {
        scheduler->onJob(open[number].id, jobRecord(number, chunksEach), now);
        scheduler->onChunks(open[number].id, std::map<ChunkIndex, Batch::ChunkState>{}, now);
    }
    return scheduler;
}

} // namespace

void measureBatch()
{
    auto const perEngine = bytesPerUnit(OwnedEngines / 4, OwnedEngines, [](std::size_t engines) { return makeGate(engines, 0); });
    printFigure("batch_gate_bytes_per_engine", perEngine, "bytes");
    auto const perEntry = bytesPerUnit(Instances / 4, Instances, [](std::size_t entries) { return makeGate(2, entries); });
    printFigure("batch_gate_bytes_per_entry_of_2_engines", perEntry, "bytes");
    auto const perJob = bytesPerUnit(Jobs / 4, Jobs, [](std::size_t jobs) { return makeScheduler(jobs, 1); });
    printFigure("batch_scheduler_bytes_per_job", perJob, "bytes");
    auto const perChunk = bytesPerUnit(Chunks / 4, Chunks, [](std::size_t chunks) { return makeScheduler(1, chunks); });
    printFigure("batch_scheduler_bytes_per_chunk", perChunk, "bytes");

    auto const gate = makeGate(2, Instances);
    auto const perReport = nanosecondsPerCall(20'000, [&](std::size_t call) {
        gate->onOnlineReport(instanceRecord(call % Instances).id,
                             1,
                             {{.server = server(call % 2).id, .started = 8 + call, .finished = 7 + call}},
                             Instant{2s});
    });
    printFigure("batch_gate_report_us_360", perReport / 1e3, "us");

    auto const scheduler = makeScheduler(Jobs, 145);
    CurrentTime const now{.local = Instant{3s}, .wall = WallInstant(2h)};
    auto const perPick = nanosecondsPerCall(50, [&](std::size_t) {
        if (!scheduler->pick([](ServiceName const &) { return true; }, now))
            std::exit(1);
    });
    printFigure("batch_scheduler_pick_us_1000_jobs", perPick / 1e3, "us");
}

} // namespace Anvilyard::Benchmarks
