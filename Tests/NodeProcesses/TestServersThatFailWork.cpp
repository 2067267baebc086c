#include "Tests/NodeProcesses/KnownJob.h"
#include "Tests/NodeProcesses/ServingFleet.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using ItemEnd = ServingFleet::ItemEnd;

constexpr std::size_t Servers = 12;
constexpr std::size_t FailingServers = 2;
constexpr std::size_t Windows = 3;
constexpr std::size_t ItemsPerJob = 10;
constexpr Duration JobInterval = 166ms;
constexpr Duration RunTime = 300ms;
constexpr std::chrono::seconds CompletionTarget = 8s;
constexpr Duration ReadTime = 300ms;
constexpr Duration KillInterval = 2s;
constexpr Duration DownTime = 300ms;
constexpr Duration FlapTime = 1s;

/// Batch jobs before servers of which some answer health checks and reset all requests for a while, other ones each time.
class ServersThatFailWorkTest : public ::testing::Test
{
protected:
    enum class Moment {
        AtOnce,
        AfterTheRun,
    };

    enum class Pattern {
        AllRequests,
        EverySecondRequest,
        /// All requests, and none, in turn.
        Flapping,
    };

    enum class Kills {
        None,
        /// Runners are killed in turn and started again.
        InTurn,
    };

    struct Series {
        Moment moment = Moment::AtOnce;
        /// Servers that fail at the same time.
        std::size_t failing = FailingServers;
        Duration window = 3s;
        Pattern pattern = Pattern::AllRequests;
        Kills kills = Kills::None;
    };

    void startFleet(Series const &series)
    {
        fleet_.setHeadMoment(ModelServer::HeadMoment::FirstEvent);
        bool const runsFirst = series.moment == Moment::AfterTheRun;
        fleet_.setPromptTime(runsFirst ? RunTime : 1ms);
        constexpr std::uint64_t Events = 10;
        fleet_.setStreams(runsFirst ? 1 : Events, RunTime / Events);
        fleet_.startServers(Servers);
        for (auto const *name : {"runner-1", "runner-2"})
            runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
        entry_ = &fleet_.startNode("entry-1");
        fleet_.waitUntilReady(*entry_);
        fleet_.setBehaviour([this, pattern = series.pattern](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
            auto const position = positions_.try_emplace(server.id(), positions_.size()).first->second;
            bool const isFailing = position >= firstFailing_ && position < lastFailing_ && failsNow(pattern);
            failedSends_ += isFailing ? 1 : 0;
            isFailing ? server.cut(run) : server.complete(run);
        });
    }

    bool failsNow(Pattern pattern)
    {
        switch (pattern) {
        case Pattern::AllRequests:
            return true;
        case Pattern::EverySecondRequest:
            return ++requests_ % 2 == 0;
        case Pattern::Flapping:
            return readLocalClock().time_since_epoch() / FlapTime % 2 == 0;
        }
        return false;
    }

    /// Submits jobs until then.
    void submitJobs(Instant until, Kills kills)
    {
        auto nextKillAt = readLocalClock() + KillInterval;
        while (readLocalClock() < until) {
            auto const now = readLocalClock();
            if (kills == Kills::InTurn && now >= nextKillAt) {
                nextKillAt = now + KillInterval;
                auto &runner = *runners_[kills_++ % runners_.size()];
                runner.kill();
                fleet_.waitUntil(now + DownTime);
                runner.start();
            }
            if (auto job = fleet_.trySubmitJob(*entry_, std::vector(ItemsPerJob, ItemEnd::Completes)))
                jobs_.push_back({.job = std::move(*job), .acceptedAt = readLocalClock()});
            fleet_.waitUntil(now + JobInterval);
        }
    }

    /// Expects that all items of the jobs are completed although servers fail in turn meanwhile.
    void expectAllCompleted(Series const &series)
    {
        startFleet(series);
        submitJobs(readLocalClock() + 500ms, Kills::None);
        for (std::size_t window = 0; window < Windows; ++window) {
            setFailing(window * series.failing % Servers, series.failing);
            submitJobs(readLocalClock() + series.window, series.kills);
        }
        setFailing(0, 0);
        auto const until = readLocalClock() + 2 * CompletionTarget;
        std::size_t items = 0;
        std::size_t missing = 0;
        for (auto &known : jobs_)
            readToTheEnd(fleet_, *entry_, known, until);
        for (auto &known : jobs_) {
            // Reading one that is not complete may have taken all the time.
            readToTheEnd(fleet_, *entry_, known, readLocalClock() + ReadTime);
            items += known.job.items.size();
            missing += known.job.items.size() - known.results.size();
            for (auto const &result : known.results)
                EXPECT_NE(result.find("completed"), std::string::npos) << result;
        }
        std::cout << items << " items, " << missing << " missing, " << failedSends_ << " failed sends\n";
        EXPECT_EQ(missing, 0U);
    }

    void setFailing(std::size_t first, std::size_t count)
    {
        lastFailing_ = 0;
        firstFailing_ = first;
        lastFailing_ = first + count;
    }

    ServingFleet fleet_{{.queueTime = 120s, .completionTarget = CompletionTarget}};
    std::vector<NodeProcess *> runners_;
    NodeProcess *entry_ = nullptr;
    std::vector<KnownJob> jobs_;
    std::size_t kills_ = 0;
    /// That reached failing servers. Used on the event loop.
    std::size_t requests_ = 0;
    /// Of servers, in the order of their first requests. Used on the event loop.
    std::map<std::string, std::size_t> positions_;
    std::atomic<std::size_t> firstFailing_ = 0;
    std::atomic<std::size_t> lastFailing_ = 0;
    std::atomic<std::size_t> failedSends_ = 0;
};

} // namespace

/// Guards against items that are never sent again, as each of their few sends went to a server that answers health checks and fails all
/// work.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereFewServersResetThem)
{
    expectAllCompleted({});
}

/// The same for servers that run the items first.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereFewServersRunAndResetThem)
{
    expectAllCompleted({.moment = Moment::AfterTheRun});
}

/// The same while runners are killed between the sends of an item.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereFewServersResetThemOverKills)
{
    expectAllCompleted({.kills = Kills::InTurn});
}

/// The same for servers that fail a part of the items, so that they answer now and then.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereFewServersResetHalfOfThem)
{
    expectAllCompleted({.pattern = Pattern::EverySecondRequest});
}

TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereFewServersResetThemEverySecondSecond)
{
    expectAllCompleted({.pattern = Pattern::Flapping});
}

/// The same if no server is sound for a while, so that none can be preferred.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedAfterAllServersResetThem)
{
    expectAllCompleted({.failing = Servers, .window = 1s});
}
