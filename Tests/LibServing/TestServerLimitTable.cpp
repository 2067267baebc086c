#include "LibServing/ServerLimitTable.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

Instant const start(1h);
ServerProcess const server{.id = ServerId("a"), .startedAt = 10};
StatedLimit const unlimited{.kind = StatedLimit::Kind::Unlimited};

StatedLimit limited(double rate)
{
    return {.kind = StatedLimit::Kind::Limited, .rate = RequestRate(rate)};
}

class ServerLimitTableTest : public ::testing::Test
{
protected:
    ServerLimitTable table_{ServerLimitTableOptions{}};
};

} // namespace

/// A server states its limit in many responses. Guards against sending each of them to all instances as a change.
TEST_F(ServerLimitTableTest, OnlyAnotherRateIsAChange)
{
    EXPECT_FALSE(table_.onResponse(server, unlimited, start, start + 10ms));
    EXPECT_TRUE(table_.onResponse(server, limited(2.5), start, start + 20ms));
    EXPECT_FALSE(table_.onResponse(server, limited(2.5), start, start + 30ms));
    EXPECT_EQ(table_.version(), 1U);
    EXPECT_TRUE(table_.onResponse(server, limited(0), start, start + 40ms));
    EXPECT_EQ(table_.find(server), RequestRate(0));
}

/// A response without a limit arrives after one with it, though the server sent it before. Guards against an end of the limit by this.
TEST_F(ServerLimitTableTest, AResponseToAnEarlierRequestDoesNotEndALimit)
{
    table_.onResponse(server, limited(2), start, start + 100ms);
    EXPECT_FALSE(table_.onResponse(server, unlimited, start + 50ms, start + 200ms));
    EXPECT_EQ(table_.find(server), RequestRate(2));
    EXPECT_TRUE(table_.onResponse(server, unlimited, start + 150ms, start + 300ms));
    EXPECT_FALSE(table_.find(server));
}

/// A statement cannot be read, or a response is not the server's. Guards against taking it for the end of the limit.
TEST_F(ServerLimitTableTest, AnUnreadableStatementChangesNothing)
{
    table_.onResponse(server, limited(2), start, start + 100ms);
    for (auto const kind : {StatedLimit::Kind::Unreadable, StatedLimit::Kind::NotStated})
        EXPECT_FALSE(table_.onResponse(server, {.kind = kind}, start + 150ms, start + 300ms));
    EXPECT_EQ(table_.find(server), RequestRate(2));
}

/// A server starts again under its id. Guards against keeping the limit of the process that has ended, and against its late statements.
TEST_F(ServerLimitTableTest, ALimitEndsWithTheProcess)
{
    ServerProcess const next{.id = server.id, .startedAt = 20};
    table_.onResponse(server, limited(2), start, start + 100ms);
    EXPECT_FALSE(table_.find(next));
    EXPECT_TRUE(table_.onResponse(next, limited(3), start + 1s, start + 1s));
    EXPECT_FALSE(table_.onResponse(server, limited(1), start + 500ms, start + 2s));
    EXPECT_EQ(table_.find(next), RequestRate(3));
    EXPECT_EQ(table_.find(server), RequestRate(3)) << "the registration may lag";
}

/// Instances pass on what they know in any order and repeatedly. Guards against an old statement that renews an ended limit.
TEST_F(ServerLimitTableTest, TheLastStatementCountsInAnyOrder)
{
    ServerLimit const named{.server = server, .rate = RequestRate(2), .statedAt = start + 1s};
    ServerLimit const ended{.server = server, .rate = std::nullopt, .statedAt = start + 2s};
    EXPECT_TRUE(table_.merge(std::vector{ended, named}, start + 3s));
    EXPECT_FALSE(table_.find(server));
    EXPECT_FALSE(table_.merge(std::vector{named, ended}, start + 4s));
    EXPECT_FALSE(table_.find(server));
    ServerLimitTable other{ServerLimitTableOptions{}};
    EXPECT_TRUE(other.merge(std::vector{named}, start + 3s));
    EXPECT_EQ(other.find(server), RequestRate(2));
    EXPECT_TRUE(other.merge(std::vector{ended}, start + 3s));
    EXPECT_FALSE(other.find(server));
}

/// Servers come and go for days. Guards against limits of all of them in memory.
TEST_F(ServerLimitTableTest, LimitsThatAreNotStatedAgainAreRemoved)
{
    table_.onResponse(server, limited(2), start, start);
    table_.onResponse({.id = ServerId("b"), .startedAt = 1}, limited(2), start + 1h, start + 1h);
    EXPECT_EQ(table_.all().size(), 1U);
}
