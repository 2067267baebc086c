#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 3s;
/// Requests to a limited server are counted in any period of this length.
constexpr Duration CountedPeriod = 4s;
/// A limited server may get this multiple of what its limit allows in a period, and a few requests more.
constexpr double AllowedExcess = 1.5;
constexpr std::size_t AllowedMore = 5;
/// Share of the allowance that servers get at least while callers send more than all servers take.
constexpr double MinUsedShare = 0.5;
/// A request that cannot be served is refused long before its callers lose patience, which is after the latency target of 300 ms.
constexpr Duration MaxRefusalTime = 300ms;
constexpr std::size_t ServerCount = 4;
constexpr std::size_t EntryCount = 5;
/// Requests a second that each server takes.
constexpr double Limit = 4;
constexpr char const *LimitText = "4.0";

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Answers {
    std::size_t all = 0;
    std::size_t served = 0;
    /// Refused without having run, with a time to return.
    std::size_t refusedWithTime = 0;
    Duration longestRefusal{0};
};

/// Most arrivals in any period of the length, of those from a time on.
std::size_t mostIn(Duration period, std::vector<Instant> const &arrivals, Instant from)
{
    std::size_t most = 0;
    for (auto begin = std::lower_bound(arrivals.begin(), arrivals.end(), from); begin != arrivals.end(); ++begin) {
        auto const end = std::lower_bound(begin, arrivals.end(), *begin + period);
        most = std::max(most, static_cast<std::size_t>(end - begin));
    }
    return most;
}

class ServerLimitTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        fleet_.startServers(ServerCount);
        for (auto const *name : {"runner-1", "runner-2"})
            runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
        for (std::size_t number = 1; number <= EntryCount; ++number)
            entries_.push_back(&fleet_.startNode("entry-" + std::to_string(number)));
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
    }

    static std::string serverName(std::size_t number)
    {
        return "i-" + std::to_string(number);
    }

    void setLimits(std::size_t serverCount, std::optional<std::string> const &limit)
    {
        for (std::size_t server = 0; server < serverCount; ++server)
            fleet_.setLimit(serverName(server), limit);
    }

    /// Sends requests one after the other to the entries in turn, at an even rate, for a time. The answers are kept.
    void sendFor(Duration time, std::vector<NodeProcess *> const &entries, double requestsPerSecond)
    {
        auto const begin = readLocalClock();
        auto const interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requestsPerSecond));
        for (auto at = begin; at < begin + time; at += interval) {
            fleet_.waitUntil(at);
            answers_.push_back(fleet_.sendTimed(*entries[answers_.size() % entries.size()], fleet_.requestOf({})));
        }
    }

    /// Waits for the answers since the last call.
    Answers takeAnswers()
    {
        Answers answers;
        for (auto &future : std::exchange(answers_, {})) {
            auto const [answer, took] = future.get();
            ++answers.all;
            answers.served += answer && answer->status == 200 ? 1 : 0;
            if (!answer || answer->status != 503)
                continue;
            answers.refusedWithTime += answer->headers.contains("Retry-After") ? 1 : 0;
            answers.longestRefusal = std::max(answers.longestRefusal, took);
        }
        return answers;
    }

    void expectWithinLimits(std::size_t serverCount, Instant countedFrom)
    {
        auto const allowed = static_cast<std::size_t>(AllowedExcess * Limit * toSeconds(CountedPeriod)) + AllowedMore;
        for (std::size_t server = 0; server < serverCount; ++server)
            EXPECT_LE(mostIn(CountedPeriod, fleet_.arrivalsAt(serverName(server)), countedFrom), allowed) << serverName(server);
    }

    ServingFleet fleet_;
    std::vector<NodeProcess *> entries_;
    std::vector<NodeProcess *> runners_;
    std::vector<std::future<ServingFleet::TimedAnswer>> answers_;
};

} // namespace

/// Some servers name a limit while all entries send there. Guards against instances that each keep the limit, or none, so that a server
/// gets more than it takes.
TEST_F(ServerLimitTest, LimitedServersGetNoMoreRequestsThanTheyNamed)
{
    sendFor(1s, entries_, 60);
    setLimits(2, LimitText);
    auto const namedAt = readLocalClock();
    sendFor(ContactTime + CountedPeriod + 2s, entries_, 60);
    expectWithinLimits(2, namedAt + ContactTime);
}

/// All servers name a limit, and callers send far more than that. Guards against refusals that wait for the deadline, give no time to
/// return, or leave servers idle.
TEST_F(ServerLimitTest, TheAllowanceOfAllServersIsUsedAndTheRestRefusedAtOnce)
{
    sendFor(1s, entries_, 60);
    setLimits(ServerCount, LimitText);
    auto const namedAt = readLocalClock();
    sendFor(ContactTime, entries_, 60);
    takeAnswers();
    sendFor(CountedPeriod, entries_, 60);
    expectWithinLimits(ServerCount, namedAt + ContactTime);
    auto const answers = takeAnswers();
    EXPECT_GE(static_cast<double>(answers.served), MinUsedShare * ServerCount * Limit * toSeconds(CountedPeriod));
    EXPECT_EQ(answers.served + answers.refusedWithTime, answers.all);
    EXPECT_LE(answers.longestRefusal, MaxRefusalTime);
}

