#include "Tests/LibRouting/LimitSimulation.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Routing;
using Testing::LimitSimulation;
using Testing::LimitSimulationOptions;

namespace {

struct LimitCase {
    double perSecond;
    double burst;
    std::size_t entries;
};

void PrintTo(LimitCase const &limitCase, std::ostream *stream)
{
    *stream << limitCase.perSecond << " requests/s, burst " << limitCase.burst << ", " << limitCase.entries << " entries";
}

LimitSimulationOptions optionsFor(LimitCase const &limitCase)
{
    return {.entries = limitCase.entries, .limit = {.perSecond = limitCase.perSecond, .burst = limitCase.burst}};
}

/// Demand moves to other entries every 2 s; six in ten requests go to a tenth of the entries.
void runWithMovingDemand(LimitSimulation &simulation, LimitSimulationOptions const &options, Duration duration)
{
    for (Duration elapsed{0}; elapsed < duration; elapsed += 2s) {
        simulation.concentrateDemand(std::max<std::size_t>(1, options.entries / 10), 0.6);
        simulation.run(2s);
    }
}

class CustomerLimitTest : public ::testing::TestWithParam<LimitCase>
{
};

} // namespace

// Guards against using less of the limit than customers pay for, and against exceeding it, when demand is uneven and moves.
TEST_P(CustomerLimitTest, UsesTheLimitWhenDemandExceedsIt)
{
    auto const options = optionsFor(GetParam());
    LimitSimulation simulation(options);
    simulation.setDemand(4.7 * options.limit.perSecond);
    runWithMovingDemand(simulation, options, 200s);
    auto const limit = options.limit.perSecond * 200 + options.limit.burst;
    RecordProperty("used", std::to_string(static_cast<double>(simulation.counts().admitted) / limit));
    RecordProperty("worst", std::to_string(simulation.worstWindow()));
    EXPECT_GE(static_cast<double>(simulation.counts().admitted), 0.95 * options.limit.perSecond * 200);
    EXPECT_LE(static_cast<double>(simulation.worstWindow()), LimitSimulation::allowedInWindow(options.limit));
}

// Guards against refusing requests of customers that keep to their limits.
TEST_P(CustomerLimitTest, RefusesFewRequestsBelowTheLimit)
{
    auto const options = optionsFor(GetParam());
    LimitSimulation simulation(options);
    simulation.setDemand(0.6 * options.limit.perSecond);
    runWithMovingDemand(simulation, options, 400s);
    auto const &counts = simulation.counts();
    RecordProperty("refused", std::to_string(counts.offered - counts.admitted));
    EXPECT_LE(static_cast<double>(counts.offered - counts.admitted), 0.01 * static_cast<double>(counts.offered));
}

// Guards against overruns at a jump from below the limit, when entries hold the fraction 1.
TEST_P(CustomerLimitTest, KeepsTheLimitWhenDemandJumps)
{
    auto const options = optionsFor(GetParam());
    LimitSimulation simulation(options);
    for (int jump = 0; jump < 6; ++jump) {
        simulation.setDemand(options.limit.perSecond);
        runWithMovingDemand(simulation, options, 6s);
        simulation.setDemand(4.7 * options.limit.perSecond);
        runWithMovingDemand(simulation, options, 6s);
        simulation.setDemand(0.4 * options.limit.perSecond);
        runWithMovingDemand(simulation, options, 10s);
    }
    RecordProperty("worst", std::to_string(simulation.worstWindow()));
    EXPECT_LE(static_cast<double>(simulation.worstWindow()), LimitSimulation::allowedInWindow(options.limit));
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         CustomerLimitTest,
                         ::testing::Values(LimitCase{0.5, 1, 55},
                                           LimitCase{2, 4, 55},
                                           LimitCase{10, 0, 55},
                                           LimitCase{20, 40, 55},
                                           LimitCase{150, 0, 55},
                                           LimitCase{150, 300, 55},
                                           LimitCase{20, 20, 9},
                                           LimitCase{20, 20, 300}));

