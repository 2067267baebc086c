#include "OverloadReplay.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

/// Customers with fewer callers are left out, as one of them is too large a share.
constexpr std::size_t MinCallers = 50;

double lowestShare(ReplayResult const &result)
{
    double lowest = 1;
    for (auto const &customer : result.byCustomer) {
        if (customer.callers >= MinCallers)
            lowest = std::min(lowest, customer.shareOnTime());
    }
    return lowest;
}

ReplayCount othersThanFlooding(ReplayResult const &result)
{
    ReplayCount others;
    for (std::size_t customer = 0; customer < result.byCustomer.size(); ++customer) {
        if (customer != OverloadReplay::Flooding)
            others += result.byCustomer[customer];
    }
    return others;
}

void print(std::string const &decision, ReplayResult const &result)
{
    std::cout << decision << ": on time " << result.all.shareOnTime() << " value " << result.all.value() << " late " << result.all.late
              << " of " << result.all.callers << " by urgency";
    for (auto const &urgency : result.byUrgency)
        std::cout << ' ' << urgency.shareOnTime() << " (value " << urgency.value() << ')';
    std::cout << " lowest customer " << lowestShare(result) << " others than one " << othersThanFlooding(result).shareOnTime() << " value "
              << othersThanFlooding(result).value() << " that one " << result.byCustomer[OverloadReplay::Flooding].shareOnTime()
              << " largest " << result.largest.shareOnTime() << " items " << result.itemsDone << " cut " << result.itemsCut << '\n';
}

struct Comparison {
    ReplayResult old;
    ReplayResult fair;
};

/// Replays the load with both decisions and checks the bounds that hold for every load.
Comparison compare(ReplayLoad const &load)
{
    Comparison const results{.old = OverloadReplay(load, OverloadReplay::Decision::ByLoad).run(),
                             .fair = OverloadReplay(load, OverloadReplay::Decision::Fair).run()};
    std::cout << load.name << '\n';
    print("  today", results.old);
    print("  fair ", results.fair);
    EXPECT_EQ(results.old.all.callers, results.fair.all.callers);
    auto const all = results.fair.all.shareOnTime();
    EXPECT_GE(lowestShare(results.fair), all / 4);
    EXPECT_GE(results.fair.largest.shareOnTime(), all / 4);
    EXPECT_GE(results.fair.byUrgency[0].shareOnTime(), results.old.byUrgency[0].shareOnTime());
    EXPECT_GE(results.fair.all.value(), results.old.all.value());
    return results;
}

/// Guards against urgent requests that gain less than those refused in their favour.
void expectValueByUrgency(ReplayResult const &result)
{
    EXPECT_GE(result.byUrgency[0].value(), result.byUrgency[1].value());
    EXPECT_GE(result.byUrgency[1].value(), result.byUrgency[2].value());
}

bool isBetween(Duration at, Duration from, Duration until)
{
    return at >= from && at < until;
}

} // namespace

TEST(OverloadReplayTest, OneCustomerSendsSevenAndAHalfTimesItsUsual)
{
    auto const [old, fair] = compare({.name = "one customer at 7.5 times its usual for 7 s", .mean = 0.85, .floodFactor = [](Duration at) {
                                          return isBetween(at, 6s, 13s) ? 7.5 : 1;
                                      }});
    EXPECT_GE(othersThanFlooding(fair).shareOnTime(), othersThanFlooding(old).shareOnTime());
}

TEST(OverloadReplayTest, LoadInStepsUpToNearlyTwiceTheMean)
{
    auto const [old, fair] = compare({.name = "steps between 0.38 and 1.87 of the mean each 3.4 s", .mean = 0.7, .factor = [](Duration at) {
                                          return at % 6800ms < 3400ms ? 0.38 : 1.87;
                                      }});
    expectValueByUrgency(fair);
}

TEST(OverloadReplayTest, HalfOfTheServersAreLost)
{
    auto const [old, fair] = compare(
        {.name = "half of the servers lost for 5 s", .mean = 0.65, .lost = [](Duration at) { return isBetween(at, 6s, 11s) ? 0.5 : 0; }});
    expectValueByUrgency(fair);
}

/// Items must neither gain nor lose by the decision on online requests while these find capacity.
TEST(OverloadReplayTest, ABurstOfBatchJobs)
{
    auto const [old, fair] = compare({.name = "4,000 items of batch jobs at once",
                                      .mean = 0.7,
                                      .factor = [](Duration at) { return at % 6800ms < 3400ms ? 0.6 : 1.4; },
                                      .batchItems = 4'000});
    EXPECT_GE(fair.itemsDone * 100, old.itemsDone * 99);
}

/// Items come after online requests: when more of these are served, fewer slots are left. An item is worth 7.
TEST(OverloadReplayTest, ABurstOfBatchJobsWhileCapacityIsShort)
{
    auto const [old, fair] = compare({.name = "4,000 items of batch jobs at once, load up to 1.2 of the capacity",
                                      .mean = 0.85,
                                      .factor = [](Duration at) { return at % 6800ms < 3400ms ? 0.6 : 1.4; },
                                      .batchItems = 4'000});
    auto const value = [](ReplayResult const &result) {
        return result.all.value() * static_cast<double>(result.all.callers) + 7 * static_cast<double>(result.itemsDone);
    };
    EXPECT_GE(value(fair), value(old));
}

/// Runs as long as in the deployment with customers: a single waiting request is most of the allowed wait, and an entry has some ten
/// requests a second to judge by.
TEST(OverloadReplayTest, OneCustomerSendsSevenAndAHalfTimesItsUsualWithLongRuns)
{
    auto const [old, fair] = compare({.name = "one customer at 7.5 times its usual for 7 s, runs of 1.5 s",
                                      .mean = 0.85,
                                      .meanRun = 1500ms,
                                      .floodFactor = [](Duration at) { return isBetween(at, 6s, 13s) ? 7.5 : 1; }});
    EXPECT_GE(othersThanFlooding(fair).shareOnTime(), othersThanFlooding(old).shareOnTime());
}

TEST(OverloadReplayTest, LoadInStepsWithLongRuns)
{
    auto const [old, fair] = compare({.name = "steps between 0.38 and 1.87 of the mean each 3.4 s, runs of 1.5 s",
                                      .mean = 0.7,
                                      .meanRun = 1500ms,
                                      .factor = [](Duration at) { return at % 6800ms < 3400ms ? 0.38 : 1.87; }});
    expectValueByUrgency(fair);
}

TEST(OverloadReplayTest, HalfOfTheServersAreLostWithLongRuns)
{
    compare({.name = "half of the servers lost for 5 s, runs of 1.5 s", .mean = 0.65, .meanRun = 1500ms, .lost = [](Duration at) {
                 return isBetween(at, 6s, 11s) ? 0.5 : 0;
             }});
}
