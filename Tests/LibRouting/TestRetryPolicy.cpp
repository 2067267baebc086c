#include "LibRouting/RetryBudget.h"
#include "LibRouting/RetryPolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Routing;
using Http::ConnectionUse;
using Http::HttpError;
using Http::Reached;
using Http::RunState;

namespace {

struct PolicyCase {
    char const *name;
    AttemptEnd end;
    RunState runState;
    NextStep never;
    NextStep unsafe;
    NextStep idempotent;
    NextStep generation;
};

constexpr auto Fresh = NextStep::SendOnFreshConnection;
constexpr auto Other = NextStep::SendToOtherServer;
constexpr auto Resume = NextStep::ResumeStream;
constexpr auto Relay = NextStep::RelayResponse;
constexpr auto Refuse = NextStep::Refuse;
constexpr auto AbortResponse = NextStep::AbortResponse;

ExchangeFailed exchangeFailed(HttpError error, Reached reached, ConnectionUse connection, Relayed relayed = Relayed::Nothing)
{
    return {.error = error, .reached = reached, .connection = connection, .relayed = relayed};
}

ServerErrorResponse errorResponse(int status, NotRunEvidence evidence)
{
    return {.status = status, .evidence = evidence};
}

constexpr auto NotRun = RunState::NotRun;
constexpr auto MayHaveRun = RunState::MayHaveRun;
constexpr auto Stated = NotRunEvidence::Stated;
constexpr auto None = NotRunEvidence::None;

PolicyCase const policyCases[] = {
    // clang-format off
    {"connect refused", exchangeFailed(HttpError::ConnectFailed, Reached::NothingSent, ConnectionUse::Fresh), NotRun, Other, Other, Other, Other},
    {"connect timed out", exchangeFailed(HttpError::ConnectTimeout, Reached::NothingSent, ConnectionUse::Fresh), NotRun, Other, Other, Other, Other},
    {"sent, closed, fresh", exchangeFailed(HttpError::ClosedEarly, Reached::Sent, ConnectionUse::Fresh), MayHaveRun, Refuse, Refuse, Other, Other},
    {"sent, closed, reused", exchangeFailed(HttpError::ClosedEarly, Reached::Sent, ConnectionUse::Reused), MayHaveRun, Refuse, Refuse, Fresh, Fresh},
    {"sent, silent, fresh", exchangeFailed(HttpError::Silent, Reached::Sent, ConnectionUse::Fresh), MayHaveRun, Refuse, Refuse, Other, Other},
    {"sent, silent, reused", exchangeFailed(HttpError::Silent, Reached::Sent, ConnectionUse::Reused), MayHaveRun, Refuse, Refuse, Fresh, Fresh},
    {"answer malformed", exchangeFailed(HttpError::Malformed, Reached::Sent, ConnectionUse::Fresh), MayHaveRun, Refuse, Refuse, Other, Other},
    {"answer cut, held back", exchangeFailed(HttpError::ClosedEarly, Reached::ResponseStarted, ConnectionUse::Fresh), MayHaveRun, Refuse, Refuse, Other, Other},
    {"answer cut, reused", exchangeFailed(HttpError::ClosedEarly, Reached::ResponseStarted, ConnectionUse::Reused), MayHaveRun, Refuse, Refuse, Fresh, Fresh},
    {"answer cut, part relayed", exchangeFailed(HttpError::ClosedEarly, Reached::ResponseStarted, ConnectionUse::Fresh, Relayed::Part), MayHaveRun, AbortResponse, AbortResponse, AbortResponse, Resume},
    {"resume not reached", exchangeFailed(HttpError::ConnectFailed, Reached::NothingSent, ConnectionUse::Fresh, Relayed::Part), NotRun, AbortResponse, AbortResponse, AbortResponse, Resume},
    {"429", errorResponse(429, None), NotRun, Relay, Other, Other, Other},
    {"503 stated not run", errorResponse(503, Stated), NotRun, Relay, Other, Other, Other},
    {"404 stated not run", errorResponse(404, Stated), NotRun, Relay, Other, Other, Other},
    {"400 stated not run", errorResponse(400, Stated), NotRun, Relay, Relay, Relay, Relay},
    {"404", errorResponse(404, None), MayHaveRun, Relay, Relay, Relay, Relay},
    {"500", errorResponse(500, None), MayHaveRun, Relay, Relay, Other, Other},
    {"502", errorResponse(502, None), MayHaveRun, Relay, Relay, Other, Other},
    {"503", errorResponse(503, None), MayHaveRun, Relay, Relay, Other, Other},
    {"504", errorResponse(504, None), MayHaveRun, Relay, Relay, Other, Other},
    // clang-format on
};

rc::Gen<AttemptEnd> anyEnd()
{
    return rc::gen::map(rc::gen::inRange<std::size_t>(0, std::size(policyCases)), [](std::size_t index) { return policyCases[index].end; });
}

rc::Gen<Repeatability> anyRepeatability()
{
    return rc::gen::element(Repeatability::Never, Repeatability::Unsafe, Repeatability::Idempotent, Repeatability::Generation);
}

bool wasSent(AttemptEnd const &end)
{
    auto const *exchange = std::get_if<ExchangeFailed>(&end);
    return !exchange || exchange->reached != Reached::NothingSent;
}

} // namespace

