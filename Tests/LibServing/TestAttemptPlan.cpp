#include "LibServing/AttemptPlan.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;
using Routing::ExchangeFailed;
using Routing::NextStep;
using Routing::NotRunEvidence;
using Routing::Relayed;
using Routing::Repeatability;
using Routing::ServerErrorResponse;
using ::testing::ElementsAre;
using ::testing::IsEmpty;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
ServerId const serverA("a");
ServerId const serverB("b");
ServerId const serverC("c");

AttemptPlan planOf(Repeatability repeatability, std::uint32_t maxServers)
{
    return AttemptPlan({.repeatability = repeatability, .maxServers = maxServers, .latencyTarget = 300ms, .deadline = Start + 5s});
}

ExchangeFailed lostAnswer(Http::ConnectionUse connection = Http::ConnectionUse::Fresh)
{
    return {.reached = Http::Reached::Sent, .connection = connection};
}

ExchangeFailed unreached()
{
    return {.error = Http::HttpError::ConnectFailed, .reached = Http::Reached::NothingSent};
}

/// A resume of a stream, of which the caller has a part, that did not reach its server.
ExchangeFailed unreachedResume()
{
    return {.error = Http::HttpError::ConnectFailed, .reached = Http::Reached::NothingSent, .relayed = Relayed::Part};
}

ExchangeFailed brokenStream()
{
    return {.reached = Http::Reached::ResponseStarted, .relayed = Relayed::Part};
}

NextStep afterSend(AttemptPlan &plan, ServerId const &server, Routing::AttemptEnd const &end, Instant now = Start)
{
    plan.onSent(server);
    return plan.onEnded(server, end, now);
}

} // namespace

TEST(AttemptPlanTest, AnUnsafeRequestIsNotRetriedAfterItMayHaveRun)
{
    auto plan = planOf(Repeatability::Unsafe, 3);
    EXPECT_EQ(afterSend(plan, serverA, unreached()), NextStep::SendToOtherServer);
    EXPECT_FALSE(plan.mayHaveRun());
    EXPECT_EQ(afterSend(plan, serverB, ServerErrorResponse{.status = 503, .evidence = NotRunEvidence::Stated}),
              NextStep::SendToOtherServer);
    EXPECT_FALSE(plan.mayHaveRun());
    EXPECT_EQ(afterSend(plan, serverC, lostAnswer()), NextStep::Refuse);
    EXPECT_TRUE(plan.mayHaveRun());
}

/// A status without a statement of the server that the request was not executed does not prove that it did not run.
TEST(AttemptPlanTest, ARefusalWithoutNotExecutedMarkIsNotRetried)
{
    for (auto const status : {429, 503}) {
        auto plan = planOf(Repeatability::Unsafe, 3);
        EXPECT_EQ(afterSend(plan, serverA, ServerErrorResponse{.status = status, .evidence = NotRunEvidence::Withheld}),
                  NextStep::RelayResponse);
        EXPECT_TRUE(plan.mayHaveRun());
    }
}

TEST(AttemptPlanTest, ARequestRunsAtNoMoreServersThanItsRouteAllows)
{
    auto plan = planOf(Repeatability::Idempotent, 2);
    EXPECT_EQ(afterSend(plan, serverA, lostAnswer()), NextStep::SendToOtherServer);
    EXPECT_EQ(afterSend(plan, serverB, lostAnswer()), NextStep::Refuse);
    auto shed = planOf(Repeatability::Idempotent, 2);
    EXPECT_EQ(afterSend(shed, serverA, ServerErrorResponse{.status = 503, .evidence = NotRunEvidence::Stated}),
              NextStep::SendToOtherServer);
    EXPECT_EQ(afterSend(shed, serverB, lostAnswer()), NextStep::SendToOtherServer);
    EXPECT_EQ(shed.excluded(), (std::vector<ServerId>{serverA, serverB}));
}

TEST(AttemptPlanTest, TheErrorOfTheLastServerIsRelayed)
{
    auto plan = planOf(Repeatability::Idempotent, 1);
    EXPECT_EQ(afterSend(plan, serverA, ServerErrorResponse{.status = 500, .evidence = NotRunEvidence::Withheld}), NextStep::RelayResponse);
}

