#include "LibServing/OnlinePlacement.h"
#include "LibServing/ServerPace.h"
#include "Tests/LibServing/UnevenServersReplay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;
using Testing::replayUnevenServers;
using Testing::UnevenServersOptions;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

ServerRecord recordOf(std::string id, std::string pool = "p")
{
    return {.id = ServerId(id),
            .pool = PoolName(std::move(pool)),
            .address = Address("127.0.0.1:1"),
            .dataCentre = DataCentreId("dc"),
            .slots = 8};
}

class PacedPlacementTest : public ::testing::Test
{
protected:
    PacedPlacementTest()
    {
        placement_.setServers({{.record = recordOf("a")}, {.record = recordOf("b")}, {.record = recordOf("c")}}, {});
    }

    Placement place(Instant now, Duration loadAge = 0ms)
    {
        return placement_.place(
            {.pool = PoolName("p"), .latencyTarget = 300ms, .loadAge = {.near = loadAge, .far = loadAge}}, own_, peers_, now, random_);
    }

    /// Share of choices that fall on server "a" while all servers have the same load.
    double shareOfA(Instant now)
    {
        constexpr int Choices = 500;
        int chosen = 0;
        for (int choice = 0; choice < Choices; ++choice)
            chosen += place(now, 100ms).server.id == ServerId("a") ? 1 : 0;
        return static_cast<double>(chosen) / Choices;
    }

    void setOthers(std::uint32_t onlineAtEach)
    {
        PeerReport report{.sender = InstanceId("peer"), .startedAt = 1, .number = ++reports_};
        for (auto const *id : {"a", "b", "c"})
            report.inFlight[ServerId(id)].online = onlineAtEach;
        peers_.onReport(report, Start);
    }

    RandomSource random_{1};
    LoadTracker own_;
    PeerTable peers_{{.self = InstanceId("self")}};
    OnlinePlacement placement_{{.instance = InstanceId("self"), .dataCentre = DataCentreId("dc")}};
    std::uint64_t reports_ = 0;
};

} // namespace

TEST(ServerPaceTest, AStatementCountsFullyAtFirstAndTendsTowardsTheMean)
{
    ServerPace pace;
    pace.onStated(1, 1, Start);
    pace.onStated(2.5, 1, Start + 1s);
    EXPECT_DOUBLE_EQ(pace.slowness(Start + 1s), 2.5);
    auto const later = pace.slowness(Start + 1500ms);
    EXPECT_GT(later, 1.4);
    EXPECT_LT(later, 2);
    EXPECT_LT(pace.slowness(Start + 10s), 1.2);
}

/// Guards against relying on statements alone: a server may state how slow it is compared to its own usual speed.
TEST(ServerPaceTest, ObservationsShowDifferencesThatAreNotStated)
{
    ServerPace pace;
    for (int response = 0; response < 30; ++response) {
        auto const now = Start + response * 5s;
        pace.onStated(1, 1, now);
        pace.onEventTime(1.8, 600ms, now + 600ms);
    }
    EXPECT_NEAR(pace.slowness(Start + 1h), 1.8, 0.1);
}

/// Guards against counting the same slowdown twice, as stated and as observed.
TEST(ServerPaceTest, ObservationsThatStatementsExplainChangeNothing)
{
    ServerPace pace;
    for (int response = 0; response < 30; ++response) {
        auto const now = Start + response * 5s;
        pace.onStated(1.8, 1.8, now);
        pace.onEventTime(1.8, 600ms, now + 600ms);
    }
    EXPECT_NEAR(pace.slowness(Start + 1h), 1.8, 0.01);
}

/// A wrong or malicious statement must neither exclude a server for good nor attract all requests.
RC_GTEST_PROP(ServerPaceProperty, TheEstimateIsBounded, ())
{
    ServerPace pace;
    auto const statements = *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
    auto now = Start;
    for (auto const statement : statements) {
        pace.onStated(statement / 100.0, 1, now);
        pace.onEventTime(statement / 1000.0, 500ms, now + 500ms);
        now += 1s;
        auto const slowness = pace.slowness(now);
        RC_ASSERT(slowness > 0.01);
        RC_ASSERT(slowness < 101.0);
    }
}

TEST_F(PacedPlacementTest, ASlowServerIsAvoidedAfterOneStatementAndUsedAgainLater)
{
    setOthers(4);
    for (auto const *id : {"a", "b", "c"})
        placement_.onLoadStated(recordOf(id), {.slowness = 1}, Start);
    EXPECT_GT(shareOfA(Start), 0.2);
    placement_.onLoadStated(recordOf("a"), {.slowness = 2.5}, Start);
    EXPECT_LT(shareOfA(Start), 0.15);
    EXPECT_GT(shareOfA(Start + 3s), 0.2);
}

/// A slow server with a free slot is better than a wait at a fast one.
TEST_F(PacedPlacementTest, ASlowServerIsUsedWhenTheOthersAreFull)
{
    for (auto const *id : {"a", "b", "c"})
        placement_.onLoadStated(recordOf(id), {.slowness = id == std::string("a") ? 2.5 : 1}, Start);
    for (int request = 0; request < 8; ++request) {
        own_.onStarted(ServerId("b"), WorkClass::Online);
        own_.onStarted(ServerId("c"), WorkClass::Online);
    }
    EXPECT_EQ(place(Start).server.id, ServerId("a"));
}

