// Measures how far a customer's limit over all instances is exceeded or left unused, how many requests below it are refused, and the
// datagrams that this takes. Demand moves between entries, and datagrams are lost, duplicated, delayed and reordered. The decisions of
// entries and coordinators run on a simulated clock; the time to charge a request is measured on the real one.

#include "Benchmarks/Limits/Measurements.h"
#include "LibServing/LimitMessages.h"
#include "Tests/LibRouting/LimitSimulation.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace Anvilyard;
using Testing::LimitSimulation;
using Testing::LimitSimulationOptions;

constexpr Duration RunLength = 3min;
constexpr Duration DemandShiftInterval = 2s;
constexpr Duration CoordinatorKilledAt = 90s;
constexpr double DemandAboveLimit = 4.7;
constexpr double DemandBelowLimit = 0.6;
constexpr double OverrunTarget = 1;
constexpr double UnderuseTarget = 0.05;
constexpr double RefusedTarget = 0.01;
constexpr double ChargeTarget = 1;
constexpr std::size_t Customers = 10'000;
constexpr int Charges = 2'000'000;

void print(std::string const &metric, double value, std::string const &unit, std::optional<double> target)
{
    boost::json::object figure = {{"bench", "limits"}, {"metric", metric}, {"value", value}, {"unit", unit}};
    if (target) {
        figure["target"] = *target;
        figure["at_most"] = true;
    }
    std::cout << boost::json::serialize(figure) << '\n';
}

/// Network and fleet of one measurement.
enum class Conditions {
    Good,
    /// A tenth of the datagrams is lost, and a runner is lost half-way.
    Bad,
};

LimitSimulationOptions optionsFor(std::size_t entries, double perSecond, Conditions conditions)
{
    LimitSimulationOptions options{.entries = entries, .runners = 11, .limit = {.perSecond = perSecond, .burst = perSecond}};
    if (conditions == Conditions::Bad) {
        options.lostShare = 0.1;
        options.duplicatedShare = 0.05;
        options.delayedShare = 0.1;
    }
    return options;
}

void run(LimitSimulation &simulation, LimitSimulationOptions const &options, double demand, Conditions conditions)
{
    simulation.setDemand(demand * options.limit.perSecond);
    for (Duration elapsed{0}; elapsed < RunLength; elapsed += DemandShiftInterval) {
        if (conditions == Conditions::Bad && elapsed == CoordinatorKilledAt)
            simulation.killCoordinator();
        simulation.concentrateDemand(std::max<std::size_t>(1, options.entries / 10), 0.6);
        simulation.run(DemandShiftInterval);
    }
}

/// Bytes of a report or reply with one customer; further ones add a tenth.
double bytesPerDatagram()
{
    Serving::AddressedLimitReport const report{
        .replyTo = Address("10.12.34.56:17001"),
        .report = {.entry = InstanceId("entry-17"),
                   .startedAt = 1'765'000'000'000,
                   .sentAt = 86'400'000'000,
                   .usage = {{.customer = CustomerId("customer-17"), .admitted = 123'456, .refused = 1'234}}},
    };
    Routing::LimitReply const reply{
        .coordinator = InstanceId("runner-3"),
        .startedAt = 1'765'000'000'000,
        .reportSentAt = 86'400'000'000,
        .grants =
            {{.customer = CustomerId("customer-17"), .fraction = 0.212'766, .sharePerSecond = 1.5, .counted = 123'456, .advance = 2.5}},
    };
    constexpr double IpAndUdpHeaders = 28;
    return static_cast<double>(Serving::encodeLimitReport(report).size() + Serving::encodeLimitReply(reply).size()) / 2 + IpAndUdpHeaders;
}

void measure(std::size_t entries, double perSecond, Conditions conditions)
{
    auto const suffix = "_" + std::to_string(entries) + "_entries_limit_" + std::to_string(static_cast<int>(perSecond))
        + (conditions == Conditions::Bad ? "_bad_network" : "");
    auto const options = optionsFor(entries, perSecond, conditions);
    auto const length = std::chrono::duration<double>(RunLength).count();
    LimitSimulation above(options);
    run(above, options, DemandAboveLimit, conditions);
    LimitSimulation below(options);
    run(below, options, DemandBelowLimit, conditions);
    auto const admitted = static_cast<double>(above.counts().admitted);
    auto const offeredBelow = static_cast<double>(below.counts().offered);
    // 1 is as many as may be admitted in 5 s: 1.1 times rate and burst, and 20 requests.
    print("worst_window" + suffix,
          static_cast<double>(above.worstWindow()) / LimitSimulation::allowedInWindow(options.limit),
          "ratio",
          OverrunTarget);
    print("underuse" + suffix, std::max(0.0, 1 - admitted / (perSecond * length)), "ratio", UnderuseTarget);
    print("refused_below_limit" + suffix, 1 - static_cast<double>(below.counts().admitted) / offeredBelow, "ratio", RefusedTarget);
    auto const bytes = static_cast<double>(above.counts().datagrams) * bytesPerDatagram();
    print("bytes_above_limit" + suffix, bytes / length / static_cast<double>(entries), "bytes/s for each entry", std::nullopt);
    print("datagrams_above_limit" + suffix,
          static_cast<double>(above.counts().datagrams) / length / static_cast<double>(entries),
          "datagrams/s for each entry",
          std::nullopt);
}

void measureCharge()
{
    Routing::FractionLimiter limiter({
        .self = InstanceId("entry-1"),
        .coordinatorOf = [](CustomerId const &) { return std::optional(InstanceId("runner-1")); },
    });
    std::unordered_map<CustomerId, Routing::RequestLimit> limits;
    std::vector<CustomerId> ids;
    for (std::size_t number = 0; number < Customers; ++number) {
        ids.emplace_back("customer-" + std::to_string(number));
        limits[ids.back()] = {.perSecond = 10, .burst = 10};
    }
    Instant now{1h};
    limiter.setLimits(limits, now);
    std::size_t refused = 0;
    auto const start = std::chrono::steady_clock::now();
    for (int count = 0; count < Charges; ++count) {
        now += 1us;
        refused += limiter.tryAdmit(ids[static_cast<std::size_t>(count) * 7'919 % ids.size()], now) ? 1 : 0;
    }
    auto const elapsed = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    print("charge_10000_customers", elapsed / Charges, "us", ChargeTarget);
    print("charge_refused_share", static_cast<double>(refused) / Charges, "ratio", std::nullopt);
}

} // namespace

void Anvilyard::measureFractions()
{
    for (auto const entries : {std::size_t(9), std::size_t(55), std::size_t(300)}) {
        measure(entries, 20, Conditions::Good);
        measure(entries, 150, Conditions::Good);
        measure(entries, 20, Conditions::Bad);
    }
    measureCharge();
}
