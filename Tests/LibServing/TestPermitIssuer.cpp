#include "LibServing/PermitIssuer.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

Instant const start(1h);
ServerProcess const server{.id = ServerId("a"), .startedAt = 10};

PermitRequest requestOf(double rate, Urgency urgency = Urgency::Highest)
{
    return {.server = server, .rate = RequestRate(rate), .urgency = urgency};
}

/// Number of permits that are granted if one is requested this often.
std::size_t grantedIn(PermitIssuer &issuer, PermitRequest const &request, Instant from, Instant until, Duration interval = 10ms)
{
    std::size_t granted = 0;
    for (auto now = from; now < until; now += interval)
        granted += issuer.request(request, now).isGranted ? 1 : 0;
    return granted;
}

} // namespace

/// Requests come all the time, or after a pause. Guards against more permits in four seconds than one and a half times the limit.
TEST(PermitIssuerTest, PermitsKeepToTheRate)
{
    for (auto const rate : {0.3, 1.0, 2.5, 40.0}) {
        PermitIssuer issuer;
        auto const allowed = static_cast<std::size_t>(1.5 * 4 * rate) + 5;
        auto const first = grantedIn(issuer, requestOf(rate), start, start + 4s);
        EXPECT_LE(first, allowed) << rate;
        EXPECT_GE(static_cast<double>(first) + 1, 4 * rate) << rate;
        EXPECT_LE(grantedIn(issuer, requestOf(rate), start + 30s, start + 34s), allowed) << rate;
    }
}

/// No permit is left. Guards against a wait after which there is none either.
TEST(PermitIssuerTest, APermitIsThereAfterTheStatedWait)
{
    for (auto const urgency : {Urgency::Highest, Urgency::Normal, Urgency::Batch}) {
        PermitIssuer issuer;
        auto const now = start + 10s;
        while (issuer.request(requestOf(2.5, urgency), now).isGranted) { }
        auto const denied = issuer.request(requestOf(2.5, urgency), now);
        EXPECT_GT(denied.wait, Duration(0));
        EXPECT_TRUE(issuer.request(requestOf(2.5, urgency), now + denied.wait).isGranted);
    }
}

/// Callers and items want permits all the time. Guards against items that take what callers need.
TEST(PermitIssuerTest, LessUrgentRequestsGetWhatIsLeft)
{
    PermitIssuer issuer;
    std::size_t urgent = 0;
    std::size_t items = 0;
    for (auto now = start; now < start + 20s; now += 20ms) {
        items += issuer.request(requestOf(2, Urgency::Batch), now).isGranted ? 1 : 0;
        urgent += issuer.request(requestOf(2, Urgency::Highest), now).isGranted ? 1 : 0;
    }
    EXPECT_GE(urgent, 40U);
    EXPECT_EQ(items, 0U);
    EXPECT_GE(grantedIn(issuer, requestOf(2, Urgency::Batch), start + 30s, start + 40s), 18U) << "no caller is left";
}

/// A server takes nothing, and then starts again. Guards against requests that never show it, and against debts of the earlier process.
TEST(PermitIssuerTest, AServerThatTakesNothingGetsARequestNowAndThen)
{
    PermitIssuer issuer;
    auto const granted = grantedIn(issuer, requestOf(0), start, start + 20s);
    EXPECT_GE(granted, 3U);
    EXPECT_LE(granted, 6U);
    auto next = requestOf(2);
    next.server.startedAt = 20;
    EXPECT_TRUE(issuer.request(next, start + 20s).isGranted);
}

/// The limit rises or falls. Guards against permits at the earlier rate.
TEST(PermitIssuerTest, AChangedLimitHoldsAtOnce)
{
    PermitIssuer issuer;
    grantedIn(issuer, requestOf(40), start, start + 4s);
    EXPECT_LE(grantedIn(issuer, requestOf(1), start + 4s, start + 8s), 6U);
    EXPECT_GE(grantedIn(issuer, requestOf(40), start + 8s, start + 12s), 150U);
}

/// Hundreds of servers have limits, one after the other. Guards against memory for all of them.
TEST(PermitIssuerTest, ServersWithoutRequestsAreForgotten)
{
    PermitIssuer issuer;
    for (int number = 0; number < 600; ++number) {
        PermitRequest const request{.server = {.id = ServerId("s" + std::to_string(number))}, .rate = RequestRate(1)};
        EXPECT_TRUE(issuer.request(request, start + number * 1s).isGranted);
    }
    EXPECT_LE(issuer.serverCount(), 61U);
}
