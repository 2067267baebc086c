#include "LibServing/RelayHelpers.h"
#include "LibServing/ServerReach.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
PoolName const pool("p");
PoolName const otherPool("q");

ServerId server(std::size_t number)
{
    return ServerId("i-" + std::to_string(number));
}

class ServerReachTest : public ::testing::Test
{
protected:
    ServerReachTest()
    {
        setServers(9, 3);
    }

    /// Sets the numbers of servers of both pools; those of the second follow the first.
    void setServers(std::size_t first, std::size_t second)
    {
        std::map<ServerId, PoolName> servers;
        for (std::size_t number = 0; number < first + second; ++number)
            servers.emplace(server(number), number < first ? pool : otherPool);
        reach_.setServers(servers);
    }

    std::vector<ServerId> takeChecks(Instant now)
    {
        return reach_.takeChecks(now, random_);
    }

    /// Lets all checks that are due fail.
    void failChecks(Instant now)
    {
        for (auto const &id : takeChecks(now))
            reach_.onChecked(id, false, now);
    }

    void cutOff()
    {
        for (std::size_t number = 0; number < 3; ++number)
            reach_.onConnectFailed(server(number), Start);
        failChecks(Start);
        ASSERT_TRUE(reach_.isOutOfReach(pool));
    }

    RandomSource random_{1};
    ServerReach reach_{{}};
};

} // namespace

/// Guards against instances that pass all requests on because some servers have crashed.
TEST_F(ServerReachTest, APoolStaysInReachIfOneOfTheOtherServersTakesAConnection)
{
    for (std::size_t number = 0; number < 2; ++number)
        reach_.onConnectFailed(server(number), Start);
    EXPECT_TRUE(takeChecks(Start).empty()) << "two servers may have crashed";
    reach_.onConnectFailed(server(2), Start);
    EXPECT_TRUE(reach_.isBeingChecked(pool));
    auto const checks = takeChecks(Start);
    ASSERT_EQ(checks.size(), 3U);
    for (auto const &id : checks)
        EXPECT_TRUE(id != server(0) && id != server(1) && id != server(2)) << id.value() << " has failed already";
    EXPECT_FALSE(reach_.onChecked(checks[0], false, Start));
    EXPECT_FALSE(reach_.onChecked(checks[1], true, Start));
    EXPECT_FALSE(reach_.onChecked(checks[2], false, Start)) << "the question is decided";
    EXPECT_FALSE(reach_.isOutOfReach(pool));
    EXPECT_FALSE(reach_.isBeingChecked(pool));
    reach_.onConnectFailed(server(0), Start);
    EXPECT_FALSE(reach_.isBeingChecked(pool)) << "earlier failures do not count";
}

TEST_F(ServerReachTest, APoolIsOutOfReachUntilAConnectionSucceeds)
{
    cutOff();
    EXPECT_EQ(reach_.outOfReach(), std::set<PoolName>{pool});
    // The other pool is checked as well, and is in reach.
    for (auto const &id : takeChecks(Start))
        EXPECT_FALSE(reach_.onChecked(id, true, Start));
    auto now = Start;
    for (int check = 0; check < 20; ++check) {
        EXPECT_TRUE(takeChecks(now + 199ms).empty());
        now += 200ms;
        auto const checks = takeChecks(now);
        ASSERT_EQ(checks.size(), 1U);
        EXPECT_FALSE(reach_.onChecked(checks[0], false, now));
        EXPECT_EQ(reach_.outOfReach(), std::set<PoolName>{pool});
    }
    now += 200ms;
    auto const checks = takeChecks(now);
    ASSERT_EQ(checks.size(), 1U);
    EXPECT_TRUE(reach_.onChecked(checks[0], true, now));
    EXPECT_FALSE(reach_.isOutOfReach(pool));
}

/// A pool with few requests would otherwise be found out of reach by the failures of its callers, one after the other.
TEST_F(ServerReachTest, OtherPoolsAreCheckedAtOnceIfOneIsOutOfReach)
{
    cutOff();
    EXPECT_TRUE(reach_.isBeingChecked(otherPool));
    failChecks(Start);
    EXPECT_TRUE(reach_.isOutOfReach(otherPool));
}

