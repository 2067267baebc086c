#include "LibJobs/JobWaitDetector.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
JobId const job("j");

std::vector<JobWaitDetector::Progress> progressOf(bool isWaiting, std::uint64_t starts)
{
    return {{.job = job, .isWaiting = isWaiting, .starts = starts}};
}

} // namespace

/// Items of a job waited for 43 s without a line that says why. Guards against that, and against a line in every tick.
TEST(JobWaitDetectorTest, AJobWhoseItemsWaitIsReportedABoundedNumberOfTimes)
{
    JobWaitDetector detector({.reportAfter = 5s, .repeatInterval = 10s, .maxReports = 3});
    std::vector<Duration> reports;
    for (auto elapsed = Duration::zero(); elapsed < 600s; elapsed += 1s) {
        for (auto const &wait : detector.onTick(progressOf(true, 2), Start + elapsed))
            reports.push_back(wait.lasting);
    }
    EXPECT_EQ(reports, (std::vector<Duration>{5s, 15s, 35s}));
}

/// Guards against reports of a job whose items start one after the other, or that waits for the results of running ones.
TEST(JobWaitDetectorTest, AStartOrTheEndOfTheWaitBeginsAnew)
{
    JobWaitDetector detector({.reportAfter = 5s, .repeatInterval = 10s, .maxReports = 1});
    EXPECT_TRUE(detector.onTick(progressOf(true, 0), Start).empty());
    EXPECT_TRUE(detector.onTick(progressOf(true, 1), Start + 4s).empty());
    EXPECT_TRUE(detector.onTick(progressOf(true, 1), Start + 8s).empty());
    EXPECT_TRUE(detector.onTick(progressOf(false, 1), Start + 9s).empty());
    EXPECT_TRUE(detector.onTick(progressOf(true, 1), Start + 13s).empty());
    auto const waits = detector.onTick(progressOf(true, 1), Start + 14s);
    ASSERT_EQ(waits.size(), 1U);
    EXPECT_EQ(waits[0].job, job);
    EXPECT_EQ(waits[0].lasting, Duration(5s));
    // A later wait of the same job counts as well.
    EXPECT_TRUE(detector.onTick(progressOf(true, 2), Start + 20s).empty());
    EXPECT_TRUE(detector.onTick(progressOf(true, 2), Start + 30s).empty());
    // Its state is dropped with the job.
    EXPECT_TRUE(detector.onTick({}, Start + 31s).empty());
    EXPECT_TRUE(detector.onTick(progressOf(true, 2), Start + 32s).empty());
    EXPECT_EQ(detector.onTick(progressOf(true, 2), Start + 37s).size(), 1U);
}
