#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using ItemEnd = ServingFleet::ItemEnd;
using Fate = ModelServer::ResponseFate;

/// `attempts` of the batch route.
constexpr std::size_t Attempts = 3;
/// An item may reach servers until they have answered it this often with 500, or with 422, whether or not the answers arrived.
constexpr std::size_t MaxFailures = 3 * Attempts;
constexpr std::size_t MaxImpossible = 3;
/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 3s;
/// A request that has crashed this number of servers may reach MaxArrivalsAfterBound more, later than ContactTime after the last of them.
constexpr std::size_t CrashesBeforeBound = 3;
/// The same for requests with a part that crashes servers.
constexpr std::size_t PartCrashesBeforeBound = 5;
constexpr std::size_t MaxArrivalsAfterBound = 3;
constexpr Duration PollInterval = 100ms;
constexpr Duration KillInterval = 1500ms;
constexpr Duration DownTime = 300ms;
constexpr Duration MaxFaultTime = 1200ms;
constexpr std::size_t TrialServers = 12;

/// Seed of a run by hand; otherwise that of CI.
std::uint64_t seed()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SEED");
    return text ? std::stoull(text) : 1;
}

/// Time for which faults go on: short in CI.
Duration seriesTime()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SECONDS");
    return std::chrono::seconds(text ? std::stoll(text) : 14);
}

/// From the moment at which a server begins a request. Some are longer than an entry waits before it sends a request elsewhere.
constexpr std::array<Duration, 5> TimesToCrash = {20ms, 300ms, 600ms, 1500ms, 2500ms};

constexpr std::array<OutageMode, 3> OutageModes = {OutageMode::Refuse, OutageMode::Cut, OutageMode::Silent};

bool isErrorResponse(Http::HttpRequest const &request)
{
    return request.target.starts_with("/b/fails/") || request.target.starts_with("/b/impossible/");
}

/// Number of arrivals later than ContactTime after the crash from which they are counted.
std::size_t lateArrivals(std::vector<Instant> const &crashes, std::vector<Instant> const &arrivals, std::size_t countedFrom)
{
    if (crashes.size() < countedFrom)
        return 0;
    auto const bound = crashes[countedFrom - 1] + ContactTime;
    return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](Instant at) { return at > bound; }));
}

class UnansweredSendTest : public ::testing::Test
{
protected:
    void startFleet(std::size_t servers, std::size_t runners)
    {
        fleet_.startServers(servers);
        for (std::size_t number = 1; number <= runners; ++number)
            runners_.push_back(&fleet_.startNode("runner-" + std::to_string(number), Serving::InstanceRole::Runner));
        entry_ = &fleet_.startNode("entry-1");
        fleet_.waitUntilReady(*entry_);
    }

    ServingFleet::SubmittedJob submit(std::vector<ItemEnd> const &ends)
    {
        auto job = fleet_.trySubmitJob(*entry_, ends);
        if (!job)
            throw std::runtime_error("the job is not accepted");
        return std::move(*job);
    }

    /// Kills the runners in turn until then, one each KillInterval, and starts each again after DownTime.
    void killRunnersInTurn(Instant until)
    {
        for (std::size_t next = seed(); readLocalClock() + KillInterval < until; ++next) {
            auto &runner = *runners_[next % runners_.size()];
            fleet_.waitUntil(readLocalClock() + KillInterval - DownTime);
            runner.kill();
            fleet_.waitUntil(readLocalClock() + DownTime);
            runner.start();
        }
        fleet_.waitUntil(until);
    }

    /// Expects that items to which servers answer with an error were run no more often than the rule allows.
    void expectBoundedRuns(ServingFleet::SubmittedJob const &job, std::vector<ItemEnd> const &ends)
    {
        for (std::size_t index = 0; index < ends.size(); ++index) {
            auto const &item = job.items[index];
            if (ends[index] == ItemEnd::Completes)
                continue;
            auto const runs = fleet_.rejections(item).size();
            std::cout << item << (ends[index] == ItemEnd::Fails ? " 500: " : " 422: ") << runs << '\n';
            EXPECT_LE(runs, ends[index] == ItemEnd::Fails ? MaxFailures : MaxImpossible) << item;
        }
    }

    /// Waits until the items of the job are listed with the states that they must have.
    void expectListed(ServingFleet::SubmittedJob const &job, std::vector<ItemEnd> const &ends, ItemEnd which, Instant until)
    {
        std::map<std::string, std::string> states;
        auto const isOpen = [&](std::size_t index) { return ends[index] == which && !states.contains(job.items[index]); };
        for (;;) {
            states = fleet_.readStates(*entry_, job.id).value_or(states);
            std::size_t open = 0;
            for (std::size_t index = 0; index < ends.size(); ++index)
                open += isOpen(index) ? 1 : 0;
            if (open == 0 || readLocalClock() > until)
                break;
            std::this_thread::sleep_for(PollInterval);
        }
        for (std::size_t index = 0; index < ends.size(); ++index) {
            if (ends[index] != which)
                continue;
            auto const &item = job.items[index];
            auto const state = states.contains(item) ? states.at(item) : "missing";
            EXPECT_EQ(state, which == ItemEnd::Completes ? "completed" : "dead_letter") << item;
        }
    }