// Guards against retries that could run a request twice where that is not allowed: after an exchange that failed with the
// request sent, after a 503 without a statement that nothing ran, and after any response to a request that must never be
// repeated.
TEST(RetryPolicyTest, EachAttemptEndHasItsStepAndRunState)
{
    for (auto const &policy : policyCases) {
        EXPECT_EQ(nextStepAfter(policy.end, Repeatability::Never), policy.never) << policy.name;
        EXPECT_EQ(nextStepAfter(policy.end, Repeatability::Unsafe), policy.unsafe) << policy.name;
        EXPECT_EQ(nextStepAfter(policy.end, Repeatability::Idempotent), policy.idempotent) << policy.name;
        EXPECT_EQ(nextStepAfter(policy.end, Repeatability::Generation), policy.generation) << policy.name;
        EXPECT_EQ(runStateAfter(policy.end), policy.runState) << policy.name;
    }
}

// Guards against a resend of a request that must never be repeated after the server states that it did not run.
RC_GTEST_PROP(RetryPolicyProperty, NonRepeatableRequestIsSentOnce, ())
{
    auto const ends = *rc::gen::container<std::vector<AttemptEnd>>(anyEnd());
    int sends = 0;
    for (auto const &end : ends) {
        sends += wasSent(end) ? 1 : 0;
        RC_ASSERT(sends <= 1);
        if (!isRetry(nextStepAfter(end, Repeatability::Never)))
            break;
    }
}

// Guards against retries of an unsafe request after an attempt that may have run it.
RC_GTEST_PROP(RetryPolicyProperty, AnUnsafeRequestRunsAtMostOnce, ())
{
    auto const ends = *rc::gen::container<std::vector<AttemptEnd>>(anyEnd());
    int possibleRuns = 0;
    for (auto const &end : ends) {
        possibleRuns += runStateAfter(end) == RunState::MayHaveRun ? 1 : 0;
        RC_ASSERT(possibleRuns <= 1);
        if (!isRetry(nextStepAfter(end, Repeatability::Unsafe)))
            break;
    }
}

RC_GTEST_PROP(RetryPolicyProperty, NotRunIsReportedOnlyIfNothingWasSentOrTheServerStatesIt, ())
{
    auto const end = *anyEnd();
    if (runStateAfter(end) == RunState::MayHaveRun)
        return;
    auto const *response = std::get_if<ServerErrorResponse>(&end);
    RC_ASSERT((!wasSent(end) || (response && (response->status == 429 || response->evidence == NotRunEvidence::Stated))));
}

RC_GTEST_PROP(RetryPolicyProperty, NothingIsResentOncePartOfAResponseWasRelayed, ())
{
    auto const end = *anyEnd();
    auto const step = nextStepAfter(end, *anyRepeatability());
    auto const *exchange = std::get_if<ExchangeFailed>(&end);
    if (exchange && exchange->relayed == Relayed::Part)
        RC_ASSERT((step == NextStep::ResumeStream || step == NextStep::AbortResponse));
}

// Guards against an unbounded number of saved retries, and against retries without any left.
RC_GTEST_PROP(RetryBudgetProperty, RetriesStayABoundedShareOfFirstSends, ())
{
    RetryBudgetOptions const options{.perRequest = 0.1, .perSecond = 1, .maxSaved = 20};
    Instant now{};
    RetryBudget budget(options, now);
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    double first = 0;
    double retries = 0;
    for (auto const step : steps) {
        if (step == 0) {
            budget.onFirstSend();
            first += 1;
        } else if (step == 1) {
            now += 100ms;
        } else {
            retries += budget.tryTake(now) ? 1 : 0;
        }
        auto const elapsed = std::chrono::duration<double>(now - Instant{}).count();
        RC_ASSERT(retries <= options.maxSaved + options.perRequest * first + options.perSecond * elapsed + 1e-6);
    }
}

TEST(RetryBudgetTest, RetriesAddAtMostATenthDuringABrownOut)
{
    Instant now{};
    RetryBudget budget({}, now);
    double retries = 0;
    // A thousand requests a second, and every attempt fails.
    for (int request = 0; request < 60'000; ++request) {
        now += 1ms;
        budget.onFirstSend();
        while (budget.tryTake(now))
            retries += 1;
    }
    EXPECT_LE(retries / 60'000, 0.102);
}