TEST(AttemptPlanTest, AReusedConnectionIsReplacedOnceBeforeAnotherServerIsTried)
{
    auto plan = planOf(Repeatability::Idempotent, 2);
    EXPECT_EQ(afterSend(plan, serverA, lostAnswer(Http::ConnectionUse::Reused)), NextStep::SendOnFreshConnection);
    EXPECT_EQ(afterSend(plan, serverA, lostAnswer(Http::ConnectionUse::Reused)), NextStep::SendToOtherServer);
}

TEST(AttemptPlanTest, AStreamIsResumedAtTheServersThatRanItOnceNoOtherMayRunIt)
{
    auto plan = planOf(Repeatability::Generation, 2);
    EXPECT_EQ(afterSend(plan, serverA, brokenStream()), NextStep::ResumeStream);
    EXPECT_THAT(plan.onlyServers(), IsEmpty());
    EXPECT_EQ(afterSend(plan, serverB, brokenStream()), NextStep::ResumeStream);
    EXPECT_THAT(plan.onlyServers(), ElementsAre(serverB, serverA));
    auto once = planOf(Repeatability::Unsafe, 2);
    EXPECT_EQ(afterSend(once, serverA, brokenStream()), NextStep::AbortResponse);
}

/// Guards against a stream that is sent only to its last server again, which has crashed or goes on failing it.
TEST(AttemptPlanTest, AServerThatFailsAStreamAgainComesAfterTheOthersThatRanIt)
{
    for (auto const &end : {brokenStream(), unreachedResume()}) {
        auto plan = planOf(Repeatability::Generation, 2);
        static_cast<void>(afterSend(plan, serverA, brokenStream()));
        static_cast<void>(afterSend(plan, serverB, brokenStream()));
        EXPECT_EQ(afterSend(plan, serverB, end), NextStep::ResumeStream);
        EXPECT_THAT(plan.onlyServers(), ElementsAre(serverA, serverB));
    }
}

/// Guards against counting a server that refused the connection as one that may have run the stream.
TEST(AttemptPlanTest, AStreamWhoseResumeReachedNoServerMayUseAnother)
{
    auto plan = planOf(Repeatability::Generation, 2);
    EXPECT_EQ(afterSend(plan, serverA, brokenStream()), NextStep::ResumeStream);
    EXPECT_EQ(afterSend(plan, serverB, unreachedResume()), NextStep::ResumeStream);
    EXPECT_THAT(plan.onlyServers(), IsEmpty());
    EXPECT_EQ(plan.excluded(), (std::vector{serverA, serverB}));
    EXPECT_EQ(afterSend(plan, serverC, brokenStream()), NextStep::ResumeStream);
    EXPECT_THAT(plan.onlyServers(), ElementsAre(serverC, serverA));
    EXPECT_FALSE(plan.mayUseAnotherServer());
}

TEST(AttemptPlanTest, NothingIsSentShortlyBeforeTheDeadline)
{
    auto plan = planOf(Repeatability::Idempotent, 3);
    EXPECT_EQ(afterSend(plan, serverA, unreached(), Start + 4980ms), NextStep::Refuse);
}

TEST(AttemptPlanTest, ResponseTimeoutLeavesTimeForASecondServer)
{
    auto plan = planOf(Repeatability::Generation, 2);
    EXPECT_EQ(plan.responseTimeout(true, Start), 180ms);
    EXPECT_EQ(plan.responseTimeout(false, Start), 900ms);
    static_cast<void>(afterSend(plan, serverA, lostAnswer()));
    EXPECT_EQ(plan.responseTimeout(true, Start), 5s) << "no other server may run the request";
    EXPECT_EQ(planOf(Repeatability::Unsafe, 2).responseTimeout(true, Start), 5s);
}

