#include "Tests/LibRouting/LimitSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
