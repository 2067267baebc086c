#include "Tests/NodeProcesses/KnownJob.h"
#include "Tests/NodeProcesses/ServingFleet.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <mutex>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using ItemEnd = ServingFleet::ItemEnd;

constexpr std::size_t Windows = 3;
constexpr std::size_t ItemsPerJob = 10;
constexpr Duration RunTime = 300ms;
constexpr std::chrono::seconds CompletionTarget = 8s;
constexpr Duration ReadTime = 300ms;
constexpr Duration KillInterval = 2s;
constexpr Duration DownTime = 300ms;
constexpr Duration FlapTime = 1s;
constexpr std::size_t ImpossibleItems = 8;
/// Runs of an item to which servers answer with 422, whether or not the answers arrive.
constexpr std::size_t MaxImpossibleRuns = 3;
/// Online requests that may fail, and the share of all that may fail besides.
constexpr std::size_t FailedRequestsAllowed = 5;
constexpr std::size_t RequestsPerFailureAllowed = 500;
/// The longest delay between probes with its spread, the interval of a trial and a run.
constexpr Duration RecoveryTime = 3s;

/// Time of each window in which servers fail: short in CI.
Duration windowTime()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SECONDS");
    return text ? Duration(std::chrono::seconds(std::stoll(text))) / static_cast<int>(Windows) : 3s;
}

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
        std::size_t servers = 12;
        /// Servers that fail at the same time.
        std::size_t failing = 2;
        std::size_t runners = 2;
        Duration jobInterval = 166ms;
        /// Between online requests for streams; unset for none.
        std::optional<Duration> streamInterval = {};
        /// Items that no server can run and whose error responses are lost, in one job.
        std::size_t impossibleItems = 0;
        Moment moment = Moment::AtOnce;
        Duration window = windowTime();
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
        fleet_.startServers(series.servers);
        for (std::size_t runner = 1; runner <= series.runners; ++runner)
            runners_.push_back(&fleet_.startNode("runner-" + std::to_string(runner), Serving::InstanceRole::Runner));
        entry_ = &fleet_.startNode("entry-1");
        fleet_.waitUntilReady(*entry_);
        fleet_.setBehaviour([this, pattern = series.pattern](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
            auto const position = positions_.try_emplace(server.id(), positions_.size()).first->second;
            bool const isFailing = position >= firstFailing_ && position < lastFailing_ && failsNow(pattern);
            if (isFailing) {
                ++failedSends_;
                return server.cut(run);
            }
            {
                std::lock_guard const guard(mutex_);
                servedAt_[position] = readLocalClock();
            }
            server.complete(run);
        });
        fleet_.setResponseFate([](Http::HttpRequest const &request) {
            return request.target.starts_with("/b/impossible/") ? ModelServer::ResponseFate::Reset : ModelServer::ResponseFate::Arrives;
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

    /// Submits jobs, and sends online requests, until then.
    void sendWork(Series const &series, Instant until)
    {
        auto nextKillAt = readLocalClock() + KillInterval;
        auto nextJobAt = readLocalClock();
        auto nextStreamAt = series.streamInterval ? nextJobAt : until;
        while (readLocalClock() < until) {
            auto const now = readLocalClock();
            if (series.kills == Kills::InTurn && now >= nextKillAt) {
                nextKillAt = now + KillInterval;
                killNextRunner();
            }
            if (now >= nextJobAt) {
                nextJobAt += series.jobInterval;
                submit(std::vector(ItemsPerJob, ItemEnd::Completes));
            }
            if (now >= nextStreamAt) {
                nextStreamAt += *series.streamInterval;
                startStream();
            }
            fleet_.waitUntil(std::min({nextJobAt, nextStreamAt, until}));
        }
    }

    void killNextRunner()
    {
        auto &runner = *runners_[kills_++ % runners_.size()];
        runner.kill();
        fleet_.waitUntil(readLocalClock() + DownTime);
        runner.start();
    }

    void submit(std::vector<ItemEnd> const &ends)
    {
        if (auto job = fleet_.trySubmitJob(*entry_, ends))
            jobs_.push_back({.job = std::move(*job), .acceptedAt = readLocalClock()});
    }

    void startStream()
    {
        auto const number = std::to_string(streams_.size());
        auto request = ServingFleet::plainRequest("/s/" + number, "body " + number);
        request.headers.set("Anvilyard-Attempt-Id", "k" + number);
        streams_.push_back(fleet_.sendKept(*entry_, std::move(request)));
    }

    /// Expects that all items of the jobs are completed although servers fail in turn meanwhile.
    void expectAllCompleted(Series const &series)
    {
        startFleet(series);
        sendWork(series, readLocalClock() + 500ms);
        if (series.impossibleItems > 0) {
            submit(std::vector(series.impossibleItems, ItemEnd::IsImpossible));
            impossible_ = jobs_.back().job.items;
            jobs_.pop_back();
        }
        for (std::size_t window = 0; window < Windows; ++window) {
            setFailing(window * series.failing % series.servers, series.failing);
            sendWork(series, readLocalClock() + series.window);
        }
        setFailing(0, 0);
        expectItemsCompleted();
        expectImpossibleItemsBounded();
        expectStreamsServed();
    }

    void expectItemsCompleted()
    {
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

    void expectImpossibleItemsBounded()
    {
        for (auto const &item : impossible_) {
            auto const runs = fleet_.rejections(item).size();
            std::cout << item << " 422: " << runs << '\n';
            EXPECT_LE(runs, MaxImpossibleRuns) << item;
        }
    }

    void expectStreamsServed()
    {
        std::map<std::string, std::size_t> outcomes;
        for (auto &stream : streams_) {
            auto const answer = stream.get().answer;
            bool const isWhole = answer && answer->status == 200 && answer->body.find("data: t0\n") != std::string::npos;
            ++outcomes[!answer ? "broken off" : isWhole ? "whole" : std::to_string(answer->status)];
        }
        for (auto const &[outcome, count] : outcomes)
            std::cout << "streams " << outcome << ": " << count << '\n';
        EXPECT_EQ(outcomes["broken off"], 0U);
        EXPECT_LE(streams_.size() - outcomes["whole"], FailedRequestsAllowed + streams_.size() / RequestsPerFailureAllowed);
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
    std::vector<std::string> impossible_;
    std::vector<std::future<ServingFleet::TimedAnswer>> streams_;
    std::size_t kills_ = 0;
    /// That reached failing servers. Used on the event loop.
    std::size_t requests_ = 0;
    /// Of servers, in the order of their first requests. Used on the event loop.
    std::map<std::string, std::size_t> positions_;
    std::mutex mutex_;
    /// When the servers last began to serve a request, by position.
    std::map<std::size_t, Instant> servedAt_;
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
    expectAllCompleted({.failing = 12, .window = 1s});
}

/// The same in a larger fleet, with more load on each server.
TEST_F(ServersThatFailWorkTest, ItemsAreCompletedWhereSomeOfManyServersResetThem)
{
    expectAllCompleted({.servers = 40, .failing = 6, .runners = 4, .jobInterval = 125ms});
}

/// Online requests meet the same servers. Guards against streams that are broken off or fail although other servers are sound.
TEST_F(ServersThatFailWorkTest, ItemsAndStreamsAreCompletedWhereFewServersResetThem)
{
    expectAllCompleted({.jobInterval = 250ms, .streamInterval = 16ms});
}

/// Guards against more runs of items whose errors are lost, for the sake of items that servers reset.
TEST_F(ServersThatFailWorkTest, ItemsWithLostErrorsAreNotRepeatedWhereFewServersResetItems)
{
    expectAllCompleted({.impossibleItems = ImpossibleItems});
}

/// Guards against servers that work again and are kept out of use.
TEST_F(ServersThatFailWorkTest, ServersThatWorkAgainAreUsedSoon)
{
    Series const series{.jobInterval = 125ms};
    startFleet(series);
    sendWork(series, readLocalClock() + 500ms);
    setFailing(0, series.failing);
    sendWork(series, readLocalClock() + series.window);
    setFailing(0, 0);
    auto const recoveredAt = readLocalClock();
    sendWork(series, recoveredAt + RecoveryTime);
    for (std::size_t position = 0; position < series.failing; ++position) {
        std::lock_guard const guard(mutex_);
        EXPECT_GT(servedAt_[position], recoveredAt) << position;
    }
    expectItemsCompleted();
}
