#include "Services/Node/PeerRelay.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Node;

TEST(PeerRelayTest, TermsArriveAsTheyWereSent)
{
    Http::HttpRequest request{.method = "POST", .target = "/x", .headers = {{"Host", "h"}}, .body = "b"};
    addRelayTerms(request, {.stateVersion = Serving::StateVersion(7), .pool = PoolName("p"), .version = Serving::SoftwareVersion("v2")});
    auto const terms = takeRelayTerms(request);
    ASSERT_TRUE(terms);
    EXPECT_EQ(terms->stateVersion, Serving::StateVersion(7));
    EXPECT_EQ(terms->pool, PoolName("p"));
    EXPECT_EQ(terms->version, Serving::SoftwareVersion("v2"));
    EXPECT_FALSE(terms->isAuthenticated);
    EXPECT_EQ(request.headers.fields().size(), 1U) << "servers get the request as the caller sent it";
    EXPECT_FALSE(takeRelayTerms(request));
}

/// A caller could otherwise choose the software version at which its stream goes on.
TEST(PeerRelayTest, HeadersOfACallerAreNoTerms)
{
    Http::HttpRequest request{
        .headers = {
            {"Relay-Software-Version", "v9"}, {"relay-pool", "other"}, {"Relay-State-Version", "99"}, {"Relay-Authenticated", "1"}}};
    addRelayTerms(request, {.stateVersion = Serving::StateVersion(7), .pool = PoolName("p")});
    auto const terms = takeRelayTerms(request);
    ASSERT_TRUE(terms);
    EXPECT_EQ(terms->stateVersion, Serving::StateVersion(7));
    EXPECT_EQ(terms->pool, PoolName("p"));
    EXPECT_FALSE(terms->version);
    EXPECT_FALSE(terms->isAuthenticated);
}

/// Guards against checking a customer twice, as the receiver never gets the key.
TEST(PeerRelayTest, TermsStateThatTheKeyWasChecked)
{
    Http::HttpRequest request{.headers = {{"Anvilyard-Tenant", "north"}}};
    addRelayTerms(request, {.stateVersion = Serving::StateVersion(7), .pool = PoolName("p"), .isAuthenticated = true});
    auto const terms = takeRelayTerms(request);
    ASSERT_TRUE(terms);
    EXPECT_TRUE(terms->isAuthenticated);
    EXPECT_EQ(request.headers.fields().size(), 1U);
}

TEST(PeerRelayTest, RequestsWithoutCompleteTermsWereNotPassedOn)
{
    for (auto const *version : {"", "x", "1x", "-1", "99999999999999999999"}) {
        Http::HttpRequest request{.headers = {{"Relay-State-Version", version}, {"Relay-Pool", "p"}}};
        EXPECT_FALSE(takeRelayTerms(request)) << version;
    }
    Http::HttpRequest request{.headers = {{"Relay-State-Version", "1"}}};
    EXPECT_FALSE(takeRelayTerms(request));
}

TEST(PeerRelayTest, ARefusalToHelpDiffersFromOneToTheCaller)
{
    auto const refusal = relayRefusal("busy");
    EXPECT_EQ(refusal.status, 503);
    EXPECT_EQ(readRelayRefusal(refusal.headers), "busy");
    EXPECT_FALSE(readRelayRefusal({{"Retry-After", "1"}}));
}