/// For any failures of servers, an unsafe request is not sent again after it may have run, and any other request runs at no more
/// servers than allowed.
RC_GTEST_PROP(AttemptPlanProperty, RunsAreBounded, ())
{
    auto const repeatability = *rc::gen::element(Repeatability::Unsafe, Repeatability::Idempotent, Repeatability::Generation);
    auto const maxServers = *rc::gen::inRange<std::uint32_t>(1, 4);
    auto plan = planOf(repeatability, maxServers);
    std::set<ServerId> ran;
    bool hasPart = false;
    ServerId server = serverA;
    for (int send = 0; send < 20; ++send) {
        auto const excluded = plan.excluded();
        plan.onSent(server);
        Routing::AttemptEnd end = unreached();
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            break;
        case 1:
            end = lostAnswer(*rc::gen::element(Http::ConnectionUse::Fresh, Http::ConnectionUse::Reused));
            break;
        case 2:
            end = ServerErrorResponse{.status = 500, .evidence = NotRunEvidence::Withheld};
            break;
        case 3:
            end = ServerErrorResponse{.status = 503, .evidence = NotRunEvidence::Stated};
            break;
        default:
            end = brokenStream();
            hasPart = true;
        }
        if (hasPart) {
            if (auto *broke = std::get_if<ExchangeFailed>(&end))
                broke->relayed = Relayed::Part;
        }
        if (Routing::runStateAfter(end) == Http::RunState::MayHaveRun)
            ran.insert(server);
        auto const step = plan.onEnded(server, end, Start);
        RC_ASSERT(ran.size() <= maxServers);
        if (!Routing::isRetry(step))
            break;
        RC_ASSERT(repeatability != Repeatability::Unsafe || ran.empty());
        if (step == NextStep::SendOnFreshConnection)
            continue;
        auto const only = plan.onlyServers();
        server = only.empty() ? ServerId("s" + std::to_string(send)) : *rc::gen::elementOf(only);
    }
}

/// Guards against a relayed stream that is broken off, or sent in a tight loop, while all servers are full.
TEST(AttemptPlanTest, AStreamThatNoServerTakesIsSentAgainAfterGrowingDelaysUntilItsDeadline)
{
    auto plan = planOf(Repeatability::Generation, 2);
    ServerErrorResponse const full{.status = 503, .evidence = NotRunEvidence::Stated};
    EXPECT_EQ(afterSend(plan, serverA, brokenStream()), NextStep::ResumeStream);
    EXPECT_EQ(afterSend(plan, serverB, full), NextStep::SendToOtherServer);
    EXPECT_EQ(plan.excluded(), (std::vector{serverA, serverB}));
    auto now = Start;
    auto lastDelay = Duration::zero();
    std::size_t sends = 0;
    while (auto const at = plan.resumeLater(now)) {
        EXPECT_GE(*at - now, lastDelay);
        EXPECT_LT(*at, Start + 5s);
        EXPECT_TRUE(plan.excluded().empty());
        lastDelay = *at - now;
        now = *at;
        EXPECT_EQ(afterSend(plan, serverB, full, now), NextStep::Refuse);
        ++sends;
    }
    EXPECT_GT(now, Start + 4s);
    EXPECT_LT(sends, 20U);
    EXPECT_TRUE(plan.mayUseAnotherServer());
    auto unsafe = planOf(Repeatability::Unsafe, 2);
    EXPECT_EQ(unsafe.resumeLater(Start), std::nullopt);
}

/// Guards against breaking a stream off because the one server asked after a wait has just died.
TEST(AttemptPlanTest, AStreamWhoseSendAfterAWaitReachedNoServerWaitsAgain)
{
    auto plan = planOf(Repeatability::Generation, 2);
    EXPECT_EQ(afterSend(plan, serverA, brokenStream()), NextStep::ResumeStream);
    auto now = Start;
    auto lastDelay = Duration::zero();
    std::size_t sends = 0;
    while (auto const at = plan.resumeLater(now)) {
        EXPECT_GE(*at - now, std::max(lastDelay, FirstResumeDelay));
        lastDelay = *at - now;
        now = *at;
        EXPECT_EQ(afterSend(plan, serverB, unreachedResume(), now), NextStep::Refuse);
        ++sends;
    }
    EXPECT_GT(now, Start + 4s);
    EXPECT_LT(sends, 20U);
    EXPECT_TRUE(plan.mayUseAnotherServer());
    auto broken = planOf(Repeatability::Generation, 2);
    EXPECT_EQ(afterSend(broken, serverA, brokenStream()), NextStep::ResumeStream);
    EXPECT_TRUE(broken.resumeLater(Start));
    EXPECT_EQ(afterSend(broken, serverB, brokenStream(), Start + FirstResumeDelay), NextStep::AbortResponse);
}
