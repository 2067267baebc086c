#include "Benchmarks/Capacity/FleetData.h"
#include "Benchmarks/Capacity/Roles.h"
#include "Benchmarks/Capacity/Slope.h"
#include "LibRouting/RateLimiter.h"
#include "LibRouting/ServerChooser.h"
#include "LibRouting/ServerHealth.h"
#include "LibRouting/ShareDivider.h"

namespace Anvilyard::Benchmarks {

namespace {

constexpr std::size_t Engines = 600;
constexpr std::size_t Instances = 360;
constexpr std::size_t Customers = 1800;

std::unique_ptr<Routing::ServerChooser> makeChooser(std::size_t count)
{
    auto chooser = std::make_unique<Routing::ServerChooser>(
        Routing::ChooserOptions{.instance = InstanceId("anvilyard-entry-1"), .dataCentre = DataCentreId("kr-central-0")});
    chooser->setServers(servers(count));
    return chooser;
}

std::unique_ptr<Routing::ServerHealth> makeHealth(std::size_t count)
{
    auto health = std::make_unique<Routing::ServerHealth>(Routing::ServerHealthOptions{}, RandomSource(1));
    std::map<ServerId, PoolName> pools;
    for (auto const &backend : servers(count))
        pools.emplace(backend.id, backend.pool);
    health->setServers(pools);
    return health;
}

auto makeLimiters(std::size_t count)
{
    auto limiters = std::make_unique<std::map<std::pair<CustomerId, ServiceName>, Routing::RateLimiter>>();
    for (std::size_t number = 0; number < count; ++number)
        limiters->emplace(std::pair(CustomerId(numbered("shop-", number)), ServiceName("fault-notes")),
                          Routing::RateLimiter(20, 20, Instant{}));
    return limiters;
}

std::unique_ptr<Routing::ShareDivider> makeDivider(std::size_t reporters)
{
    Instant const later{10min};
    auto divider = std::make_unique<Routing::ShareDivider>(Routing::ShareDividerOptions{}, 20, Instant{});
    for (std::size_t number = 0; number < reporters; ++number)
        divider->onReport(instanceRecord(number).id, 1, {.used = 5}, 1, later);
    return divider;
}

} // namespace

void measureEntry()
{
    printFigure("entry_chooser_bytes_per_server", bytesPerUnit(Engines / 4, Engines, makeChooser), "bytes");
    printFigure("entry_health_bytes_per_server", bytesPerUnit(Engines / 4, Engines, makeHealth), "bytes");
    printFigure("entry_limiter_bytes_per_customer", bytesPerUnit(Customers / 4, Customers, makeLimiters), "bytes");
    printFigure("entry_divider_bytes_per_reporter", bytesPerUnit(Instances / 4, Instances, makeDivider), "bytes");

    auto const divider = makeDivider(Instances);
    Instant now{11min};
    auto const perReport = nanosecondsPerCall(2000, [&](std::size_t call) {
        now += 1ms;
        divider->onReport(instanceRecord(call % Instances).id, 1, {.used = static_cast<double>(call), .shareSerial = call}, call + 1, now);
    });
    printFigure("entry_divider_report_us_360", perReport / 1e3, "us");
}

} // namespace Anvilyard::Benchmarks