/// Guards against a change for pools whose servers state no speed, also while another pool's servers do.
TEST_F(PacedPlacementTest, WithoutStatedSpeedRequestsArePlacedAsBefore)
{
    OnlinePlacement other({.instance = InstanceId("self"), .dataCentre = DataCentreId("dc")});
    other.setServers({{.record = recordOf("a")}, {.record = recordOf("b")}, {.record = recordOf("c")}, {.record = recordOf("z", "q")}}, {});
    other.onLoadStated(recordOf("z", "q"), {.slowness = 2.5}, Start);
    auto otherRandom = random_;
    for (int request = 0; request < 60; ++request) {
        auto const now = Start + request * 10ms;
        other.onLoadStated(recordOf("a"), {.running = 8, .waiting = 20, .slots = 8}, now);
        other.onEvents(recordOf("a"), {.events = 100, .time = 3s}, now);
        auto const expected = place(now, 100ms);
        auto const placed = other.place(
            {.pool = PoolName("p"), .latencyTarget = 300ms, .loadAge = {.near = 100ms, .far = 100ms}}, own_, peers_, now, otherRandom);
        ASSERT_EQ(placed.outcome, expected.outcome);
        ASSERT_EQ(placed.shortestWait, expected.shortestWait);
        ASSERT_EQ(placed.retryAfter, expected.retryAfter);
        if (expected.outcome != Placement::Outcome::Chosen)
            break;
        ASSERT_EQ(placed.server.id, expected.server.id);
        own_.onStarted(expected.server.id, WorkClass::Online);
    }
}

/// Guards against admitting what will be late: all instances see the same free slots by the same old report.
TEST_F(PacedPlacementTest, UnreportedRequestsCountWhenARequestIsAdmitted)
{
    PeerReport report{.sender = InstanceId("peer"), .startedAt = 1, .number = 1};
    report.inFlight[ServerId("a")].online = 3;
    report.inFlight[ServerId("b")].online = 20;
    report.inFlight[ServerId("c")].online = 20;
    peers_.onReport(report, Start);
    EXPECT_EQ(place(Start, 300ms).outcome, Placement::Outcome::Chosen);
    for (auto const *id : {"a", "b", "c"})
        placement_.onLoadStated(recordOf(id), {.slowness = 1}, Start);
    EXPECT_EQ(place(Start).outcome, Placement::Outcome::Chosen);
    auto const full = place(Start, 300ms);
    EXPECT_EQ(full.outcome, Placement::Outcome::Full);
    EXPECT_GE(full.retryAfter, 100ms);
}

/// Batch items are preempted, so they are no reason to refuse.
TEST_F(PacedPlacementTest, BatchItemsRefuseNoRequest)
{
    for (auto const *id : {"a", "b", "c"}) {
        placement_.onLoadStated(recordOf(id), {.slowness = 1}, Start);
        for (int item = 0; item < 30; ++item)
            own_.onStarted(ServerId(id), WorkClass::Batch);
    }
    EXPECT_EQ(place(Start, 100ms).outcome, Placement::Outcome::Chosen);
}

/// Guards against counting the requests that go to all servers for the few that may take this one.
TEST_F(PacedPlacementTest, OnlyTheRequestsOfAllowedServersCount)
{
    setOthers(6);
    for (auto const *id : {"a", "b", "c"})
        placement_.onLoadStated(recordOf(id), {.slowness = 1}, Start);
    std::vector<ServerId> const excluded{ServerId("b"), ServerId("c")};
    auto const placement =
        placement_.place({.pool = PoolName("p"), .latencyTarget = 300ms, .excluded = excluded, .loadAge = {.near = 300ms, .far = 300ms}},
                         own_,
                         peers_,
                         Start,
                         random_);
    EXPECT_EQ(placement.server.id, ServerId("a"));
}

TEST_F(PacedPlacementTest, SlowServersAndTheSpreadOfWaitsAreShown)
{
    EXPECT_EQ(placement_.paceSummary(own_, peers_, Start).slowServers, 0U);
    for (auto const *id : {"a", "b", "c"})
        placement_.onLoadStated(recordOf(id), {.slowness = id == std::string("a") ? 2.5 : 1}, Start);
    for (int request = 0; request < 10; ++request)
        own_.onStarted(ServerId("a"), WorkClass::Online);
    auto const summary = placement_.paceSummary(own_, peers_, Start);
    EXPECT_EQ(summary.slowServers, 1U);
    EXPECT_GT(summary.waitSpread, 3 * 500ms / 8);
}

/// Replays uneven servers with load reports as old as in a fleet of 60. Without statements of speed, a third of these requests more is
/// late.
TEST(UnevenServersReplay, StatedSpeedsBringMoreRequestsInTime)
{
    auto const replay = [](double load, UnevenServersOptions::Choice choice) {
        return replayUnevenServers({.load = load, .loadAge = 100ms, .choice = choice, .duration = 10s});
    };
    using Choice = UnevenServersOptions::Choice;
    auto const before = replay(0.85, Choice::WithoutPace);
    auto const after = replay(0.85, Choice::WithPace);
    EXPECT_LT(after.late, before.late);
    EXPECT_LT(after.loadVariance, before.loadVariance);
    EXPECT_GT(after.onTime, before.onTime);
    auto const beforeAtPeak = replay(1.3, Choice::WithoutPace);
    auto const afterAtPeak = replay(1.3, Choice::WithPace);
    EXPECT_LT(afterAtPeak.late, 0.12);
    EXPECT_GT(afterAtPeak.onTime, beforeAtPeak.onTime * 2);
    EXPECT_LT(afterAtPeak.p99WaitSeconds, beforeAtPeak.p99WaitSeconds / 2);
}
