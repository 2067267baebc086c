#include "LibRouting/ServerHealth.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Routing;

namespace {

std::map<ServerId, PoolName> pool(int count)
{
    std::map<ServerId, PoolName> servers;
    for (int number = 0; number < count; ++number)
        servers.emplace(ServerId(std::to_string(number)), PoolName("engines"));
    return servers;
}

ServerHealth health(int count)
{
    ServerHealth health({}, RandomSource(1));
    health.setServers(pool(count));
    return health;
}

ServerId const first("0");

void failOften(ServerHealth &health, ServerId const &server, Instant now)
{
    for (int failure = 0; failure < 20; ++failure)
        health.onEvidence(server, ServerEvidence::FreshConnectionFailed, now);
}

} // namespace

// Guards against ejecting more servers than the configured share of a pool.
RC_GTEST_PROP(ServerHealthProperty, AtMostABoundedShareIsEverEjected, ())
{
    auto const count = *rc::gen::inRange(1, 30);
    auto subject = health(count);
    Instant now{};
    auto const steps =
        *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 30), rc::gen::inRange(0, 7)));
    auto const maxEjected = std::max(count >= 2 ? 1 : 0, static_cast<int>(count * 0.34));
    for (auto const &[number, kind] : steps) {
        ServerId const server(std::to_string(number % count));
        if (kind < 4)
            failOften(subject, server, now);
        else if (kind == 4)
            subject.onEvidence(server, ServerEvidence::Answered, now);
        else if (kind == 5)
            subject.onTick(now += 1s);
        else
            subject.onProbe(server, number % 2 == 0 ? ProbeOutcome::Answered : ProbeOutcome::Failed, now);
        RC_ASSERT(static_cast<int>(subject.ejected().size()) <= maxEjected);
    }
}

// Guards against ejecting a server because old connections to it failed.
TEST(ServerHealthTest, FailedReusedConnectionsAreNoEvidence)
{
    auto subject = health(9);
    for (int failure = 0; failure < 1000; ++failure)
        EXPECT_TRUE(subject.onEvidence(first, ServerEvidence::ReusedConnectionFailed, Instant{}).empty());
    EXPECT_TRUE(subject.ejected().empty());
}

TEST(ServerHealthTest, ThreeFailedFreshConnectionsInARowEject)
{
    auto subject = health(9);
    Instant const now{};
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    subject.onEvidence(first, ServerEvidence::Answered, now);
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    EXPECT_TRUE(subject.ejected().empty());
    auto const actions = subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ServerEjected>(actions[0]));
    EXPECT_EQ(subject.ejected(), std::set<ServerId>{first});
}

TEST(ServerHealthTest, EvidenceExpires)
{
    auto subject = health(9);
    Instant now{};
    for (int failure = 0; failure < 10; ++failure, now += 31s)
        subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    EXPECT_TRUE(subject.ejected().empty());
}

TEST(ServerHealthTest, ErrorResponsesEject)
{
    auto subject = health(9);
    for (int answer = 0; answer < 12; ++answer)
        subject.onEvidence(first, ServerEvidence::ErrorResponse, Instant{});
    EXPECT_EQ(subject.ejected().size(), 1U);
}

TEST(ServerHealthTest, TheOnlyServerOfAPoolIsNeverEjected)
{
    auto subject = health(1);
    failOften(subject, first, Instant{});
    EXPECT_TRUE(subject.ejected().empty());
}

TEST(ServerHealthTest, ProbesBackOffAndRestoreTheServer)
{
    auto subject = health(9);
    Instant now{};
    failOften(subject, first, now);
    Duration lastWait{0};
    for (int probe = 0; probe < 4; ++probe) {
        auto const due = subject.nextTick();
        ASSERT_TRUE(due);
        EXPECT_GT(*due - now, lastWait);
        lastWait = *due - now;
        now = *due;
        EXPECT_TRUE(std::holds_alternative<ProbeServer>(subject.onTick(now).at(0)));
        EXPECT_TRUE(subject.onTick(now).empty()) << "one probe at a time";
        EXPECT_TRUE(subject.onProbe(first, ProbeOutcome::Failed, now).empty());
    }
    now = *subject.nextTick();
    subject.onTick(now);
    EXPECT_TRUE(std::holds_alternative<ServerRestored>(subject.onProbe(first, ProbeOutcome::Answered, now).at(0)));
    EXPECT_TRUE(subject.ejected().empty());
    // A probe exercises less than a request does, so the next failure ejects the server again.
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    EXPECT_EQ(subject.ejected().size(), 1U);
}