    /// Runs a job whose error responses are lost, and expects that its items are not repeated and that sound ones are completed.
    void runJobWithLostErrors(std::function<Fate()> const &fateOfErrors, bool withKills)
    {
        startFleet(9, 4);
        fleet_.setResponseFate([=](Http::HttpRequest const &request) { return isErrorResponse(request) ? fateOfErrors() : Fate::Arrives; });
        std::vector<ItemEnd> ends(4, ItemEnd::Fails);
        ends.insert(ends.end(), 4, ItemEnd::IsImpossible);
        ends.insert(ends.end(), 8, ItemEnd::Completes);
        auto const until = readLocalClock() + seriesTime();
        auto const job = submit(ends);
        if (withKills)
            killRunnersInTurn(until);
        else
            fleet_.waitUntil(until);
        expectBoundedRuns(job, ends);
        expectListed(job, ends, ItemEnd::Completes, readLocalClock() + ContactTime);
    }

    /// Loses all responses to items for a while, and expects that the items are completed in time.
    void loseAllResponses(Fate fate, Duration outage)
    {
        startFleet(6, 2);
        std::vector<ItemEnd> const ends(12, ItemEnd::Completes);
        auto const begin = readLocalClock();
        fleet_.setResponseFate([=](Http::HttpRequest const &) { return readLocalClock() < begin + outage ? fate : Fate::Arrives; });
        auto const job = submit(ends);
        expectListed(job, ends, ItemEnd::Completes, begin + CompletionTarget);
    }

    /// What crashes servers.
    enum class Cause {
        Request,
        /// A part of a prompt.
        Part,
    };

    /// What happens to entries, servers and the store meanwhile.
    enum class Faults {
        None,
        /// Entries are killed, paused and terminated in turn, servers crash, and the store is out of reach for a while, in random order.
        Series,
    };

    struct TrialSeries {
        Duration timeToCrash;
        std::size_t crashing;
        Cause cause;
        Faults faults = Faults::None;
        /// Time for which servers run each request. A long one makes requests wait at the servers.
        Duration runTime = 30ms;
    };

    /// Ends the fault that lasts if its time is over, and begins the next one.
    void continueFaults(std::vector<NodeProcess *> const &entries, std::function<std::size_t(std::size_t)> const &draw)
    {
        if (readLocalClock() < nextFaultAt_ || (endFault_ && !endFault_()))
            return;
        endFault_ = nullptr;
        nextFaultAt_ = readLocalClock() + DownTime + 1ms * draw(MaxFaultTime / 1ms);
        auto &entry = *entries[draw(entries.size())];
        auto const restart = [&entry] {
            // It may answer its last requests.
            if (entry.isRunning())
                return false;
            entry.start();
            return true;
        };
        switch (draw(5)) {
        case 0:
            entry.kill();
            endFault_ = restart;
            return;
        case 1:
            entry.pause();
            endFault_ = [&entry] {
                entry.resume();
                return true;
            };
            return;
        case 2:
            entry.terminate();
            endFault_ = restart;
            return;
        case 3:
            fleet_.setStoreOutage(OutageModes[draw(OutageModes.size())]);
            endFault_ = [this] {
                fleet_.setStoreOutage(OutageMode::None);
                return true;
            };
            return;
        default:
            fleet_.crashServer(draw(TrialServers));
        }
    }