/// One entry has all the traffic. Guards against shares of the limit that lie idle at the others.
TEST_F(ServerLimitTest, OneEntryMayUseTheAllowanceOfAll)
{
    std::vector<NodeProcess *> const entry{entries_.front()};
    sendFor(1s, entry, 40);
    setLimits(ServerCount, LimitText);
    auto const namedAt = readLocalClock();
    sendFor(ContactTime, entry, 40);
    takeAnswers();
    sendFor(CountedPeriod, entry, 40);
    expectWithinLimits(ServerCount, namedAt + ContactTime);
    EXPECT_GE(static_cast<double>(takeAnswers().served), MinUsedShare * ServerCount * Limit * toSeconds(CountedPeriod));
}

/// A limit is changed, and then ends, while instances start again. Guards against instances that go on with what was stated before.
TEST_F(ServerLimitTest, ChangesAndTheEndOfALimitReachAllInstances)
{
    setLimits(ServerCount, "1.0");
    sendFor(ContactTime, entries_, 60);
    setLimits(ServerCount, LimitText);
    auto const changedAt = readLocalClock();
    entries_.front()->kill();
    entries_.front()->start();
    sendFor(ContactTime, entries_, 60);
    takeAnswers();
    sendFor(CountedPeriod, entries_, 60);
    expectWithinLimits(ServerCount, changedAt + ContactTime);
    EXPECT_GE(static_cast<double>(takeAnswers().served), MinUsedShare * ServerCount * Limit * toSeconds(CountedPeriod));
    setLimits(ServerCount, std::nullopt);
    sendFor(ContactTime, entries_, 60);
    takeAnswers();
    sendFor(1s, entries_, 60);
    auto const answers = takeAnswers();
    EXPECT_EQ(answers.served, answers.all);
}

/// The runner that issues the permits is killed, or all entries are. Guards against a server that gets its limit once from each that issues
/// permits, and against refusals until the runner is back.
TEST_F(ServerLimitTest, LimitsHoldWhileInstancesAreKilled)
{
    sendFor(1s, entries_, 60);
    setLimits(ServerCount, LimitText);
    auto const namedAt = readLocalClock();
    sendFor(ContactTime, entries_, 60);
    takeAnswers();
    runners_.front()->kill();
    sendFor(2s, entries_, 60);
    takeAnswers();
    sendFor(CountedPeriod, entries_, 60);
    EXPECT_GE(static_cast<double>(takeAnswers().served), MinUsedShare * ServerCount * Limit * toSeconds(CountedPeriod));
    runners_.front()->start();
    for (auto *entry : entries_)
        entry->kill();
    for (auto *entry : entries_)
        entry->start();
    for (auto const *entry : entries_)
        fleet_.waitUntilReady(*entry);
    sendFor(ContactTime + CountedPeriod, entries_, 60);
    expectWithinLimits(ServerCount, namedAt + ContactTime);
}

/// Limits that are no rates, none at all, or more than any server could take. Guards against a fleet that stops at one of them.
TEST_F(ServerLimitTest, StrangeLimitsDoNotStopTheFleet)
{
    for (auto const *limit : {"-3", "nan", "many", "1000000000000"}) {
        setLimits(ServerCount, limit);
        sendFor(1s, entries_, 40);
        auto const answers = takeAnswers();
        EXPECT_EQ(answers.served, answers.all) << limit;
    }
    setLimits(ServerCount, "0");
    sendFor(ContactTime, entries_, 40);
    takeAnswers();
    sendFor(1s, entries_, 40);
    auto const refused = takeAnswers();
    EXPECT_EQ(refused.served + refused.refusedWithTime, refused.all);
    EXPECT_LE(refused.longestRefusal, MaxRefusalTime);
    setLimits(ServerCount, std::nullopt);
    // A server that takes no request gets one now and then, so that the end of the limit shows.
    sendFor(6s, entries_, 40);
    takeAnswers();
    sendFor(1s, entries_, 40);
    auto const answers = takeAnswers();
    EXPECT_EQ(answers.served, answers.all);
}

/// Items and callers want the same servers, which have limits. Guards against items that take what callers need, and against items that
/// are sent without a permit.
TEST_F(ServerLimitTest, ItemsGoWithoutBeforeCallersDo)
{
    setLimits(ServerCount, LimitText);
    sendFor(ContactTime, entries_, 12);
    takeAnswers();
    auto const job = fleet_.submitJob(*entries_.front(), 40);
    auto const from = readLocalClock();
    sendFor(CountedPeriod, entries_, 12);
    auto const answers = takeAnswers();
    EXPECT_GE(answers.served * 10, answers.all * 9) << "callers send three quarters of what the servers take";
    expectWithinLimits(ServerCount, from);
}
