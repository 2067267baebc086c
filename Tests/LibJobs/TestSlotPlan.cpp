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

InstanceId const self("r2");

ServerSlots serverOf(std::string id, std::uint32_t online, std::uint32_t own, std::vector<BatchHolder> others = {})
{
    others.push_back({.runner = self, .items = own});
    return {.server = ServerId(std::move(id)), .slots = 8, .online = online, .batch = std::move(others)};
}

std::vector<SlotChange> plan(std::vector<ServerSlots> const &servers, std::size_t waiting, SlotPlanOptions const &options = {})
{
    return planSlots(self, servers, waiting, options);
}

} // namespace

TEST(SlotPlanTest, ItemsTakeFreeSlotsExceptTheReserve)
{
    std::vector<ServerSlots> const servers{serverOf("a", 3, 1, {{.runner = InstanceId("r1"), .items = 1}})};
    EXPECT_EQ(startsAt(plan(servers, 100, {.reserve = 1, .maxStarts = 10}), "a"), 2U);
    EXPECT_EQ(startsAt(plan(servers, 1, {.reserve = 1, .maxStarts = 10}), "a"), 1U);
    EXPECT_EQ(startsAt(plan(servers, 100, {.reserve = 3, .maxStarts = 10}), "a"), 0U);
}

TEST(SlotPlanTest, TheEmptiestServerComesFirst)
{
    EXPECT_EQ(startsAt(plan({serverOf("a", 5, 0), serverOf("b", 0, 0)}, 1), "b"), 1U);
}

TEST(SlotPlanTest, ALeavingServerGetsNoItems)
{
    auto server = serverOf("a", 0, 0);
    server.acceptsNew = false;
    EXPECT_TRUE(plan({server}, 5).empty());
}

TEST(SlotPlanTest, AnItemIsPreemptedForEachOnlineRequestWithoutASlot)
{
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 5, 5)}, 5, {.freedAhead = 0}), "a"), 2U);
}

TEST(SlotPlanTest, TheRunnerWithTheMostItemsPreemptsAndTheFirstByNameAmongEquals)
{
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 5, 1, {{.runner = InstanceId("r1"), .items = 3}})}, 0, {.freedAhead = 0}), "a"), 0U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 5, 3, {{.runner = InstanceId("r1"), .items = 1}})}, 0, {.freedAhead = 0}), "a"), 1U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 5, 2, {{.runner = InstanceId("r1"), .items = 2}})}, 0, {.freedAhead = 0}), "a"), 0U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 5, 2, {{.runner = InstanceId("r3"), .items = 2}})}, 0, {.freedAhead = 0}), "a"), 1U);
}

/// In a burst on a Števec day with low load (seed 54564592464), four runners with two items each at a server preempted one item each
/// for every online request, 4,657 items in total, and started them again. For any load, the runners together must preempt exactly one
/// item for each request without a slot, and one more at high load. This fails if each runner rounds its part up.
RC_GTEST_PROP(SlotPlanProperty, RunnersTogetherPreemptExactlyTheExcessItems, ())
{
    auto const slots = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto const online = *rc::gen::inRange<std::uint32_t>(0, 30);
    auto const items = *rc::gen::container<std::vector<std::uint32_t>>(4, rc::gen::inRange<std::uint32_t>(0, 9));
    ServerSlots server{.server = ServerId("a"), .slots = slots, .online = online};
    std::uint32_t all = 0;
    for (std::size_t runner = 0; runner < items.size(); ++runner) {
        server.batch.push_back({.runner = InstanceId("r" + std::to_string(runner)), .items = items[runner]});
        all += items[runner];
    }
    std::uint32_t ended = 0;
    for (std::size_t runner = 0; runner < items.size(); ++runner) {
        auto const own = preemptedAt(planSlots(server.batch[runner].runner, std::vector{server}, 0, {}), "a");
        RC_ASSERT(own <= items[runner]);
        ended += own;
    }
    // At high load one additional slot is freed.
    auto const required = online + all + (2 * online >= slots ? 1 : 0);
    auto const excess = required > slots ? required - slots : 0;
    RC_ASSERT(ended == std::min(excess, all));
}

