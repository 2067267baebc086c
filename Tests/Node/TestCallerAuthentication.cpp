#include "Services/Node/CallerAuthentication.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Node;
using Outcome = CallerAuthentication::Outcome;

namespace {

Serving::DesiredState stateWith(std::optional<std::vector<Serving::Customer>> customers)
{
    Serving::Route const closed{
        .name = Serving::RouteName("closed"), .host = "h", .pathPrefix = "/s/", .pools = {{.pool = PoolName("p")}}, .priority = 3};
    auto open = closed;
    open.pathPrefix = "/open/";
    open.isPublic = true;
    auto batch = closed;
    batch.pathPrefix = "/b/";
    batch.kind = Serving::RouteKind::Batch;
    auto openBatch = batch;
    openBatch.host = "open-batch";
    openBatch.isPublic = true;
    return {.version = Serving::StateVersion(1), .routes = {closed, open, batch, openBatch}, .customers = std::move(customers)};
}

std::vector<Serving::Customer> twoCustomers()
{
    return {{.id = CustomerId("north"), .keys = {"k1", "k2"}, .priority = 1}, {.id = CustomerId("south"), .keys = {"k3"}}};
}

} // namespace

/// Guards against a request without a valid key that runs, and against one that runs for another customer.
TEST(CallerAuthenticationTest, ARequestNeedsAKeyOfACustomer)
{
    Serving::RouteTable const routes(stateWith(twoCustomers()));
    auto const &route = *routes.find("h", "/s/1");
    auto const outcomeOf = [&](std::optional<std::string_view> key) { return CallerAuthentication::ofRequest(routes, route, key); };
    EXPECT_EQ(outcomeOf("k2").customerId(), CustomerId("north"));
    EXPECT_EQ(outcomeOf("k3").customer()->id, CustomerId("south"));
    for (auto const *const unknown : {"k", "k11", "K1", "", "north"}) {
        EXPECT_EQ(outcomeOf(unknown).outcome(), Outcome::KeyUnknown) << unknown;
        EXPECT_TRUE(outcomeOf(unknown).isRefused()) << unknown;
    }
    EXPECT_EQ(outcomeOf(std::nullopt).outcome(), Outcome::KeyMissing);
    EXPECT_TRUE(outcomeOf(std::nullopt).isRefused());
}

/// Guards against refusing callers of public routes, and against a server that takes an unknown caller for a customer.
TEST(CallerAuthenticationTest, APublicRouteNeedsNoKey)
{
    Serving::RouteTable const routes(stateWith(twoCustomers()));
    auto const &route = *routes.find("h", "/open/1");
    for (auto const key : {std::optional<std::string_view>(), std::optional<std::string_view>("unknown")}) {
        auto const authentication = CallerAuthentication::ofRequest(routes, route, key);
        EXPECT_EQ(authentication.outcome(), Outcome::Public);
        EXPECT_EQ(authentication.customerId(), CustomerId());
    }
    EXPECT_EQ(CallerAuthentication::ofRequest(routes, route, "k1").customerId(), CustomerId("north"));
}

/// Guards against changing what callers of a deployment without customers are served. An empty list of customers is not the same.
TEST(CallerAuthenticationTest, WithoutCustomersNoKeyIsNeeded)
{
    Serving::RouteTable const routes(stateWith(std::nullopt));
    auto const authentication = CallerAuthentication::ofRequest(routes, *routes.find("h", "/s/1"), "k1");
    EXPECT_EQ(authentication.outcome(), Outcome::NotRequired);
    EXPECT_EQ(authentication.customerId(), std::nullopt);
    Serving::RouteTable const empty(stateWith(std::vector<Serving::Customer>()));
    EXPECT_TRUE(CallerAuthentication::ofRequest(empty, *empty.find("h", "/s/1"), "k1").isRefused());
}

/// Paths of job calls belong to no route. Guards against jobs that can be read without a key although their submission needs one.
TEST(CallerAuthenticationTest, JobCallsNeedAKeyUnlessBatchJobsOfTheHostArePublic)
{
    Serving::RouteTable const routes(stateWith(twoCustomers()));
    EXPECT_EQ(CallerAuthentication::ofJobCall(routes, "h:80", std::nullopt).outcome(), Outcome::KeyMissing);
    EXPECT_EQ(CallerAuthentication::ofJobCall(routes, "h", "k3").customerId(), CustomerId("south"));
    EXPECT_EQ(CallerAuthentication::ofJobCall(routes, "open-batch", std::nullopt).outcome(), Outcome::Public);
    EXPECT_EQ(CallerAuthentication::ofJobCall(routes, "elsewhere", std::nullopt).outcome(), Outcome::KeyMissing);
}

TEST(CallerAuthenticationTest, ThePriorityOfACustomerTakesPrecedence)
{
    Serving::RouteTable const routes(stateWith(twoCustomers()));
    auto const &route = *routes.find("h", "/s/1");
    EXPECT_EQ(effectivePriority(route, routes.customers()->find("north")), 1);
    EXPECT_EQ(effectivePriority(route, routes.customers()->find("south")), 3);
    EXPECT_EQ(effectivePriority(route, nullptr), 3);
}