namespace {

/// Events that disturb the exchange between entries and coordinators.
enum class Disturbance {
    BadNetwork,
    CoordinatorKilled,
    Partition,
    AllRestarted,
};

struct DisturbedCase {
    Disturbance disturbance;
    LimitCase limitCase;
    double demand;
};

void PrintTo(DisturbedCase const &disturbed, std::ostream *stream)
{
    *stream << "disturbance " << static_cast<int>(disturbed.disturbance) << ", demand " << disturbed.demand << ", ";
    PrintTo(disturbed.limitCase, stream);
}

class DisturbedLimitTest : public ::testing::TestWithParam<DisturbedCase>
{
};

void disturb(LimitSimulation &simulation, LimitSimulationOptions const &options, Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::BadNetwork:
        runWithMovingDemand(simulation, options, 10s);
        return;
    case Disturbance::CoordinatorKilled:
        simulation.killCoordinator();
        runWithMovingDemand(simulation, options, 10s);
        return;
    case Disturbance::Partition:
        simulation.partition(options.entries / 2, options.runners / 2);
        runWithMovingDemand(simulation, options, 12s);
        simulation.heal();
        runWithMovingDemand(simulation, options, 8s);
        return;
    case Disturbance::AllRestarted:
        // All processes are back within 1 s.
        simulation.setDemand(0);
        simulation.run(1s);
        simulation.restartAll();
        return;
    }
}

LimitSimulationOptions badNetwork(LimitCase const &limitCase)
{
    auto options = optionsFor(limitCase);
    options.runners = 4;
    options.lostShare = 0.1;
    options.duplicatedShare = 0.05;
    options.delayedShare = 0.1;
    return options;
}

std::vector<DisturbedCase> disturbedCases()
{
    std::vector<DisturbedCase> cases;
    for (auto const disturbance :
         {Disturbance::BadNetwork, Disturbance::CoordinatorKilled, Disturbance::Partition, Disturbance::AllRestarted}) {
        for (auto const &limitCase : {LimitCase{0.5, 1, 55}, LimitCase{10, 10, 55}, LimitCase{150, 50, 55}, LimitCase{20, 20, 9}}) {
            for (auto const demand : {0.6, 1.0, 4.7})
                cases.push_back({disturbance, limitCase, demand});
        }
    }
    return cases;
}

} // namespace

// Guards against overruns while grants are missing or two runners coordinate one limit.
TEST_P(DisturbedLimitTest, TheLimitIsKept)
{
    auto const &[disturbance, limitCase, demand] = GetParam();
    auto const options = badNetwork(limitCase);
    LimitSimulation simulation(options);
    for (int round = 0; round < 2; ++round) {
        simulation.setDemand(demand * options.limit.perSecond);
        runWithMovingDemand(simulation, options, 10s);
        disturb(simulation, options, disturbance);
    }
    simulation.setDemand(demand * options.limit.perSecond);
    runWithMovingDemand(simulation, options, 10s);
    RecordProperty("worst", std::to_string(simulation.worstWindow()));
    RecordProperty("allowed", std::to_string(LimitSimulation::allowedInWindow(options.limit)));
    RecordProperty(
        "refused",
        std::to_string(1 - static_cast<double>(simulation.counts().admitted) / static_cast<double>(simulation.counts().offered)));
    EXPECT_LE(static_cast<double>(simulation.worstWindow()), LimitSimulation::allowedInWindow(options.limit));
}

INSTANTIATE_TEST_SUITE_P(Disturbances, DisturbedLimitTest, ::testing::ValuesIn(disturbedCases()));

// Guards against a bad network that costs customers part of their limits.
TEST(CustomerLimitSimulationTest, LostDatagramsCostLittle)
{
    auto const options = badNetwork({20, 20, 55});
    LimitSimulation busy(options);
    busy.setDemand(4.7 * options.limit.perSecond);
    runWithMovingDemand(busy, options, 100s);
    EXPECT_GE(static_cast<double>(busy.counts().admitted), 0.95 * options.limit.perSecond * 100);
    LimitSimulation calm(options);
    calm.setDemand(0.6 * options.limit.perSecond);
    runWithMovingDemand(calm, options, 200s);
    EXPECT_LE(static_cast<double>(calm.counts().offered - calm.counts().admitted), 0.01 * static_cast<double>(calm.counts().offered));
}

// Guards against a lowered limit that is kept only after a time, and a raised one that is not granted.
TEST(CustomerLimitSimulationTest, AChangedLimitIsInForce)
{
    auto const options = optionsFor({40, 40, 55});
    LimitSimulation simulation(options);
    simulation.setDemand(200);
    runWithMovingDemand(simulation, options, 20s);
    RequestLimit const lowered{.perSecond = 8, .burst = 8};
    simulation.setLimit(lowered);
    auto const changedAt = simulation.now();
    runWithMovingDemand(simulation, options, 20s);
    EXPECT_LE(static_cast<double>(simulation.worstWindow(changedAt + 5s)), LimitSimulation::allowedInWindow(lowered));
    simulation.setLimit({.perSecond = 80, .burst = 0});
    auto const before = simulation.counts().admitted;
    runWithMovingDemand(simulation, options, 20s);
    EXPECT_GE(static_cast<double>(simulation.counts().admitted - before), 0.95 * 80 * 20);
}