TEST(ServerHealthTest, LateResponseDoesNotRestoreAnEjectedServer)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    subject.onEvidence(first, ServerEvidence::Answered, Instant{});
    EXPECT_EQ(subject.ejected().size(), 1U);
}

TEST(ServerHealthTest, RestoringAServerAllowsEjectingAnother)
{
    auto subject = health(2);
    Instant now{};
    ServerId const second("1");
    failOften(subject, first, now);
    failOften(subject, second, now);
    EXPECT_EQ(subject.ejected(), std::set<ServerId>{first});
    now = *subject.nextTick();
    subject.onTick(now);
    subject.onProbe(first, ProbeOutcome::Answered, now);
    EXPECT_EQ(subject.ejected(), std::set<ServerId>{second});
}

namespace {

/// Lets the next probe of an ejected server end so. Returns when.
Instant endProbe(ServerHealth &health, ServerId const &server, ProbeOutcome outcome)
{
    auto const due = *health.nextTick();
    health.onTick(due);
    health.onProbe(server, outcome, due);
    return due;
}

Instant restore(ServerHealth &health, ServerId const &server)
{
    return endProbe(health, server, ProbeOutcome::Answered);
}

/// Lets the probes of an ejected server fail in this way until it is in use. Returns when, or `std::nullopt` if it is not by then.
std::optional<Instant> failProbes(ServerHealth &health, ServerId const &server, ProbeOutcome outcome, Instant until)
{
    for (Instant now{}; now < until;) {
        now = endProbe(health, server, outcome);
        if (!health.ejected().contains(server))
            return now;
    }
    return std::nullopt;
}

std::vector<ServerId> const none;
std::vector<ServerId> const onlyFirst{first};

} // namespace

// Guards against a server that answers probes and fails all requests, and that is in use most of the time.
TEST(ServerHealthTest, AServerThatFailsAfterEachProbeIsProbedLessOftenEachTime)
{
    auto subject = health(9);
    Instant now{};
    failOften(subject, first, now);
    Duration lastWait{0};
    for (int restored = 0; restored < 4; ++restored) {
        auto const due = restore(subject, first);
        EXPECT_GT(due - now, lastWait);
        lastWait = due - now;
        now = due;
        auto const actions = subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_EQ(std::get<ServerEjected>(actions[0]).ejections, static_cast<std::uint32_t>(restored) + 2);
    }
    // An answered request ends the series.
    now = restore(subject, first);
    subject.onAnswered(first, now, now);
    failOften(subject, first, now);
    EXPECT_LE(*subject.nextTick() - now, 1250ms);
}

// Guards against sending all requests to a server of which it is only known that it answers probes.
TEST(ServerHealthTest, ARestoredServerGetsSingleRequestsUntilItHasAnsweredOne)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    EXPECT_EQ(subject.avoided(SendsLeft::Some, Instant{}), none) << "it is not in use";
    auto now = restore(subject, first);
    EXPECT_EQ(subject.onTrial(), std::set<ServerId>{first});
    EXPECT_EQ(subject.avoided(SendsLeft::Some, now), none);
    EXPECT_EQ(subject.avoided(SendsLeft::None, now), onlyFirst);
    subject.onSent(first, now);
    EXPECT_EQ(subject.avoided(SendsLeft::Some, now += 100ms), onlyFirst);
    EXPECT_EQ(subject.avoided(SendsLeft::Some, now + 500ms), none) << "the request may hang";
    subject.onAnswered(first, now, now);
    EXPECT_TRUE(subject.onTrial().empty());
    EXPECT_EQ(subject.avoided(SendsLeft::None, now), none);
}

// Guards against a server that is never used again where all requests can be sent only once.
TEST(ServerHealthTest, ATrialWithoutRepeatableRequestsIsOpenedToOthers)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    auto const now = restore(subject, first);
    EXPECT_EQ(subject.avoided(SendsLeft::None, now + 2900ms), onlyFirst);
    EXPECT_EQ(subject.avoided(SendsLeft::None, now + 3s), none);
}

