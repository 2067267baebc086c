#include "LibJobs/StallDetector.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
PoolName const pool("p");

} // namespace

/// Guards against items that wait for ever without a line, and against a line in every tick.
TEST(StallDetectorTest, WaitingItemsWithoutAStartAreReportedAtIntervals)
{
    StallDetector detector({.stalledAfter = 5s, .repeatInterval = 10s});
    std::map<PoolName, std::size_t> const waiting{{pool, 3}};
    EXPECT_TRUE(detector.onTick(waiting, Start).empty());
    EXPECT_TRUE(detector.onTick(waiting, Start + 4999ms).empty());
    auto const stalls = detector.onTick(waiting, Start + 5s);
    ASSERT_EQ(stalls.size(), 1U);
    EXPECT_EQ(stalls[0].pool, pool);
    EXPECT_EQ(stalls[0].waiting, 3U);
    EXPECT_EQ(stalls[0].lasting, Duration(5s));
    EXPECT_TRUE(detector.onTick(waiting, Start + 14s).empty());
    EXPECT_EQ(detector.onTick(waiting, Start + 15s).size(), 1U);
    EXPECT_EQ(detector.longest(Start + 15s), Duration(15s));
}

/// Guards against reporting a backlog that is being worked off, and one that ended meanwhile.
TEST(StallDetectorTest, AStartOrTheEndOfTheBacklogEndsAStall)
{
    StallDetector detector({.stalledAfter = 5s, .repeatInterval = 10s});
    std::map<PoolName, std::size_t> const waiting{{pool, 3}};
    EXPECT_TRUE(detector.onTick(waiting, Start).empty());
    detector.onStarted(pool, Start + 4s);
    EXPECT_TRUE(detector.onTick(waiting, Start + 8s).empty());
    EXPECT_EQ(detector.longest(Start + 8s), Duration(4s));
    EXPECT_TRUE(detector.onTick({}, Start + 8500ms).empty());
    EXPECT_EQ(detector.longest(Start + 8500ms), Duration(0));
    EXPECT_TRUE(detector.onTick(waiting, Start + 10s).empty());
}