    /// Sends sound requests all the time and requests that crash servers after a while now and then, and expects that few of these reach
    /// servers once they have crashed three.
    void expectFewTrials(TrialSeries const &series)
    {
        auto const [timeToCrash, crashing, cause, faults, runTime] = series;
        fleet_.setHeadMoment(ModelServer::HeadMoment::FirstEvent);
        fleet_.setPromptTime(runTime);
        fleet_.startServers(TrialServers, cause == Cause::Part ? ModelServer::ResponseForm::EventStream : ModelServer::ResponseForm::Whole);
        std::vector<NodeProcess *> entries;
        for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"})
            entries.push_back(&fleet_.startNode(name));
        for (auto const *entry : entries)
            fleet_.waitUntilReady(*entry);
        fleet_.setTimeToCrash(timeToCrash);
        std::vector<Http::HttpRequest> requests;
        for (std::size_t number = 0; number < crashing; ++number) {
            requests.push_back(ServingFleet::plainRequest("/q/crash-" + std::to_string(number), "crash"));
            if (cause == Cause::Part)
                fleet_.addCrashingPart("bad" + std::to_string(number));
            else
                fleet_.addCrashingRequest(requests.back());
        }
        RandomSource random(seed());
        auto const draw = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
        std::vector<std::future<ServingFleet::Answer>> crashingAnswers;
        std::vector<std::future<ServingFleet::Answer>> soundAnswers;
        std::vector<Instant> nextAt(crashing, readLocalClock());
        auto const end = readLocalClock() + 2 * seriesTime();
        for (int number = 0; readLocalClock() < end; ++number) {
            if (faults == Faults::Series)
                continueFaults(entries, draw);
            auto &entry = *entries[draw(entries.size())];
            auto const id = std::to_string(number);
            soundAnswers.push_back(fleet_.sendAgain(
                entry, cause == Cause::Part ? fleet_.requestOf({"good"}) : ServingFleet::plainRequest("/q/" + id, "body " + id)));
            for (std::size_t index = 0; index < crashing; ++index) {
                if (readLocalClock() < nextAt[index])
                    continue;
                nextAt[index] = readLocalClock() + 500ms + 1ms * draw(500);
                crashingAnswers.push_back(
                    fleet_.sendAgain(*entries[draw(entries.size())],
                                     cause == Cause::Part ? fleet_.requestOf({"good", "bad" + std::to_string(index)}) : requests[index]));
            }
            fleet_.waitUntil(readLocalClock() + 50ms);
        }
        while (endFault_ && !endFault_())
            std::this_thread::sleep_for(PollInterval);
        std::size_t served = 0;
        for (auto &answer : soundAnswers) {
            auto const result = answer.get();
            served += result && result->status == 200 ? 1 : 0;
        }
        for (auto &answer : crashingAnswers)
            answer.wait();
        for (std::size_t index = 0; index < crashing; ++index) {
            auto const part = "bad" + std::to_string(index);
            auto const crashes = cause == Cause::Part ? fleet_.crashes(part) : fleet_.crashes(requests[index]);
            auto const arrivals = cause == Cause::Part ? fleet_.arrivals(part) : fleet_.arrivals(requests[index]);
            auto const late = lateArrivals(crashes, arrivals, cause == Cause::Part ? PartCrashesBeforeBound : CrashesBeforeBound);
            std::cout << crashes.size() << " crashes, " << arrivals.size() << " arrivals, " << late << " late\n";
            EXPECT_LE(late, MaxArrivalsAfterBound);
        }
        std::cout << "served " << served << " of " << soundAnswers.size() << '\n';
        EXPECT_GT(2 * served, soundAnswers.size());
    }

    static constexpr std::chrono::seconds CompletionTarget = 18s;

    ServingFleet fleet_{{.queueTime = 120s, .completionTarget = CompletionTarget}};
    std::vector<NodeProcess *> runners_;
    Instant nextFaultAt_ = Instant::min();
    /// Ends the fault that lasts. Returns whether it has ended.
    std::function<bool()> endFault_;
    NodeProcess *entry_ = nullptr;
};

} // namespace

/// Guards against items that servers answer with an error and that are sent again without end, as no answer arrives.
TEST_F(UnansweredSendTest, FailingItemsWhoseResponsesAreResetAreNotRepeated)
{
    runJobWithLostErrors([] { return Fate::Reset; }, false);
}

/// The same if the connection stays open without a byte.
TEST_F(UnansweredSendTest, FailingItemsWhoseResponsesNeverComeAreNotRepeated)
{
    runJobWithLostErrors([] { return Fate::Silence; }, false);
}

/// The same if the head of each response arrives.
TEST_F(UnansweredSendTest, FailingItemsWhoseResponsesBreakOffAreNotRepeated)
{
    runJobWithLostErrors([] { return Fate::BreakOff; }, false);
}

/// The same while every fifth response arrives and the owners of the job are killed in turn.
TEST_F(UnansweredSendTest, FailingItemsWhoseResponsesAreResetAreNotRepeatedOverKills)
{
    runJobWithLostErrors([number = std::make_shared<int>(0)] { return ++*number % 5 == 0 ? Fate::Arrives : Fate::Reset; }, true);
}

/// Guards against sound items that are no longer sent, or too late, as their first responses were lost.
TEST_F(UnansweredSendTest, SoundItemsWhoseResponsesWereResetAreCompletedInTime)
{
    loseAllResponses(Fate::Reset, 6s);
}

TEST_F(UnansweredSendTest, SoundItemsWhoseResponsesNeverCameAreCompletedInTime)
{
    loseAllResponses(Fate::Silence, 6s);
}