// Guards against taking the end of an older stream, or a rejection, for an answer of a server that fails all new requests.
TEST(ServerHealthTest, OnlyAnAnswerToANewRequestEndsATrial)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    auto const now = restore(subject, first);
    subject.onAnswered(first, now - 1ms, now + 1ms);
    subject.onEvidence(first, ServerEvidence::Responded, now + 2ms);
    EXPECT_EQ(subject.onTrial(), std::set<ServerId>{first});
    // However late, one failure is enough.
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now + 40s);
    EXPECT_EQ(subject.ejected(), std::set<ServerId>{first});
}

// Guards against a server that serves requests and answers no health checks, and that is never used again once it was ejected.
TEST(ServerHealthTest, AServerThatAcceptsConnectionsIsTriedWithoutAnAnsweredProbe)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    auto const restoredAt = failProbes(subject, first, ProbeOutcome::Unhealthy, Instant(1min));
    ASSERT_TRUE(restoredAt);
    EXPECT_GE(*restoredAt, Instant(5s));
    EXPECT_EQ(subject.onTrial(), std::set<ServerId>{first});
    subject.onAnswered(first, *restoredAt, *restoredAt);
    EXPECT_TRUE(subject.onTrial().empty());
}

TEST(ServerHealthTest, AServerThatAcceptsNoConnectionsIsNotTried)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    EXPECT_FALSE(failProbes(subject, first, ProbeOutcome::Failed, Instant(10min)));
}

// Guards against requests that a server fails in each trial as long as it hangs.
TEST(ServerHealthTest, AServerThatFailsItsTrialsIsTriedLessOftenEachTime)
{
    auto subject = health(9);
    failOften(subject, first, Instant{});
    std::vector<Instant> trials;
    for (int trial = 0; trial < 3; ++trial) {
        auto const at = failProbes(subject, first, ProbeOutcome::Unhealthy, Instant(10min));
        ASSERT_TRUE(at);
        trials.push_back(*at);
        subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, *at);
        ASSERT_EQ(subject.ejected(), std::set<ServerId>{first});
    }
    EXPECT_GE(trials[1] - trials[0], 10s);
    EXPECT_GE(trials[2] - trials[1], 20s);
}

// Guards against a pool of which the servers that were ejected are never used again, as none answers health checks.
TEST(ServerHealthTest, AllServersOfAPoolWithoutAnsweredProbesAreTried)
{
    constexpr int Servers = 9;
    auto subject = health(Servers);
    Instant now{};
    for (auto const &[server, pool] : pool(Servers))
        failOften(subject, server, now);
    EXPECT_FALSE(subject.ejected().empty());
    while (!subject.ejected().empty() && now < Instant(1min)) {
        now = *subject.nextTick();
        for (auto const &action : subject.onTick(now)) {
            if (auto const *due = std::get_if<ProbeServer>(&action))
                subject.onProbe(due->server, ProbeOutcome::Unhealthy, now);
        }
        for (auto const &server : subject.onTrial())
            subject.onAnswered(server, now, now);
    }
    EXPECT_TRUE(subject.ejected().empty());
}

// A server resets new requests at once while the streams that it has go on. Guards against clearing each failure with their events, so that
// the server is not ejected before the last of them has ended.
TEST(ServerHealthTest, AnAnswerToAnOlderRequestClearsNoFailure)
{
    auto subject = health(9);
    Instant now{1min};
    auto const sentAt = now - 1s;
    for (int failure = 0; failure < 3; ++failure, now += 100ms) {
        subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
        subject.onAnswered(first, sentAt, now + 30ms);
    }
    EXPECT_EQ(subject.ejected(), std::set<ServerId>{first});
}

// Guards against the last send of a request to a server that has just failed another one.
TEST(ServerHealthTest, ARequestWithoutSendsLeftAvoidsServersThatFailedTheLastOne)
{
    auto subject = health(9);
    Instant const now{1min};
    subject.onEvidence(first, ServerEvidence::FreshConnectionFailed, now);
    EXPECT_EQ(subject.avoided(SendsLeft::None, now), onlyFirst);
    EXPECT_EQ(subject.avoided(SendsLeft::Some, now), none) << "one failure ejects no server";
    EXPECT_EQ(subject.avoided(SendsLeft::None, now + 1min), none);
    subject.onAnswered(first, now, now + 1ms);
    EXPECT_EQ(subject.avoided(SendsLeft::None, now + 1ms), none);
}
