#include "LibServing/OnlinePlacement.h"
#include "LibServing/ServerAllowances.h"
#include "LibServing/ServerLimitNews.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

Instant const start(1h);
PoolName const pool("p");

ServerRecord recordOf(std::string const &id)
{
    return {
        .id = ServerId(id), .pool = pool, .address = Address("10.0.0.1:80"), .dataCentre = DataCentreId("dc"), .slots = 8, .startedAt = 10};
}

class ServerAllowancesTest : public ::testing::Test
{
protected:
    ServerAllowancesTest()
    {
        std::vector<UsableServer> servers;
        for (auto const *id : {"a", "b"})
            servers.push_back({.record = recordOf(id)});
        placement_.setServers(std::move(servers), {});
    }

    void limit(std::string const &id, double rate)
    {
        allowances_.limits().onResponse(
            processOf(recordOf(id)), {.kind = StatedLimit::Kind::Limited, .rate = RequestRate(rate)}, start, start);
    }

    void deny(std::string const &id, Urgency urgency, Instant until)
    {
        allowances_.onDenied(processOf(recordOf(id)), urgency, until);
    }

    Placement place(Instant now, Urgency urgency = Urgency::Highest)
    {
        return placement_.place(
            {.pool = pool, .latencyTarget = 300ms, .allowances = &allowances_, .urgency = urgency}, load_, peers_, now, random_);
    }

    ServerAllowances allowances_;
    LoadTracker load_;
    PeerTable peers_{{.self = InstanceId("self"), .dataCentre = DataCentreId("dc")}};
    OnlinePlacement placement_{{.instance = InstanceId("self"), .dataCentre = DataCentreId("dc")}};
    RandomSource random_{1};
};

} // namespace

/// A limited server has few requests in flight. Guards against taking it for idle while another server has free slots.
TEST_F(ServerAllowancesTest, RequestsGoToServersWithoutLimitsFirst)
{
    limit("a", 2);
    for (int number = 0; number < 6; ++number) {
        auto const placed = place(start + 1s);
        EXPECT_EQ(placed.server.id, ServerId("b")) << number;
        EXPECT_FALSE(placed.isLimited);
        load_.onStarted(ServerId("b"), WorkClass::Online);
    }
    for (int number = 0; number < 4; ++number)
        load_.onStarted(ServerId("b"), WorkClass::Online);
    EXPECT_EQ(place(start + 1s).server.id, ServerId("a")) << "the other one is full";
    EXPECT_TRUE(place(start + 1s).isLimited);
}

/// A permit was denied. Guards against requesting the next one before there may be one, and against denying it to more urgent requests.
TEST_F(ServerAllowancesTest, AServerWithoutPermitsGetsNoRequests)
{
    limit("a", 2);
    deny("a", Urgency::Normal, start + 500ms);
    EXPECT_TRUE(allowances_.find(recordOf("a"), Urgency::Batch, start)->exhaustedUntil);
    EXPECT_FALSE(allowances_.find(recordOf("a"), Urgency::High, start)->exhaustedUntil);
    EXPECT_FALSE(allowances_.find(recordOf("a"), Urgency::Normal, start + 500ms)->exhaustedUntil);
    for (int number = 0; number < 20; ++number)
        load_.onStarted(ServerId("b"), WorkClass::Online);
    EXPECT_EQ(place(start, Urgency::Highest).server.id, ServerId("a"));
    auto const refused = place(start, Urgency::Normal);
    EXPECT_EQ(refused.outcome, Placement::Outcome::Full);
    EXPECT_TRUE(refused.limitedRate);
}

/// All servers have limits, and none has permits. Guards against a send without one, and against a wrong time to return.
TEST_F(ServerAllowancesTest, NoServerIsChosenWithoutPermits)
{
    limit("a", 2);
    limit("b", 3);
    deny("a", Urgency::Highest, start + 500ms);
    deny("b", Urgency::Highest, start + 300ms);
    auto const refused = place(start);
    EXPECT_EQ(refused.outcome, Placement::Outcome::LimitsReached);
    EXPECT_EQ(refused.retryAfter, 300ms);
    EXPECT_EQ(refused.limitedRate, RequestRate(5));
    EXPECT_EQ(place(start + 300ms).server.id, ServerId("b"));
}

/// The limit changes or ends after a denial. Guards against a server that stays idle until the time that was stated before.
TEST_F(ServerAllowancesTest, ADenialHoldsForOneLimitOnly)
{
    limit("a", 0.1);
    deny("a", Urgency::Highest, start + 10s);
    allowances_.limits().onResponse(
        processOf(recordOf("a")), {.kind = StatedLimit::Kind::Limited, .rate = RequestRate(5)}, start, start + 1s);
    EXPECT_FALSE(allowances_.find(recordOf("a"), Urgency::Highest, start + 1s)->exhaustedUntil);
}

/// Instances have different clocks. Guards against statements that are taken for newer or older than they are.
TEST(ServerLimitNewsTest, LimitsArriveWithTheirAge)
{
    ServerLimit const limited{.server = {.id = ServerId("a"), .startedAt = 10}, .rate = RequestRate(2.5), .statedAt = start - 3s};
    ServerLimit const ended{.server = {.id = ServerId("b"), .startedAt = 11}, .rate = std::nullopt, .statedAt = start - 40ms};
    auto const text = encodeServerLimits({limited, ended}, start);
    EXPECT_TRUE(isServerLimits(text));
    Instant const elsewhere(7h);
    auto const decoded = decodeServerLimits(text, elsewhere);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->size(), 2U);
    EXPECT_EQ(decoded->at(0).server, limited.server);
    EXPECT_EQ(decoded->at(0).rate, limited.rate);
    EXPECT_EQ(decoded->at(0).statedAt, elsewhere - 3s);
    EXPECT_FALSE(decoded->at(1).rate);
    EXPECT_EQ(decoded->at(1).statedAt, elsewhere - 40ms);
    for (auto const *broken : {R"({"limits":[["a"]]})", R"({"limits":3})", R"({"limits":[["a",1,"x"]]})", R"({"limits":)"})
        EXPECT_FALSE(decodeServerLimits(broken, elsewhere)) << broken;
}

/// Hundreds of servers have limits. Guards against datagrams of more than some kilobytes.
TEST(ServerLimitNewsTest, ManyLimitsAreSplit)
{
    std::map<ServerId, ServerLimit> limits;
    for (int number = 0; number < 600; ++number) {
        ServerId const id("i-0123456789" + std::to_string(number));
        limits[id] = {.server = {.id = id, .startedAt = 1'700'000'000'000}, .rate = RequestRate(2.375), .statedAt = start};
    }
    auto const messages = splitServerLimits(limits, MaxLimitsPerMessage);
    EXPECT_EQ(messages.size(), 15U);
    for (auto const &message : messages)
        EXPECT_LE(encodeServerLimits(message, start + 1h).size(), 4096U);
}