/// Guards against items that crash servers and are sent by each runner that starts before it knows what the others have found.
TEST_F(UnansweredSendTest, CrashingItemsAreNotRepeatedByRunnersThatStart)
{
    startFleet(9, 4);
    std::vector<ItemEnd> ends(4, ItemEnd::Crashes);
    ends.insert(ends.end(), 4, ItemEnd::Completes);
    auto const job = submit(ends);
    killRunnersInTurn(readLocalClock() + 2 * seriesTime());
    for (std::size_t index = 0; index < 4; ++index) {
        auto const &item = job.items[index];
        auto const crashes = fleet_.crashesOfItem(item);
        auto const late = lateArrivals(crashes, fleet_.arrivalsOf(item), CrashesBeforeBound);
        std::cout << item << ": " << crashes.size() << " crashes, " << late << " late\n";
        EXPECT_LE(late, MaxArrivalsAfterBound) << item;
    }
    expectListed(job, ends, ItemEnd::Completes, readLocalClock() + CompletionTarget);
}

/// Guards against a crashing request that is tried again and again, as its sender ends each trial before the server crashes.
TEST_F(UnansweredSendTest, ARequestThatCrashesServersAfterItsSendersPatienceIsNotRepeated)
{
    expectFewTrials({.timeToCrash = 600ms, .crashing = 1, .cause = Cause::Request});
}

TEST_F(UnansweredSendTest, FourRequestsThatCrashServersAfterTheirSendersPatienceAreNotRepeated)
{
    expectFewTrials({.timeToCrash = 1500ms, .crashing = 4, .cause = Cause::Request});
}

TEST_F(UnansweredSendTest, PartsThatCrashServersAfterTheirSendersPatienceAreNotRepeated)
{
    expectFewTrials({.timeToCrash = 1500ms, .crashing = 2, .cause = Cause::Part});
}

/// Guards against evidence that ends with the instances that hold it: all entries are killed at once, several times, and get the request as
/// soon as they run.
TEST_F(UnansweredSendTest, ARequestThatCrashesServersIsNotRepeatedByInstancesThatAllStartAnew)
{
    fleet_.startServers(12, ModelServer::ResponseForm::Whole);
    std::vector<NodeProcess *> entries;
    for (auto const *name : {"entry-1", "entry-2", "entry-3"})
        entries.push_back(&fleet_.startNode(name));
    for (auto const *entry : entries)
        fleet_.waitUntilReady(*entry);
    auto const crashing = ServingFleet::plainRequest("/q/crash", "crash");
    fleet_.addCrashingRequest(crashing);
    auto const sendToAll = [&](Instant until) {
        std::vector<std::future<ServingFleet::Answer>> answers;
        for (; readLocalClock() < until; fleet_.waitUntil(readLocalClock() + 20ms)) {
            for (auto const *entry : entries)
                answers.push_back(fleet_.sendAgain(*entry, crashing));
        }
        for (auto &answer : answers)
            answer.wait();
    };
    for (int lifetime = 0; lifetime < 3; ++lifetime) {
        sendToAll(readLocalClock() + ContactTime + 500ms);
        for (auto *entry : entries)
            entry->kill();
        for (auto *entry : entries)
            entry->start();
    }
    sendToAll(readLocalClock() + ContactTime);
    auto const late = lateArrivals(fleet_.crashes(crashing), fleet_.arrivals(crashing), CrashesBeforeBound);
    std::cout << fleet_.crashes(crashing).size() << " crashes, " << late << " late\n";
    EXPECT_LE(late, MaxArrivalsAfterBound);
}

TEST_F(UnansweredSendTest, EightRequestsThatCrashServersAfterTheirSendersPatienceAreNotRepeated)
{
    expectFewTrials({.timeToCrash = 400ms, .crashing = 8, .cause = Cause::Request});
}

/// Guards against repeats by entries that start, were paused or cannot reach the store, and so may not know what others have counted.
TEST_F(UnansweredSendTest, RequestsThatCrashServersAreNotRepeatedOverOtherFaults)
{
    expectFewTrials(
        {.timeToCrash = TimesToCrash[seed() % TimesToCrash.size()], .crashing = 3, .cause = Cause::Request, .faults = Faults::Series});
}

TEST_F(UnansweredSendTest, PartsThatCrashServersAreNotRepeatedOverOtherFaults)
{
    expectFewTrials(
        {.timeToCrash = TimesToCrash[seed() % TimesToCrash.size()], .crashing = 2, .cause = Cause::Part, .faults = Faults::Series});
}

/// The same for requests that wait at busy servers before they run, as their outcome is not known for longer.
TEST_F(UnansweredSendTest, CrashingRequestsAreNotRepeatedBesideRequestsThatWaitAtServers)
{
    expectFewTrials({.timeToCrash = 300ms, .crashing = 3, .cause = Cause::Request, .runTime = 2200ms});
}
