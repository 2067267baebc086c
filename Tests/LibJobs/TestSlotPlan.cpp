#include "LibJobs/SlotPlan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

std::uint32_t startsAt(std::vector<SlotChange> const &changes, std::string const &server)
{
    std::uint32_t count = 0;
    for (auto const &change : changes)
        count += change.server == ServerId(server) ? change.start : 0;
    return count;
}

std::uint32_t preemptedAt(std::vector<SlotChange> const &changes, std::string const &server)
{
    std::uint32_t count = 0;
    for (auto const &change : changes)
        count += change.server == ServerId(server) ? change.preempt : 0;
    return count;
}

} // namespace

TEST(SlotPlanTest, ItemsTakeWhatOnlineRequestsLeaveButForTheReserve)
{
    std::vector<ServerSlots> const servers{{.server = ServerId("a"), .slots = 8, .online = 3, .ownBatch = 1, .othersBatch = 1}};
    EXPECT_EQ(startsAt(planSlots(servers, 100, {.reserve = 1, .startsMost = 10}), "a"), 2U);
    EXPECT_EQ(startsAt(planSlots(servers, 1, {.reserve = 1, .startsMost = 10}), "a"), 1U);
    EXPECT_EQ(startsAt(planSlots(servers, 100, {.reserve = 3, .startsMost = 10}), "a"), 0U);
}

TEST(SlotPlanTest, TheEmptiestServerComesFirst)
{
    std::vector<ServerSlots> const servers{{.server = ServerId("a"), .slots = 8, .online = 5}, {.server = ServerId("b"), .slots = 8}};
    EXPECT_EQ(startsAt(planSlots(servers, 1, {}), "b"), 1U);
}

TEST(SlotPlanTest, ALeavingServerGetsNoItems)
{
    std::vector<ServerSlots> const servers{{.server = ServerId("a"), .slots = 8, .takesNew = false}};
    EXPECT_TRUE(planSlots(servers, 5, {}).empty());
}

TEST(SlotPlanTest, AnItemIsEndedForEachOnlineRequestWithoutASlot)
{
    std::vector<ServerSlots> const servers{{.server = ServerId("a"), .slots = 8, .online = 5, .ownBatch = 5}};
    EXPECT_EQ(preemptedAt(planSlots(servers, 5, {}), "a"), 2U);
}

TEST(SlotPlanTest, RunnersShareWhatHasToBeEnded)
{
    ServerSlots own{.server = ServerId("a"), .slots = 8, .online = 6, .ownBatch = 2, .othersBatch = 4};
    EXPECT_EQ(preemptedAt(planSlots(std::vector{own}, 0, {}), "a"), 2U);
    own.online = 2;
    EXPECT_EQ(preemptedAt(planSlots(std::vector{own}, 0, {}), "a"), 0U);
}

/// Whatever the load: online requests find room once all runners did what the plan says, and no runner ends more than its items.
/// Red when preemption is rounded down.
RC_GTEST_PROP(SlotPlanProperty, OnlineRequestsFindRoomOnceItemsAreEnded, ())
{
    auto const slots = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto const online = *rc::gen::inRange<std::uint32_t>(0, 30);
    auto const batch = *rc::gen::container<std::vector<std::uint32_t>>(4, rc::gen::inRange<std::uint32_t>(0, 9));
    std::uint32_t const all = batch[0] + batch[1] + batch[2] + batch[3];
    std::uint32_t left = 0;
    for (auto const own : batch) {
        ServerSlots const server{.server = ServerId("a"), .slots = slots, .online = online, .ownBatch = own, .othersBatch = all - own};
        auto const preempted = preemptedAt(planSlots(std::vector{server}, 0, {}), "a");
        RC_ASSERT(preempted <= own);
        left += own - preempted;
    }
    RC_ASSERT(left == 0 || online + left <= slots);
}

/// Whatever the load, a plan never fills the reserve.
RC_GTEST_PROP(SlotPlanProperty, StartsLeaveTheReserve, ())
{
    SlotPlanOptions const options{.reserve = *rc::gen::inRange<std::uint32_t>(0, 4), .startsMost = *rc::gen::inRange<std::uint32_t>(1, 10)};
    ServerSlots const server{.server = ServerId("a"),
                             .slots = *rc::gen::inRange<std::uint32_t>(1, 12),
                             .online = *rc::gen::inRange<std::uint32_t>(0, 12),
                             .ownBatch = *rc::gen::inRange<std::uint32_t>(0, 6),
                             .othersBatch = *rc::gen::inRange<std::uint32_t>(0, 6)};
    auto const starts = startsAt(planSlots(std::vector{server}, 1000, options), "a");
    RC_ASSERT(starts == 0 || server.online + server.ownBatch + server.othersBatch + starts + options.reserve <= server.slots);
}
