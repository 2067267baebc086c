#include "Tests/NodeProcesses/KnownJob.h"
#include "Tests/NodeProcesses/SignalSeries.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace json = boost::json;

namespace {

using ItemEnd = ServingFleet::ItemEnd;

constexpr std::size_t ServerCount = 4;
/// `attempts` of the batch route.
constexpr std::size_t Attempts = 3;
/// An item may reach servers until they have answered it this often with 500, or with 422.
constexpr std::size_t MaxFailures = 3 * Attempts;
constexpr std::size_t MaxImpossible = 3;
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

/// Time of a series: short in CI.
Duration seriesTime()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SECONDS");
    return std::chrono::seconds(text ? std::stoll(text) : 12);
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
    while (readLocalClock() < begin + seriesTime()) {
        auto const now = readLocalClock();
        if (now >= nextJobAt) {
            nextJobAt = now + JobInterval;
            if (auto job = fleet_.trySubmitJob(entry, ends))
                jobs.push_back(std::move(*job));
        }
        if (now >= series.nextAt()) {
            series.sendNext(now);
        }
        fleet_.waitUntil(std::min({series.nextAt(), nextJobAt, begin + seriesTime()}));
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

constexpr Duration ContactTime = 3s;
constexpr std::size_t CrashesBeforeBound = 3;
constexpr std::size_t MaxArrivalsAfterBound = 3;
constexpr std::size_t CrashServerCount = 8;
constexpr Duration RequestInterval = 50ms;

// A request that crashes the servers which run it comes again at entries that are killed, stopped, paused and restarted in series. The
// evidence against it is lost if it ends with the processes that hold it.
TEST_F(SignalSeriesTest, ACrashingRequestIsNotRepeatedOverRestartsOfInstances)
{
    fleet_.startServers(CrashServerCount, ModelServer::ResponseForm::Whole);
    std::vector<NodeProcess *> entries;
    for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4"})
        entries.push_back(&fleet_.startNode(name));
    auto processes = entries;
    for (auto const *name : {"runner-1", "runner-2"})
        processes.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    for (auto const *entry : entries)
        fleet_.waitUntilReady(*entry);
    auto crashing = ServingFleet::plainRequest("/q/crash", "crash");
    fleet_.addCrashingRequest(crashing);
    RandomSource random(seed());
    SignalSeries series({.seed = seed(), .processes = processes, .minPause = 200ms, .maxPause = 1200ms, .minRunning = 2});
    auto const begin = readLocalClock();
    std::vector<std::pair<std::string, std::future<ServingFleet::Answer>>> inTouch;
    std::vector<std::future<ServingFleet::Answer>> others;
    std::size_t arrivals = 0;
    int number = 0;
    while (readLocalClock() < begin + seriesTime()) {
        auto const now = readLocalClock();
        if (now >= series.nextAt())
            series.sendNext(now);
        auto const &entry = *entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(random)];
        if (series.isRunning(entry)) {
            auto request = ++number % 3 == 0 ? crashing : ServingFleet::plainRequest("/q/sound", "sound");
            auto const id = "c" + std::to_string(number);
            request.headers.set("Anvilyard-Attempt-Id", id);
            auto const crashes = fleet_.crashes(crashing);
            bool const isCounted = number % 3 == 0 && crashes.size() >= CrashesBeforeBound
                && now > crashes[CrashesBeforeBound - 1] + ContactTime && series.isCalm(entry, ContactTime, now);
            auto answer = fleet_.send(entry, std::move(request));
            if (isCounted)
                inTouch.emplace_back(id, std::move(answer));
            else
                others.push_back(std::move(answer));
        }
        std::this_thread::sleep_for(RequestInterval);
    }
    series.restoreAll();
    for (auto &[id, answer] : inTouch) {
        answer.wait();
        arrivals += fleet_.arrivalsOf(id).size();
    }
    std::size_t served = 0;
    for (auto &answer : others) {
        auto const result = answer.get();
        served += result && result->status == 200 ? 1 : 0;
    }
    std::cout << "crashes " << fleet_.crashes(crashing).size() << ", sent in touch " << inTouch.size() << ", arrived " << arrivals
              << ", sound served " << served << " of " << others.size() << '\n';
    EXPECT_GT(inTouch.size(), 0U);
    EXPECT_LE(arrivals, MaxArrivalsAfterBound);
}

constexpr Duration ReadInterval = 120ms;
constexpr Duration FaultInterval = 2s;
/// Part of the time in which the store fails.
constexpr Duration MaxOutage = 1s;
/// Time from the acceptance of a job in which entries may not find it.
constexpr Duration SettleTime = 2s;

// Accepted jobs are read, and run to their end, while entries and runners are killed, stopped, paused and restarted, the store fails for
// moments or loses responses, and servers crash. A job or a result is lost if it is only in the memory of a process that ends.
TEST_F(SignalSeriesTest, AcceptedJobsAreKeptOverRestartsAndOutagesOfTheStore)
{
    fleet_.startServers(ServerCount);
    std::vector<NodeProcess *> entries;
    for (auto const *name : {"entry-1", "entry-2", "entry-3"})
        entries.push_back(&fleet_.startNode(name));
    auto processes = entries;
    for (auto const *name : {"runner-1", "runner-2", "runner-3"})
        processes.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    for (auto const *entry : entries)
        fleet_.waitUntilReady(*entry);
    RandomSource random(seed());
    auto const draw = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    SignalSeries series({.seed = seed(), .processes = processes, .minPause = 150ms, .maxPause = 900ms, .minRunning = 2});
    std::vector<ItemEnd> const ends = {ItemEnd::Completes, ItemEnd::Fails, ItemEnd::Completes, ItemEnd::IsImpossible, ItemEnd::Completes};
    std::vector<KnownJob> jobs;
    auto const begin = readLocalClock();
    auto nextJobAt = begin;
    auto nextFaultAt = begin + FaultInterval;
    auto outageUntil = Instant::max();
    auto const statusOf = [](ServingFleet::Answer const &answer) { return answer ? answer->status : 0; };
    while (readLocalClock() < begin + seriesTime()) {
        auto const now = readLocalClock();
        if (now >= series.nextAt())
            series.sendNext(now);
        if (now >= outageUntil) {
            outageUntil = Instant::max();
            fleet_.setStoreFaults({});
        }
        if (now >= nextFaultAt) {
            nextFaultAt = now + FaultInterval;
            fleet_.crashServer(draw(ServerCount));
            outageUntil = now + MaxOutage / (1 + static_cast<int>(draw(4)));
            OutageMode const modes[] = {OutageMode::None, OutageMode::Refuse, OutageMode::Cut, OutageMode::Silent};
            fleet_.setStoreFaults({.outage = modes[draw(4)], .loseAnswerShare = 0.2, .lateChangeShare = 0.1});
        }
        auto const &entry = *entries[draw(entries.size())];
        if (!series.isRunning(entry)) {
            std::this_thread::sleep_for(RequestInterval);
            continue;
        }
        if (now >= nextJobAt) {
            nextJobAt = now + JobInterval;
            if (auto job = fleet_.trySubmitJob(entry, ends))
                jobs.push_back({.job = std::move(*job), .acceptedAt = readLocalClock()});
        }
        if (!jobs.empty()) {
            auto &known = jobs[jobs.size() - 1 - draw(std::min<std::size_t>(jobs.size(), 20))];
            auto const from = draw(known.results.size() + 1);
            bool const isSettled = now > known.acceptedAt + SettleTime;
            auto const page = fleet_.readResults(entry, known.job.id, from).get();
            auto const status = statusOf(page);
            if (isSettled) {
                EXPECT_TRUE(status == 200 || status == 503 || !series.isCalm(entry, ContactTime, now))
                    << known.job.id.value() << " from " << from << " at " << entry.name() << ": " << status;
                EXPECT_TRUE(status != 404 && status != 410) << known.job.id.value() << " from " << from << " at " << entry.name();
            }
            if (status == 200)
                addPage(known, from, page->body);
            auto const index = draw(ends.size());
            auto const &item = known.job.items[index];
            bool const isRunToItsEnd = fleet_.isFinished(item);
            auto const body = fleet_.readBody(entry, known.job.id, item).get();
            if (isSettled && !isRunToItsEnd && !fleet_.isFinished(item)) {
                EXPECT_TRUE(statusOf(body) != 404 && statusOf(body) != 410) << item << " at " << entry.name();
            }
            if (statusOf(body) == 200) {
                EXPECT_EQ(body->body, item);
            }
        }
        std::this_thread::sleep_for(ReadInterval);
    }
    fleet_.setStoreFaults({});
    series.restoreAll();
    auto const finishAt = readLocalClock() + FinishTime;
    for (auto &known : jobs) {
        readToTheEnd(fleet_, *entries.front(), known, finishAt);
        EXPECT_EQ(known.results.size(), ends.size()) << known.job.id.value();
        expectBoundedRuns(known.job, ends);
        for (auto const &text : known.results) {
            auto const result = json::parse(text);
            auto const item = std::string(result.at("id").as_string());
            auto const index = static_cast<std::size_t>(std::ranges::find(known.job.items, item) - known.job.items.begin());
            bool const completes = ends.at(index) == ItemEnd::Completes;
            EXPECT_EQ(result.at("state").as_string(), completes ? "completed" : "dead_letter") << text;
            EXPECT_EQ(result.at("output").as_string(), completes ? "t0\nt1\nt2\nt3\nt4\nt5\nt6\nt7\nt8\nt9" : "") << text;
        }
    }
    std::cout << jobs.size() << " jobs\n";
    EXPECT_FALSE(jobs.empty());
}

constexpr Duration CallerInterval = 4ms;
constexpr Duration ServerFaultInterval = 700ms;
constexpr Duration MaxSilence = 1500ms;
/// Time for which a stop is planned work: the time until the process is killed, and a second.
constexpr Duration StopTime = 9s;
/// Time from the last byte of a request after which its connection may not be closed without a response.
constexpr Duration LossSlack = 500ms;
/// Of each kind, requests of callers that may end so.
constexpr std::size_t MaxLost = 3;
constexpr std::size_t MaxOverrun = 3;

struct CallerRequest {
    std::string id;
    std::string target;
    NodeProcess const *entry;
    Instant sentAt;
    std::future<ServingFleet::TimedAnswer> answer;
};

// Callers keep their connections to entries that are stopped, killed, paused and restarted in series, before servers that crash and that
// fall silent for a second or so. Requests are lost if a connection is closed under them, and run too often if silence is taken for a loss.
TEST_F(SignalSeriesTest, RequestsOnKeptConnectionsAreAnsweredAndNotRepeated)
{
    fleet_.setStreams(20, 20ms);
    fleet_.startServers(ServerCount, ModelServer::ResponseForm::Whole);
    fleet_.startServers(ServerCount);
    std::vector<NodeProcess *> entries;
    for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4"})
        entries.push_back(&fleet_.startNode(name));
    auto processes = entries;
    processes.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
    for (auto const *entry : entries)
        fleet_.waitUntilReady(*entry);
    RandomSource random(seed());
    auto const draw = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    SignalSeries series({.seed = seed(), .processes = processes, .minPause = 300ms, .maxPause = 1500ms, .minRunning = 2});
    std::vector<CallerRequest> requests;
    auto const begin = readLocalClock();
    auto nextFaultAt = begin + ServerFaultInterval;
    while (readLocalClock() < begin + seriesTime()) {
        auto const now = readLocalClock();
        if (now >= series.nextAt())
            series.sendNext(now);
        if (now >= nextFaultAt) {
            nextFaultAt = now + ServerFaultInterval;
            draw(3) == 0 ? fleet_.crashServer(draw(2 * ServerCount))
                         : fleet_.silenceServer(draw(2 * ServerCount), MaxSilence / (1 + static_cast<int>(draw(3))));
        }
        auto const &entry = *entries[draw(entries.size())];
        // Also to one that stops, until its process is gone.
        auto const number = std::to_string(requests.size());
        char const *const prefixes[] = {"/q/", "/u/", "/s/"};
        auto request = ServingFleet::plainRequest(prefixes[draw(3)] + number, "body " + number);
        request.headers.set("Anvilyard-Attempt-Id", "k" + number);
        requests.push_back({.id = "k" + number,
                            .target = request.target,
                            .entry = &entry,
                            .sentAt = now,
                            .answer = fleet_.sendKept(entry, std::move(request))});
        fleet_.waitUntil(now + CallerInterval);
    }
    fleet_.waitUntil(readLocalClock() + 6s);
    std::size_t served = 0;
    std::size_t lostInTouch = 0;
    std::size_t overrun = 0;
    for (auto &request : requests) {
        auto const timed = request.answer.get();
        auto const &answer = timed.answer;
        auto const endedAt = request.sentAt + timed.time;
        auto const servers = fleet_.serversOf(request.id);
        auto const sound = static_cast<std::size_t>(std::ranges::count_if(servers, [](auto const &server) { return !server.second; }));
        bool const isUnsafe = request.target.starts_with("/u/");
        auto const attempts = isUnsafe ? 1U : 2U;
        auto const before = series.disturbance(*request.entry, request.sentAt - ContactTime, endedAt);
        auto const since = series.disturbance(*request.entry, request.sentAt - StopTime, endedAt);
        auto const describe = [&] {
            std::string text = request.target + " at " + request.entry->name() + " at "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.sentAt - begin).count())
                + " ms: " + (answer ? std::to_string(answer->status) : answer.error().error.toString()) + " after "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timed.time).count()) + " ms;";
            for (auto const &[server, hasCrashed] : servers)
                text += " " + server + (hasCrashed ? " (crashed)" : "");
            return text;
        };
        served += answer && answer->status == 200 ? 1 : 0;
        if (sound > attempts) {
            ++overrun;
            std::cout << "overrun: " << describe() << '\n';
        }
        if (isUnsafe) {
            EXPECT_LE(servers.size(), 1U) << describe();
            EXPECT_FALSE(answer && (answer->status == 503 || answer->status == 429) && !servers.empty()) << describe();
        }
        bool const isLost = !answer && (sound > 0 || (servers.empty() && timed.time > LossSlack));
        if (isLost && before == SignalSeries::Disturbance::None) {
            ++lostInTouch;
            std::cout << "lost: " << describe() << '\n';
        }
        if (isLost && since == SignalSeries::Disturbance::Stop)
            ADD_FAILURE() << "lost around a stop: " << describe();
    }
    std::cout << "served " << served << " of " << requests.size() << ", lost " << lostInTouch << ", overrun " << overrun << '\n';
    EXPECT_LE(lostInTouch, MaxLost);
    EXPECT_LE(overrun, MaxOverrun);
    EXPECT_GT(served, requests.size() / 4);
}

} // namespace