/// For any load, a plan never uses the reserve.
RC_GTEST_PROP(SlotPlanProperty, StartsNeverUseTheReserve, ())
{
    SlotPlanOptions const options{.reserve = *rc::gen::inRange<std::uint32_t>(0, 4), .maxStarts = *rc::gen::inRange<std::uint32_t>(1, 10)};
    auto server = serverOf("a", *rc::gen::inRange<std::uint32_t>(0, 12), *rc::gen::inRange<std::uint32_t>(0, 6));
    server.slots = *rc::gen::inRange<std::uint32_t>(1, 12);
    auto const starts = startsAt(plan({server}, 1000, options), "a");
    RC_ASSERT(starts == 0 || server.online + server.batch[0].items + starts + options.reserve <= server.slots);
}

/// The online load of a pool doubles within a second while batch items occupy all other slots. If items were preempted only once online
/// requests wait, each of these requests would be delayed.
TEST(SlotPlanTest, AtHighLoadOneSlotIsFreedAhead)
{
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 3, 5)}, 0), "a"), 0U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 4, 4)}, 0), "a"), 1U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 4, 3)}, 0), "a"), 0U);
    EXPECT_EQ(preemptedAt(plan({serverOf("a", 8, 0)}, 0), "a"), 0U);
}

/// At a peak, online requests end and start all the time. An item that starts in a gap between two of them would be preempted by the
/// next one.
TEST(SlotPlanTest, AtHighLoadItemsStartOnlyWhereSeveralSlotsAreFree)
{
    EXPECT_EQ(startsAt(plan({serverOf("a", 5, 0)}, 5), "a"), 0U);
    EXPECT_EQ(startsAt(plan({serverOf("a", 4, 0)}, 5), "a"), 1U);
    // The load of the pool counts rather than that of one server.
    EXPECT_EQ(startsAt(plan({serverOf("a", 5, 0), serverOf("b", 1, 0), serverOf("c", 1, 6)}, 5), "a"), 1U);
}

/// Items of other data centres fill a pool, as in half-c on coldline-kr-grown. Guards against taking them for online requests: at high load
/// a runner starts items only where several slots are free, and preempts its own.
TEST(SlotPlanTest, ItemsOfOtherDataCentresAreNoHighLoad)
{
    auto server = serverOf("a", 0, 1);
    server.farBatch = 5;
    EXPECT_EQ(startsAt(plan({server}, 5), "a"), 1U);
    server.farBatch = 7;
    EXPECT_EQ(preemptedAt(plan({server}, 5), "a"), 0U);
    server.farBatch = 8;
    EXPECT_EQ(preemptedAt(plan({server}, 5), "a"), 1U);
}

/// A runner sees the end of its own item at once, others see it up to half a second later. Guards against a runner with more than its part
/// of the slots that fills each of its own anew, so that others get none.
TEST(SlotPlanTest, ARunnerWithItsPartLeavesFreeSlotsToOthers)
{
    auto const fullButOne = serverOf("a", 0, 6);
    EXPECT_EQ(startsAt(plan({fullButOne}, 5, {.partLeft = 0}), "a"), 0U);
    EXPECT_EQ(startsAt(plan({fullButOne}, 5, {.partLeft = 1}), "a"), 1U);
    EXPECT_EQ(startsAt(plan({serverOf("a", 0, 5)}, 5, {.partLeft = 0}), "a"), 0U);
    EXPECT_EQ(startsAt(plan({serverOf("a", 0, 4)}, 5, {.partLeft = 0}), "a"), 1U);
    // The starts of a round count as well.
    auto const both = plan({fullButOne, serverOf("b", 0, 6)}, 5, {.partLeft = 1});
    EXPECT_EQ(startsAt(both, "a") + startsAt(both, "b"), 1U);
}
