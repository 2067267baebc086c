#include "LibHttp/MemoryBudget.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Http;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

namespace {

constexpr Instant Start(1h);

MemoryHolderId addHolder(MemoryBudget &budget, MemoryPhase phase, std::size_t bytes, Instant at = Start)
{
    auto const id = budget.add(at);
    budget.update(id, phase, bytes, at);
    return id;
}

/// Returns the connections to end. Expects that nothing else is to be released.
std::vector<MemoryHolderId> connectionsToRelease(MemoryBudget const &budget, Instant now)
{
    std::vector<MemoryHolderId> ids;
    for (auto const &[id, part] : budget.releases(now)) {
        EXPECT_EQ(part, MemoryRelease::Part::Connection);
        ids.push_back(id);
    }
    return ids;
}

} // namespace

TEST(MemoryBudget, NothingIsReleasedWithinTheBudget)
{
    MemoryBudget budget(1000);
    addHolder(budget, MemoryPhase::Reading, 600);
    addHolder(budget, MemoryPhase::Writing, 400);
    EXPECT_THAT(connectionsToRelease(budget, Start + 10s), IsEmpty());
}

/// Guards against ending the largest request although it goes on well, while others hold their memory and stall.
TEST(MemoryBudget, StalledHoldersAreReleasedBeforeLargerOnesThatGoOn)
{
    MemoryBudget budget(1000);
    auto const uploading = addHolder(budget, MemoryPhase::Reading, 700);
    auto const stalled = addHolder(budget, MemoryPhase::Reading, 400);
    budget.onMoved(uploading, MemoryBudget::MinProgressBytes, Start + 1s);
    EXPECT_THAT(connectionsToRelease(budget, Start + 1s), ElementsAre(stalled));
}

/// Guards against taking a caller that sends a byte now and then for one that goes on.
TEST(MemoryBudget, ADripIsNoProgress)
{
    MemoryBudget budget(1000);
    auto const dripping = addHolder(budget, MemoryPhase::Writing, 500);
    auto const reading = addHolder(budget, MemoryPhase::Reading, 600);
    for (int count = 1; count <= 20; ++count)
        budget.onMoved(dripping, 1, Start + count * 100ms);
    budget.onMoved(reading, MemoryBudget::MinProgressBytes, Start + 2s);
    EXPECT_THAT(connectionsToRelease(budget, Start + 2s), ElementsAre(dripping));
}

/// Guards against ending a request that runs, or its response that is on its way to the handler, before callers that hold memory.
TEST(MemoryBudget, RequestsThatRunAreReleasedLast)
{
    MemoryBudget budget(1000);
    auto const running = addHolder(budget, MemoryPhase::Handling, 900, Start - 5s);
    auto const reading = addHolder(budget, MemoryPhase::Reading, 200);
    EXPECT_THAT(connectionsToRelease(budget, Start), ElementsAre(reading));
    budget.update(running, MemoryPhase::Handling, 1100, Start);
    EXPECT_THAT(connectionsToRelease(budget, Start), ElementsAre(reading, running));
}

/// Servers send responses without end. Guards against ending the connections of callers for what the handlers of some requests keep.
TEST(MemoryBudget, KeptResponsesAreDroppedBeforeCallersThatGoOnAreEnded)
{
    MemoryBudget budget(1000);
    auto const stalled = addHolder(budget, MemoryPhase::Writing, 100, Start - 5s);
    addHolder(budget, MemoryPhase::Reading, 200);
    auto const small = budget.add(Start);
    budget.update(small, MemoryPhase::Handling, 150, Start, 100);
    auto const large = budget.add(Start);
    budget.update(large, MemoryPhase::Handling, 650, Start, 600);
    EXPECT_THAT(budget.releases(Start),
                ElementsAre(MemoryRelease{.id = stalled}, MemoryRelease{.id = large, .part = MemoryRelease::Part::KeptResponse}));
    budget.update(large, MemoryPhase::Handling, 50, Start);
    EXPECT_THAT(budget.releases(Start), IsEmpty());
}

/// Guards against refusing requests because of responses that would be dropped in their favour.
TEST(MemoryBudget, KeptResponsesDoNotCountAgainstNewRequests)
{
    MemoryBudget budget(1000);
    auto const running = budget.add(Start);
    budget.update(running, MemoryPhase::Handling, 900, Start, 800);
    EXPECT_TRUE(budget.admits(900));
    EXPECT_FALSE(budget.admits(901));
    budget.update(running, MemoryPhase::Writing, 0, Start);
    EXPECT_TRUE(budget.admits(2000));
}

/// Guards against refusing a large request that is alone, and against handing over more than fits.
TEST(MemoryBudget, RequestsAreAdmittedWhileTheHandledOnesFit)
{
    MemoryBudget budget(1000);
    EXPECT_TRUE(budget.admits(2000));
    auto const running = addHolder(budget, MemoryPhase::Handling, 700);
    addHolder(budget, MemoryPhase::Reading, 300);
    EXPECT_TRUE(budget.admits(300));
    EXPECT_FALSE(budget.admits(301));
    budget.remove(running);
    EXPECT_TRUE(budget.admits(2000));
}

/// Guards against a crowd that keeps new connections out, and against ending those that go on, run, or have just become idle.
TEST(MemoryBudget, ANewConnectionReplacesTheOneStalledLongest)
{
    MemoryBudget budget(1000);
    addHolder(budget, MemoryPhase::Handling, 1, Start - 60s);
    auto const idle = addHolder(budget, MemoryPhase::Idle, 1, Start - 4s);
    EXPECT_EQ(budget.holderToReplace(Start - 2s), std::nullopt);
    EXPECT_EQ(budget.holderToReplace(Start), idle);
    auto const stalled = addHolder(budget, MemoryPhase::Reading, 1, Start - 2s);
    EXPECT_EQ(budget.holderToReplace(Start), stalled);
    budget.onMoved(stalled, MemoryBudget::MinProgressBytes, Start - 100ms);
    EXPECT_EQ(budget.holderToReplace(Start), idle);
}

/// The rest must fit after the release, in any mixture, and the counts must stay exact.
RC_GTEST_PROP(MemoryBudgetProperty, TheRestFits, ())
{
    MemoryBudget budget(10'000);
    std::map<MemoryHolderId, std::size_t> bytes;
    auto const count = *rc::gen::inRange(0, 40);
    for (int number = 0; number < count; ++number) {
        auto const size = *rc::gen::inRange<std::size_t>(0, 3000);
        auto const phase = *rc::gen::element(MemoryPhase::Idle, MemoryPhase::Reading, MemoryPhase::Handling, MemoryPhase::Writing);
        bytes[addHolder(budget, phase, size, Start + *rc::gen::inRange(0, 1000) * 1ms)] = size;
    }
    for (auto const id : connectionsToRelease(budget, Start + 1s)) {
        budget.remove(id);
        bytes.erase(id);
    }
    std::size_t sum = 0;
    for (auto const &[id, size] : bytes)
        sum += size;
    RC_ASSERT(budget.heldBytes() == sum);
    RC_ASSERT(!budget.isExceeded());
}
