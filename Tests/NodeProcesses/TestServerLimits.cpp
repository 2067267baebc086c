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
constexpr std::size_t ServerCount = 4;
constexpr std::size_t EntryCount = 5;
/// Requests a second that each server takes.
constexpr double Limit = 4;
constexpr char const *LimitText = "4.0";

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
            fleet_.startNode(name, Serving::InstanceRole::Runner);
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
            answers_.push_back(fleet_.send(*entries[answers_.size() % entries.size()], fleet_.requestOf({})));
        }
    }

    /// Number of answers with the status since the last call.
    std::size_t takeAnswers(int status)
    {
        std::size_t count = 0;
        for (auto &future : answers_) {
            auto const answer = future.get();
            count += answer && answer->status == status ? 1 : 0;
        }
        answers_.clear();
        return count;
    }

    void expectWithinLimits(std::size_t serverCount, Instant countedFrom)
    {
        auto const allowed =
            static_cast<std::size_t>(AllowedExcess * Limit * std::chrono::duration<double>(CountedPeriod).count()) + AllowedMore;
        for (std::size_t server = 0; server < serverCount; ++server)
            EXPECT_LE(mostIn(CountedPeriod, fleet_.arrivalsAt(serverName(server)), countedFrom), allowed) << serverName(server);
    }

    ServingFleet fleet_;
    std::vector<NodeProcess *> entries_;
    std::vector<std::future<ServingFleet::Answer>> answers_;
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