// Guards against unlimited admission at an entry that no coordinator answers: its equal share holds.
TEST(CustomerLimitSimulationTest, WithoutRunnersEqualSharesHold)
{
    auto options = optionsFor({20, 20, 55});
    options.runners = 1;
    LimitSimulation simulation(options);
    simulation.setDemand(200);
    simulation.run(10s);
    simulation.killCoordinator();
    auto const killedAt = simulation.now();
    simulation.run(20s);
    EXPECT_LE(static_cast<double>(simulation.worstWindow(killedAt)), LimitSimulation::allowedInWindow(options.limit));
    EXPECT_GE(static_cast<double>(simulation.worstWindow(killedAt + 15s)), 0.9 * 20 * 5) << "the limit can be used without runners";
}

// Guards against overruns in any order of faults and jumps of demand.
RC_GTEST_PROP(CustomerLimitProperty, NoWindowExceedsTheLimit, ())
{
    LimitCase const limitCase{.perSecond = *rc::gen::element(0.5, 3.0, 12.0, 60.0, 150.0),
                              .burst = *rc::gen::element(0.0, 5.0, 60.0),
                              .entries = *rc::gen::element<std::size_t>(5, 20, 55)};
    auto options = badNetwork(limitCase);
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    LimitSimulation simulation(options);
    RandomSource random(options.seed);
    for (int phase = 0; phase < 8; ++phase) {
        simulation.setDemand(std::array{0.4, 0.6, 1.0, 1.9, 4.7}[random() % 5] * limitCase.perSecond);
        runWithMovingDemand(simulation, options, 6s);
        if (phase == 3)
            disturb(
                simulation, options, *rc::gen::element(Disturbance::CoordinatorKilled, Disturbance::Partition, Disturbance::AllRestarted));
    }
    RC_ASSERT(static_cast<double>(simulation.worstWindow()) <= LimitSimulation::allowedInWindow(options.limit));
}

namespace {

CustomerId const north("north");

/// An entry with one customer of 10 requests a second and a burst of 5.
FractionLimiter entryOf(std::size_t knownEntries)
{
    FractionLimiter limiter({
        .self = InstanceId("entry-1"),
        .startedAt = 1,
        .coordinatorOf = [](CustomerId const &) { return std::optional(InstanceId("runner-1")); },
    });
    limiter.setKnownEntries(knownEntries);
    limiter.setLimits({{north, {.perSecond = 10, .burst = 5}}}, Instant(1h));
    return limiter;
}

} // namespace

// Guards against callers that return at the same time, at once, or never.
TEST(FractionLimiterTest, RetryTimesAreBoundedAndSpread)
{
    auto limiter = entryOf(55);
    Instant const now(1h);
    std::set<Duration> waits;
    for (int request = 0; request < 100; ++request) {
        if (auto const wait = limiter.tryAdmit(north, now)) {
            EXPECT_GE(*wait, 100ms);
            EXPECT_LE(*wait, 5s);
            waits.insert(*wait);
        }
    }
    EXPECT_GE(waits.size(), 20U);
}

// Guards against refusals of customers that were removed, or never had a limit.
TEST(FractionLimiterTest, CustomersWithoutALimitAreNotCharged)
{
    auto limiter = entryOf(1);
    Instant const now(1h);
    for (int request = 0; request < 1000; ++request)
        EXPECT_FALSE(limiter.tryAdmit(CustomerId("south"), now));
    limiter.setLimits({}, now);
    for (int request = 0; request < 1000; ++request)
        EXPECT_FALSE(limiter.tryAdmit(north, now));
    EXPECT_TRUE(limiter.takeReports(now).empty()) << "nothing is sent without limits";
}