TEST_F(ServerReachTest, FailuresFarApartAreNoSuspicion)
{
    auto now = Start;
    for (std::size_t number = 0; number < 9; ++number) {
        reach_.onConnectFailed(server(number), now);
        now += 1100ms;
    }
    EXPECT_FALSE(reach_.isBeingChecked(pool));
    reach_.onConnectFailed(server(0), now - 1100ms);
    reach_.onConnectFailed(server(1), now - 1100ms);
    EXPECT_TRUE(reach_.isBeingChecked(pool));
}

TEST_F(ServerReachTest, ASmallPoolIsCheckedOnceAllItsServersFailed)
{
    setServers(1, 0);
    reach_.onConnectFailed(server(0), Start);
    auto const checks = takeChecks(Start);
    ASSERT_EQ(checks, std::vector<ServerId>{server(0)});
    EXPECT_TRUE(reach_.onChecked(server(0), false, Start));
    EXPECT_TRUE(reach_.isOutOfReach(pool));
}

/// A check whose server is removed has no outcome. Guards against a pool that waits for it forever.
TEST_F(ServerReachTest, ServersThatAreRemovedDoNotHoldUpChecks)
{
    cutOff();
    ASSERT_FALSE(takeChecks(Start + 200ms).empty());
    setServers(0, 3);
    setServers(9, 3);
    EXPECT_FALSE(reach_.isOutOfReach(pool));
    for (std::size_t number = 0; number < 3; ++number)
        reach_.onConnectFailed(server(number), Start + 1s);
    EXPECT_FALSE(takeChecks(Start + 1s).empty());
}

/// Instances that are cut off all choose the same helper, or ask the same ones that cannot help again and again.
TEST(RelayHelpersTest, TheLoadOfInstancesThatAreCutOffSpreadsOverThoseThatHelp)
{
    for (std::size_t const count : {9, 54, 216, 260}) {
        auto const cut = count * 6 / 10;
        std::vector<RelayHelper> all;
        for (std::size_t number = 0; number < count; ++number)
            all.push_back({.id = InstanceId(std::to_string(number)), .address = Address()});
        std::vector<RelayHelpers> instances(cut, RelayHelpers({}));
        RandomSource random(count);
        std::map<InstanceId, std::size_t> load;
        std::size_t refusals = 0;
        std::size_t requests = 0;
        auto now = Start;
        // Ten seconds with five requests a second at each instance.
        for (int round = 0; round < 50; ++round, now += 200ms) {
            for (std::size_t instance = 0; instance < cut; ++instance) {
                ++requests;
                for (int attempt = 0; attempt < 4; ++attempt) {
                    auto const helper = instances[instance].choose(pool, all, now, random);
                    ASSERT_TRUE(helper);
                    if (std::stoul(helper->id.value()) >= cut) {
                        ++load[helper->id];
                        break;
                    }
                    ++refusals;
                    instances[instance].onUnable(helper->id, pool, now);
                }
            }
        }
        std::size_t served = 0;
        std::size_t most = 0;
        for (auto const &[helper, requestsThere] : load) {
            served += requestsThere;
            most = std::max(most, requestsThere);
        }
        EXPECT_GE(served * 10, requests * 8) << count;
        EXPECT_LE(refusals, requests * 2) << count;
        EXPECT_LE(most * (count - cut), 2 * served) << "at " << count << " the most loaded one has over twice the mean";
    }
}

TEST(RelayHelpersTest, AnInstanceThatCouldNotHelpIsAskedAgainLater)
{
    RelayHelpers helpers({});
    RandomSource random(1);
    std::vector<RelayHelper> const all{{.id = InstanceId("a"), .address = Address("127.0.0.1:1")}};
    helpers.onUnable(InstanceId("a"), pool, Start);
    EXPECT_FALSE(helpers.choose(pool, all, Start + 1999ms, random));
    EXPECT_TRUE(helpers.choose(otherPool, all, Start, random)) << "it may reach the servers of another pool";
    EXPECT_TRUE(helpers.choose(pool, all, Start + 2s, random));
}
