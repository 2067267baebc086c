#include "LibJobs/CarefulPlacement.h"

#include <gtest/gtest.h>
#include <vector>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr Duration Tick = 50ms;
constexpr Duration LongTime = 60s;
PoolName const pool("p");
ServerId const serverA("a");
ServerId const serverB("b");
ServerId const serverC("c");

/// Items that wait at a runner whose servers have room.
class CarefulPlacementTest : public ::testing::Test
{
protected:
    std::optional<ServerId> chooseNow(Instant unansweredAt = Start)
    {
        auto choice = placement_.choose(pool, servers_, unansweredAt, now_);
        if (choice.check && respondsToChecks_)
            placement_.onResponded(*choice.check, now_);
        else if (choice.check && acceptsConnections_)
            placement_.onAccepted(*choice.check, now_);
        return choice.server;
    }

    /// Chooses in each tick until a server is found or the time is over.
    std::optional<ServerId> chooseWithin(Duration time, Instant unansweredAt = Start)
    {
        for (auto const until = now_ + time; now_ < until; now_ += Tick) {
            if (auto const server = chooseNow(unansweredAt))
                return server;
        }
        return std::nullopt;
    }

    void answer(ServerId const &server)
    {
        placement_.onAnswered(server, now_, now_);
    }

    std::vector<CarefulPlacement::Server> servers_{
        {.id = serverA, .hasRoom = true}, {.id = serverB, .hasRoom = true}, {.id = serverC, .hasRoom = true}};
    bool respondsToChecks_ = true;
    bool acceptsConnections_ = false;
    CarefulPlacement placement_{{}};
    Instant now_ = Start + 1s;
};

} // namespace

/// Guards against sending an item that has few sends left to a server of which it is only known that it answers health checks.
TEST_F(CarefulPlacementTest, AnItemGoesToAServerThatHasAnsweredSince)
{
    placement_.onResponded(serverA, now_);
    placement_.onResponded(serverB, now_);
    EXPECT_EQ(chooseNow(), std::nullopt);
    answer(serverC);
    EXPECT_EQ(chooseNow(), serverC);
    EXPECT_EQ(chooseNow(now_), std::nullopt) << "the answer is older than the send";
}

TEST_F(CarefulPlacementTest, AServerThatFailedAfterItsAnswerIsNotProven)
{
    answer(serverA);
    answer(serverB);
    now_ += Tick;
    placement_.onFailed(serverA, now_);
    EXPECT_EQ(chooseNow(), serverB);
    // The end of an older run is no evidence that new ones are accepted.
    placement_.onAnswered(serverA, now_ - Tick, now_ + Tick);
    placement_.onFailed(serverB, now_);
    EXPECT_EQ(chooseNow(), std::nullopt);
}

/// A server fails a part of its items. Guards against preferring it for the answers that it gives to the others.
TEST_F(CarefulPlacementTest, AServerThatFailsSomeItemsIsUsedAfterOthers)
{
    placement_.onFailed(serverA, now_);
    answer(serverB);
    now_ += Tick;
    answer(serverA);
    EXPECT_EQ(chooseNow(), serverB);
    servers_[1].hasRoom = false;
    EXPECT_EQ(chooseNow(), serverA);
}

/// Guards against many items that are sent to one server in the moment in which it begins to fail.
TEST_F(CarefulPlacementTest, EachAnswerOfAServerIsGoodForOneItem)
{
    answer(serverA);
    EXPECT_EQ(chooseNow(), serverA);
    placement_.onSent(pool, serverA, now_);
    EXPECT_EQ(chooseNow(), std::nullopt);
    now_ += Tick;
    answer(serverA);
    EXPECT_EQ(chooseNow(), serverA);
}

/// Guards against items that wait without end at a runner that has no other ones.
TEST_F(CarefulPlacementTest, WithoutAnswersOneItemAtATimeTriesAServerThatRespondsToChecks)
{
    EXPECT_EQ(chooseWithin(900ms), std::nullopt);
    auto const server = chooseWithin(500ms);
    ASSERT_TRUE(server);
    placement_.onSent(pool, *server, now_);
    EXPECT_EQ(chooseWithin(900ms), std::nullopt);
    EXPECT_TRUE(chooseWithin(500ms));
}

TEST_F(CarefulPlacementTest, AServerThatRespondsToNoCheckIsNotTried)
{
    respondsToChecks_ = false;
    EXPECT_EQ(chooseWithin(LongTime), std::nullopt);
    placement_.onResponded(serverB, now_);
    EXPECT_EQ(chooseWithin(2s), serverB);
}

/// All servers run items and answer no health checks. Guards against items that are never sent again.
TEST_F(CarefulPlacementTest, AServerThatAcceptsConnectionsIsTriedAfterALongerTime)
{
    respondsToChecks_ = false;
    acceptsConnections_ = true;
    EXPECT_EQ(chooseWithin(4900ms), std::nullopt);
    EXPECT_TRUE(chooseWithin(1s));
}

TEST_F(CarefulPlacementTest, AServerThatFailedItsLastItemIsTriedOnlyIfAllHave)
{
    placement_.onFailed(serverA, now_);
    placement_.onFailed(serverB, now_);
    EXPECT_EQ(chooseWithin(2s), serverC);
    placement_.onFailed(serverC, now_);
    EXPECT_TRUE(chooseWithin(2s)) << "all have failed";
}

/// Guards against sending the item to the only server with room, which has it because it fails all items at once.
TEST_F(CarefulPlacementTest, AFailingServerIsNotTriedWhileTheOthersAreFull)
{
    placement_.onFailed(serverA, now_);
    servers_[1].hasRoom = false;
    servers_[2].hasRoom = false;
    EXPECT_EQ(chooseWithin(10s), std::nullopt);
    servers_[2].hasRoom = true;
    EXPECT_EQ(chooseWithin(2s), serverC);
}
