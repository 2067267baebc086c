#include "LibRouting/ArrivalSpread.h"

#include "LibCore/Random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <gtest/gtest.h>
#include <iostream>
#include <limits>
#include <numeric>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Routing;

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();

/// Share of requests that wait longer than 250 ms for a slot. 33 engines with 7 slots receive requests of 50 entries, which run for
/// 730 ms and arrive with the steps of the large deployment. All entries choose by the load of 70 ms ago at the most.
template<typename Choose>
double lateShare(Choose const &choose)
{
    constexpr std::size_t Servers = 33;
    constexpr std::size_t Slots = 7;
    constexpr double Run = 0.73;
    constexpr double ReportInterval = 0.07;
    RandomSource random(20261204);
    std::vector<std::vector<double>> ends(Servers);
    std::array<double, Servers> reported{};
    double nextReport = 0;
    int requests = 0;
    int late = 0;
    for (double now = 0; now < 29;) {
        bool const isPeak = std::fmod(now, 5.8) >= 3.4;
        std::exponential_distribution<double> gap(152.0 * (isPeak ? 1.87 : 0.383));
        now += gap(random);
        if (now >= nextReport) {
            nextReport = now + ReportInterval;
            for (std::size_t server = 0; server < Servers; ++server) {
                std::erase_if(ends[server], [&](double end) { return end <= now; });
                reported[server] = static_cast<double>(ends[server].size());
            }
        }
        auto const inFlight = std::accumulate(reported.begin(), reported.end(), 0.0);
        auto &server = ends[choose(reported, inFlight / Run * ReportInterval / 2, random)];
        std::erase_if(server, [&](double end) { return end <= now; });
        std::sort(server.begin(), server.end());
        auto const start = server.size() < Slots ? now : server[server.size() - Slots];
        server.push_back(start + Run);
        ++requests;
        late += start - now > 0.25 ? 1 : 0;
    }
    return static_cast<double>(late) / requests;
}

} // namespace

TEST(ArrivalSpreadTest, WithoutUnreportedArrivalsTheServerWithTheLeastCostIsChosen)
{
    std::array const costs{3.0, 1.5, 1.6, Infinite};
    for (auto const draw : {0.0, 0.5, 0.999})
        EXPECT_EQ(chooseBySpread(costs, 0, draw), 1U);
}

TEST(ArrivalSpreadTest, WithoutEligibleServerNoneIsChosen)
{
    std::array const costs{Infinite, Infinite};
    EXPECT_FALSE(chooseBySpread(costs, 5, 0.5));
    EXPECT_FALSE(chooseBySpread({}, 5, 0.5));
}

/// Six arrivals fill servers with loads of 1 and 3 up to a load of 5, and leave the one with a load of 6 alone.
TEST(ArrivalSpreadTest, ArrivalsFillTheServersWithTheLeastLoadToTheSameLevel)
{
    std::array const costs{1.0, 3.0, 6.0};
    std::array<int, 3> chosen{};
    constexpr int Draws = 6000;
    for (int draw = 0; draw < Draws; ++draw)
        ++chosen[*chooseBySpread(costs, 6, static_cast<double>(draw) / Draws)];
    EXPECT_NEAR(chosen[0], Draws * 4 / 6, 1);
    EXPECT_NEAR(chosen[1], Draws * 2 / 6, 1);
    EXPECT_EQ(chosen[2], 0);
}

RC_GTEST_PROP(ArrivalSpreadProperty, TheChosenServerIsEligibleAndNeverFullerThanTheLevel, ())
{
    auto const loads = *rc::gen::nonEmpty(rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U)));
    auto const arrivals = *rc::gen::inRange(0, 50);
    auto const draw = *rc::gen::inRange(0, 1000) / 1000.0;
    std::vector<double> costs;
    for (auto const load : loads)
        costs.push_back(load == 19 ? Infinite : load);
    auto const chosen = chooseBySpread(costs, arrivals, draw);
    auto const least = *std::min_element(costs.begin(), costs.end());
    RC_ASSERT(chosen.has_value() == (least != Infinite));
    RC_ASSERT(!chosen || costs[*chosen] <= least + arrivals);
}

/// The load of a large fleet is known tens of milliseconds late, and its peaks take all slots. Guards against all entries sending to the
/// one server that had the least load.
TEST(ArrivalSpreadReplay, SpreadingServesMoreInTimeThanTheLeastLoadAtPeaks)
{
    auto const byLeastLoad = lateShare([](auto const &loads, double, RandomSource &) {
        return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end()) - loads.begin());
    });
    auto const bySpread = lateShare([](auto const &loads, double arrivals, RandomSource &random) {
        return *chooseBySpread(loads, arrivals, std::uniform_real_distribution<double>(0, 1)(random));
    });
    EXPECT_LT(bySpread, byLeastLoad / 2) << byLeastLoad;
    RecordProperty("late_by_spread", std::to_string(bySpread));
    RecordProperty("late_by_least_load", std::to_string(byLeastLoad));
    std::cout << "late by least load " << byLeastLoad << ", by spread " << bySpread << '\n';
}

/// At a server where each request adds twice as much cost, half as many requests fit below the level.
TEST(ArrivalSpreadTest, ServersWithLargerStepsGetFewerRequests)
{
    std::vector<double> const costs{0, 0};
    std::vector<double> const steps{1, 2};
    constexpr int Draws = 3000;
    int chosenFirst = 0;
    for (int draw = 0; draw < Draws; ++draw) {
        auto const choice = chooseBySpread(costs, steps, 6, static_cast<double>(draw) / Draws);
        ASSERT_TRUE(choice);
        EXPECT_DOUBLE_EQ(choice->level, 4);
        chosenFirst += choice->index == 0 ? 1 : 0;
    }
    EXPECT_NEAR(chosenFirst, Draws * 2 / 3, 1);
}