// Guards against a flood of log lines at a runner of an earlier build, which logs each report.
TEST(FractionLimiterTest, AFewReportsGoToACoordinatorThatDoesNotReply)
{
    auto limiter = entryOf(55);
    Instant now(1h);
    std::size_t reports = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += 1ms;
        static_cast<void>(limiter.tryAdmit(north, now));
        if (now >= Instant(1h) + 5s)
            reports += limiter.takeReports(now).size();
        else
            static_cast<void>(limiter.takeReports(now));
    }
    EXPECT_LE(reports, 16U) << "in 15 s";
}

// Guards against counts that are charged twice, or not at all, when reports are doubled, reordered or of an earlier process.
TEST(LimitCoordinatorTest, CountsAreChargedOnce)
{
    Instant now(1h);
    LimitCoordinator coordinator({.self = InstanceId("runner-1")}, now);
    coordinator.setLimits({{north, {.perSecond = 10, .burst = 0}}}, now);
    LimitReport report{.entry = InstanceId("entry-1"), .startedAt = 1, .sentAt = 1, .usage = {{.customer = north, .admitted = 1'000'000}}};
    EXPECT_EQ(coordinator.onReport(report, now).grants.front().fraction, 1) << "the first counts may have been charged elsewhere";
    now += 20s;
    auto const grantAfter = [&](std::int64_t sentAt, std::uint64_t admitted) {
        now += 20ms;
        report.sentAt = sentAt;
        report.usage.front().admitted = admitted;
        return coordinator.onReport(report, now);
    };
    EXPECT_EQ(grantAfter(2, 1'000'001).grants.front().fraction, 1);
    for (int copy = 0; copy < 50; ++copy)
        EXPECT_EQ(grantAfter(2, 1'000'001).grants.front().fraction, 1) << "a doubled report";
    EXPECT_TRUE(grantAfter(1, 1'000'000).grants.empty()) << "a late report";
    EXPECT_EQ(grantAfter(3, 1'000'101).grants.front().fraction, 0) << "100 more than the bucket holds";
    auto const afterRestart = [&] {
        report.startedAt = 2;
        return grantAfter(1, 1);
    }();
    ASSERT_EQ(afterRestart.grants.size(), 1U);
    EXPECT_EQ(afterRestart.grants.front().counted, 1U);
}

// A runner that was cut off or paused coordinates the limit again while its process runs on. Guards against charging at once what entries
// admitted meanwhile, with which a customer below its limit was refused for seconds.
TEST(CustomerLimitHandoverTest, ACoordinatorThatReturnsDoesNotChargeWhatAnotherOneHasCounted)
{
    constexpr Duration Step = 10ms;
    constexpr std::size_t EntryCount = 5;
    CustomerId const id("calm");
    std::unordered_map<CustomerId, RequestLimit> const limits{{id, {.perSecond = 20, .burst = 20}}};
    Instant now{std::chrono::hours(1)};
    std::map<InstanceId, LimitCoordinator> runners;
    for (auto const *const name : {"a", "b"}) {
        auto &runner = runners.emplace(InstanceId(name), LimitCoordinator({.self = InstanceId(name)}, now)).first->second;
        runner.setLimits(limits, now);
    }
    InstanceId coordinator("a");
    std::vector<std::unique_ptr<FractionLimiter>> entries;
    for (std::size_t index = 0; index < EntryCount; ++index) {
        FractionLimiterOptions options{.self = InstanceId("entry-" + std::to_string(index)), .startedAt = 1};
        options.coordinatorOf = [&](CustomerId const &) { return std::optional(coordinator); };
        entries.push_back(std::make_unique<FractionLimiter>(options));
        entries.back()->setKnownEntries(EntryCount);
        entries.back()->setLimits(limits, now);
    }
    std::size_t steps = 0;
    std::size_t refused = 0;
    auto const run = [&](InstanceId const &runner, Duration duration) {
        coordinator = runner;
        for (auto const &entry : entries)
            entry->refreshCoordinators();
        refused = 0;
        for (auto const until = now + duration; now < until; now += Step) {
            // 12.5 requests a second, at one entry after the other.
            if (++steps % 8 == 0)
                refused += entries[steps / 8 % EntryCount]->tryAdmit(id, now) ? 1 : 0;
            for (auto const &entry : entries) {
                for (auto const &[to, report] : entry->takeReports(now))
                    entry->onReply(runners.at(to).onReport(report, now), now);
            }
        }
    };
    run(InstanceId("a"), 2s);
    run(InstanceId("b"), 20s);
    EXPECT_EQ(refused, 0U);
    run(InstanceId("a"), 20s);
    EXPECT_LE(refused, 2U) << "of 250";
}
