#include "Tests/NodeProcesses/ServingFleet.h"
#include "Tests/NodeProcesses/SignalSeries.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using ItemEnd = ServingFleet::ItemEnd;

constexpr std::size_t ServerCount = 4;
/// `attempts` of the batch route.
constexpr std::size_t Attempts = 3;
/// An item may reach servers until they have answered it this often with 500, or with 422.
constexpr std::size_t MaxFailures = 3 * Attempts;
constexpr std::size_t MaxImpossible = 3;
constexpr Duration ItemSeriesTime = 25s;
constexpr Duration JobInterval = 700ms;
constexpr Duration PollInterval = 100ms;
/// From the end of the signals until all items are listed.
constexpr Duration FinishTime = 30s;

/// From an error response until the runners are killed. A runner that is killed earlier has not stored what it knows.
constexpr Duration TimeToStore = 200ms;
/// More than the error responses that are allowed, if there is one in each lifetime.
constexpr int Lifetimes = 6;

/// Seed of a series that is run by hand; otherwise that of CI.
std::uint64_t seed()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SEED");
    return text ? std::stoull(text) : 1;
}

/// Number of arrivals after the given number of rejections.
std::size_t arrivalsAfter(std::vector<Instant> const &arrivals, std::vector<Instant> const &rejections, std::size_t allowed)
{
    if (rejections.size() < allowed)
        return 0;
    auto const since = rejections[allowed - 1];
    return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](Instant arrival) { return arrival > since; }));
}

class SignalSeriesTest : public ::testing::Test
{
protected:
    /// Expects that items whose runs fail reach servers no more often than the rule allows.
    void expectBoundedRuns(ServingFleet::SubmittedJob const &job, std::vector<ItemEnd> const &ends)
    {
        for (std::size_t index = 0; index < ends.size(); ++index) {
            auto const &item = job.items[index];
            auto const rejections = fleet_.rejections(item);
            auto const allowed = ends[index] == ItemEnd::IsImpossible ? MaxImpossible : MaxFailures;
            if (ends[index] == ItemEnd::Completes)
                continue;
            EXPECT_EQ(arrivalsAfter(fleet_.arrivalsOf(item), rejections, allowed), 0U)
                << item << " got " << rejections.size() << (ends[index] == ItemEnd::Fails ? " times 500" : " times 422");
        }
    }

    ServingFleet fleet_{{.queueTime = 120s}};
};

// An item to which servers answer with an error each time is run again and again if the number of its failures is lost with the runner
// that owns it: killed, stopped and paused runners hand it over every second.
TEST_F(SignalSeriesTest, FailingItemsAreNotRepeatedOverChangesOfTheirOwner)
{
    fleet_.startServers(ServerCount);
    std::vector<NodeProcess *> runners;
    for (auto const *name : {"runner-1", "runner-2", "runner-3"})
        runners.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    auto const &entry = fleet_.startNode("entry-1");
    fleet_.waitUntilReady(entry);
    SignalSeries series({.seed = seed(), .processes = runners});
    std::vector<ServingFleet::SubmittedJob> jobs;
    std::vector<ItemEnd> const ends = {ItemEnd::Fails,
                                       ItemEnd::IsImpossible,
                                       ItemEnd::Completes,
                                       ItemEnd::Completes,
                                       ItemEnd::Fails,
                                       ItemEnd::IsImpossible,
                                       ItemEnd::Completes,
                                       ItemEnd::Completes};
    auto const begin = readLocalClock();
    auto nextJobAt = begin;
    while (readLocalClock() < begin + ItemSeriesTime) {
        auto const now = readLocalClock();
        if (now >= nextJobAt) {
            nextJobAt = now + JobInterval;
            if (auto job = fleet_.trySubmitJob(entry, ends))
                jobs.push_back(std::move(*job));
        }
        if (now >= series.nextAt()) {
            auto const signal = series.sendNext(now);
            if (!signal.empty())
                std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(now - begin).count() << " ms: " << signal << '\n';
        }
        fleet_.waitUntil(std::min({series.nextAt(), nextJobAt, begin + ItemSeriesTime}));
    }
    series.restoreAll();
    auto const finishAt = readLocalClock() + FinishTime;
    for (auto const &job : jobs) {
        std::map<std::string, std::string> states;
        while (states.size() < ends.size() && readLocalClock() < finishAt) {
            states = fleet_.readStates(entry, job.id).value_or(states);
            std::this_thread::sleep_for(PollInterval);
        }
        expectBoundedRuns(job, ends);
        for (std::size_t index = 0; index < ends.size(); ++index) {
            auto const &item = job.items[index];
            auto const state = states.contains(item) ? states.at(item) : "missing";
            EXPECT_EQ(state, ends[index] == ItemEnd::Completes ? "completed" : "dead_letter") << item;
            if (ends[index] == ItemEnd::Fails) {
                EXPECT_GE(fleet_.rejections(item).size(), Attempts) << item;
            }
        }
    }
}

// The same with all runners killed at once, each time after an item got an error response.
TEST_F(SignalSeriesTest, FailingItemsAreNotRepeatedOverKillsOfAllRunners)
{
    fleet_.startServers(ServerCount);
    std::vector<NodeProcess *> runners;
    for (auto const *name : {"runner-1", "runner-2"})
        runners.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    auto const &entry = fleet_.startNode("entry-1");
    fleet_.waitUntilReady(entry);
    std::vector<ItemEnd> const ends = {ItemEnd::Fails, ItemEnd::IsImpossible, ItemEnd::Completes};
    auto const job = fleet_.trySubmitJob(entry, ends);
    ASSERT_TRUE(job);
    std::size_t known = 0;
    for (int lifetime = 0; lifetime < Lifetimes; ++lifetime) {
        auto const isDone = [&] {
            return fleet_.readStates(entry, job->id).value_or(std::map<std::string, std::string>()).size() == ends.size();
        };
        auto const rejections = [&] { return fleet_.rejections(job->items[0]).size() + fleet_.rejections(job->items[1]).size(); };
        while (rejections() == known && !isDone())
            std::this_thread::sleep_for(PollInterval);
        std::this_thread::sleep_for(TimeToStore);
        known = rejections();
        for (auto *runner : runners)
            runner->kill();
        for (auto *runner : runners)
            runner->start();
    }
    expectBoundedRuns(*job, ends);
}

} // namespace
