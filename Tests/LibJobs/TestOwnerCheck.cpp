#include "LibJobs/OwnerCheck.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
JobId const job("j");
InstanceId const owner("r1");

/// Answers each check of an owner in the same way and returns the time after which the job is taken.
std::optional<Duration> takenAfter(OwnerAnswer answer)
{
    OwnerCheck checks({});
    checks.setOwner(job, owner, Start);
    for (Duration elapsed = 0s; elapsed < 120s; elapsed += 50ms) {
        for (auto const &check : checks.takeDue(Start + elapsed))
            checks.onAnswer(check, answer, Start + elapsed);
        if (checks.isTaken(job))
            return elapsed;
    }
    return std::nullopt;
}

} // namespace

/// All views name an owner that has no process, or that does not consider itself the owner, as on coldline-kr-grown inc1. Guards against
/// jobs whose items no runner sends.
TEST(OwnerCheckTest, AJobThatItsOwnerDoesNotHoldIsTaken)
{
    EXPECT_EQ(takenAfter(OwnerAnswer::NotHeld), Duration(9s));
    EXPECT_EQ(takenAfter(OwnerAnswer::None), Duration(35s));
    EXPECT_EQ(takenAfter(OwnerAnswer::Holds), std::nullopt);
    EXPECT_EQ(takenAfter(OwnerAnswer::Done), std::nullopt);
}

/// Some calls get lost and others meet an owner that is still reading the job. Guards against a second runner for a job that has one.
TEST(OwnerCheckTest, FailuresCountOnlyInARow)
{
    OwnerCheck checks({});
    checks.setOwner(job, owner, Start);
    std::vector const answers{OwnerAnswer::NotHeld, OwnerAnswer::NotHeld, OwnerAnswer::Holds, OwnerAnswer::None};
    std::size_t asked = 0;
    for (Duration elapsed = 0s; elapsed < 300s; elapsed += 50ms) {
        for (auto const &check : checks.takeDue(Start + elapsed))
            checks.onAnswer(check, answers[asked++ % answers.size()], Start + elapsed);
        ASSERT_FALSE(checks.isTaken(job)) << elapsed / 1ms << " ms";
    }
    EXPECT_GT(asked, answers.size());
}

TEST(OwnerCheckTest, ATakenJobIsGivenBackToAnOwnerThatHoldsIt)
{
    OwnerCheck checks({.refusalsToTake = 1});
    checks.setOwner(job, owner, Start);
    auto const first = checks.takeDue(Start + 5s);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(checks.takeDue(Start + 60s).empty()) << "one call at a time";
    checks.onAnswer(first.front(), OwnerAnswer::NotHeld, Start + 5s);
    EXPECT_TRUE(checks.isTaken(job));
    auto const second = checks.takeDue(Start + 15s);
    ASSERT_EQ(second.size(), 1U);
    checks.onAnswer(second.front(), OwnerAnswer::Holds, Start + 15s);
    EXPECT_FALSE(checks.isTaken(job));
}

/// The owner changes while a call to the earlier one runs. Guards against an answer that counts for the new owner.
TEST(OwnerCheckTest, AnAnswerOfAnEarlierOwnerDoesNotCount)
{
    OwnerCheck checks({.refusalsToTake = 1});
    checks.setOwner(job, owner, Start);
    auto const asked = checks.takeDue(Start + 5s);
    ASSERT_EQ(asked.size(), 1U);
    checks.setOwner(job, InstanceId("r2"), Start + 5s);
    checks.onAnswer(asked.front(), OwnerAnswer::NotHeld, Start + 5s);
    EXPECT_FALSE(checks.isTaken(job));
    EXPECT_TRUE(checks.takeDue(Start + 9s).empty());
    EXPECT_EQ(checks.takeDue(Start + 10s).size(), 1U);
    checks.setOwner(job, std::nullopt, Start + 10s);
    EXPECT_TRUE(checks.takeDue(Start + 60s).empty());
}

/// A runner that starts lists hundreds of jobs, most of them done. Guards against a burst of calls to the other runners, and against
/// repeated ones about jobs that are done.
TEST(OwnerCheckTest, ChecksOfManyJobsAreSpread)
{
    OwnerCheck checks({.maxDue = 2});
    for (int number = 0; number < 100; ++number)
        checks.setOwner(JobId(std::to_string(number)), owner, Start);
    std::size_t asked = 0;
    for (Duration elapsed = 0s; elapsed < 60s; elapsed += 50ms) {
        auto const due = checks.takeDue(Start + elapsed);
        EXPECT_LE(due.size(), 2U);
        asked += due.size();
        for (auto const &check : due)
            checks.onAnswer(check, OwnerAnswer::Done, Start + elapsed);
    }
    EXPECT_EQ(asked, 100U);
    for (int number = 0; number < 100; ++number)
        checks.setOwner(JobId(std::to_string(number)), InstanceId("r2"), Start + 60s);
    EXPECT_TRUE(checks.takeDue(Start + 120s).empty()) << "another owner";
}
