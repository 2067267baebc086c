#include "Tests/NodeProcesses/KnownJob.h"
#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdlib>
#include <future>
#include <gtest/gtest.h>
#include <sstream>
#include <utility>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace json = boost::json;

namespace {

using ItemEnd = ServingFleet::ItemEnd;
using Stream = ServingFleet::Stream;

/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 3s;
/// Time from the acceptance of a job in which entries may not find it.
constexpr Duration SettleTime = 2s;
/// From the end of the faults until all items are listed.
constexpr Duration FinishTime = 18s;
/// Requests on kept connections that may be closed without an answer.
constexpr std::size_t MaxLost = 3;
constexpr Duration CallerInterval = 8ms;
constexpr Duration JobInterval = 500ms;
/// Fewer streams that callers take up are not judged.
constexpr std::size_t MinTakenUp = 12;
constexpr std::uint64_t StreamEvents = 30;

/// Seed of a series that is run by hand; otherwise that of CI.
std::uint64_t seed()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SEED");
    return text ? std::stoull(text) : 1;
}

/// Time of a series: short in CI.
Duration seriesTime()
{
    auto const *text = std::getenv("ANVILYARD_SERIES_SECONDS");
    return std::chrono::seconds(text ? std::stoll(text) : 8);
}

/// Callers that send requests on kept connections, submit jobs and read them, before sound servers, while faults are injected elsewhere.
class LostWorkTest : public ::testing::Test
{
protected:
    struct Sent {
        std::string id;
        std::string target;
        std::future<ServingFleet::TimedAnswer> answer;
    };

    void startServers()
    {
        fleet_.startServers(4, ModelServer::ResponseForm::Whole);
        fleet_.startServers(6);
    }

    void waitUntilReady()
    {
        for (auto const *entry : entries_)
            fleet_.waitUntilReady(*entry);
    }

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    Duration drawTime(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
    }

    /// Sends requests and jobs, and reads the jobs, until the time is over. Calls `disturb` all the time.
    void serveCallers(std::function<void(Instant)> const &disturb)
    {
        auto const end = readLocalClock() + seriesTime();
        auto nextJobAt = readLocalClock();
        for (int number = 0; readLocalClock() < end; ++number) {
            auto const now = readLocalClock();
            disturb(now);
            auto const &entry = *entries_[draw(entries_.size())];
            auto const text = std::to_string(number);
            char const *const prefixes[] = {"/q/", "/u/", "/s/"};
            auto request = ServingFleet::plainRequest(prefixes[draw(3)] + text, "body " + text);
            request.headers.set("Anvilyard-Attempt-Id", "k" + text);
            auto target = request.target;
            sent_.push_back({.id = "k" + text, .target = std::move(target), .answer = fleet_.sendKept(entry, std::move(request))});
            if (now >= nextJobAt) {
                nextJobAt = now + JobInterval;
                if (auto job = fleet_.trySubmitJob(entry, std::vector(8, ItemEnd::Completes)))
                    jobs_.push_back({.job = std::move(*job), .acceptedAt = readLocalClock()});
            }
            if (number % 8 == 0 && !jobs_.empty())
                readOne(entry);
            fleet_.waitUntil(now + CallerInterval);
        }
    }

    void readOne(NodeProcess const &entry)
    {
        auto &known = jobs_[jobs_.size() - 1 - draw(std::min<std::size_t>(jobs_.size(), 10))];
        auto const isSettled = readLocalClock() > known.acceptedAt + SettleTime;
        auto const from = draw(known.results.size() + 1);
        auto const page = fleet_.readResults(entry, known.job.id, from).get();
        if (page && page->status == 200)
            addPage(known, from, page->body);
        bool const isMissing = page && (page->status == 404 || page->status == 410);
        EXPECT_FALSE(isSettled && isMissing) << known.job.id.value() << " from " << from << " at " << entry.name() << ": " << page->status;
        auto const &item = known.job.items[draw(known.job.items.size())];
        bool const isFinished = fleet_.isFinished(item);
        auto const body = fleet_.readBody(entry, known.job.id, item).get();
        bool const isBodyMissing = body && (body->status == 404 || body->status == 410);
        EXPECT_FALSE(isSettled && !isFinished && !fleet_.isFinished(item) && isBodyMissing) << item << " at " << entry.name();
        if (body && body->status == 200) {
            EXPECT_EQ(body->body, item);
        }
    }

    /// Expects that no request on a kept connection was lost, none was refused as unknown, and that all items of accepted jobs are
    /// completed.
    void expectNothingLost()
    {
        std::map<int, std::size_t> byStatus;
        std::size_t lost = 0;
        for (auto &sent : sent_) {
            auto const timed = sent.answer.get();
            ++byStatus[timed.answer ? timed.answer->status : 0];
            if (timed.answer)
                continue;
            ++lost;
            std::cout << "lost: " << sent.id << ' ' << sent.target << ' ' << timed.answer.error().error.toString() << " after "
                      << timed.time / 1ms << " ms; servers " << fleet_.serversOf(sent.id).size() << '\n';
        }
        EXPECT_LE(lost, MaxLost);
        EXPECT_EQ(byStatus[404], 0U);
        EXPECT_GT(2 * byStatus[200], sent_.size());
        auto const until = readLocalClock() + FinishTime;
        for (auto &known : jobs_) {
            readToTheEnd(fleet_, *entries_.front(), known, until);
            EXPECT_EQ(known.results.size(), known.job.items.size()) << known.job.id.value();
            for (auto const &result : known.results)
                EXPECT_NE(result.find("completed"), std::string::npos) << result;
        }
        std::cout << "requests by status:";
        for (auto const &[status, count] : byStatus)
            std::cout << ' ' << status << ": " << count;
        std::cout << "; jobs " << jobs_.size() << '\n';
        EXPECT_FALSE(jobs_.empty());
    }

    /// Injects outages of the store at random times.
    void disturbStore(Instant now)
    {
        if (now < nextStoreFaultAt_)
            return;
        isStoreFaulty_ = !isStoreFaulty_;
        nextStoreFaultAt_ = now + drawTime(200ms, 1200ms);
        OutageMode const modes[] = {OutageMode::None, OutageMode::Refuse, OutageMode::Cut, OutageMode::Silent};
        fleet_.setStoreFaults(isStoreFaulty_ ? PlatformFaults{.outage = modes[draw(4)], .loseAnswerShare = 0.3, .lateChangeShare = 0.1}
                                             : PlatformFaults());
    }

    ServingFleet fleet_{{.queueTime = 120s, .completionTarget = 18s}};
    RandomSource random_{seed()};
    std::vector<NodeProcess *> entries_;
    std::vector<NodeProcess *> runners_;
    std::vector<Sent> sent_;
    std::vector<KnownJob> jobs_;
    Instant nextStoreFaultAt_ = Instant::min();
    bool isStoreFaulty_ = false;
};

} // namespace

/// Guards against requests that are cut, and routes that are missing for a moment, as the desired state changes and the store fails.
TEST_F(LostWorkTest, RequestsAndJobsOutliveChangesOfTheDesiredState)
{
    startServers();
    for (auto const *name : {"entry-1", "entry-2", "entry-3"})
        entries_.push_back(&fleet_.startNode(name));
    for (auto const *name : {"runner-1", "runner-2"})
        runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    waitUntilReady();
    auto nextChangeAt = Instant::min();
    serveCallers([&](Instant now) {
        disturbStore(now);
        if (now < nextChangeAt)
            return;
        nextChangeAt = now + drawTime(20ms, 400ms);
        fleet_.changeDesiredState(draw(30));
    });
    fleet_.setStoreFaults({});
    expectNothingLost();
}

/// Guards against jobs that are lost, or not run to their end, as all their owners end at once, also while the store fails.
TEST_F(LostWorkTest, JobsWhoseOwnersAllEndAreRunToTheirEnd)
{
    startServers();
    for (auto const *name : {"entry-1", "entry-2"})
        entries_.push_back(&fleet_.startNode(name));
    for (auto const *name : {"runner-1", "runner-2", "runner-3"})
        runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    waitUntilReady();
    auto nextAt = Instant::min();
    bool areDown = true;
    serveCallers([&](Instant now) {
        disturbStore(now);
        if (now < nextAt)
            return;
        areDown = !areDown;
        nextAt = now + drawTime(150ms, areDown ? 1500ms : 900ms);
        for (auto *runner : runners_)
            areDown ? runner->kill() : (runner->isRunning() ? void() : runner->start());
    });
    fleet_.setStoreFaults({});
    for (auto *runner : runners_) {
        if (!runner->isRunning())
            runner->start();
    }
    expectNothingLost();
}

/// Guards against work that is lost as nodes are replaced one after the other while the store fails and the desired state changes. No new
/// requests are sent to an entry that has received SIGTERM.
TEST_F(LostWorkTest, RequestsAndJobsOutliveReplacementsBesideOtherFaults)
{
    startServers();
    for (auto const *name : {"entry-1", "entry-2", "entry-3"})
        entries_.push_back(&fleet_.startNode(name));
    for (auto const *name : {"runner-1", "runner-2", "runner-3"})
        runners_.push_back(&fleet_.startNode(name, Serving::InstanceRole::Runner));
    waitUntilReady();
    auto nodes = entries_;
    nodes.insert(nodes.end(), runners_.begin(), runners_.end());
    NodeProcess *ending = nullptr;
    /// Done when a replaced entry is ready, so that it gets requests again.
    std::future<void> ready;
    std::size_t next = draw(nodes.size());
    auto nextEndAt = Instant::min();
    auto nextChangeAt = Instant::min();
    serveCallers([&](Instant now) {
        disturbStore(now);
        if (now >= nextChangeAt) {
            nextChangeAt = now + drawTime(50ms, 600ms);
            fleet_.changeDesiredState(draw(30));
            if (auto &reloaded = *nodes[draw(nodes.size())]; reloaded.isRunning())
                reloaded.reload();
        }
        if (ready.valid() && ready.wait_for(0s) == std::future_status::ready) {
            ready.get();
            entries_.push_back(std::exchange(ending, nullptr));
            nextEndAt = now + drawTime(100ms, 600ms);
        } else if (ending && !ready.valid() && !ending->isRunning()) {
            ending->start();
            bool const isRunner = std::ranges::find(runners_, ending) != runners_.end();
            if (isRunner)
                ending = nullptr;
            else
                ready = std::async(std::launch::async, [this, entry = ending] { fleet_.waitUntilReady(*entry); });
            nextEndAt = now + drawTime(100ms, 600ms);
        } else if (!ending && now >= nextEndAt) {
            ending = nodes[next++ % nodes.size()];
            std::erase(entries_, ending);
            ending->terminate();
        }
    });
    fleet_.setStoreFaults({});
    if (ready.valid())
        ready.get();
    expectNothingLost();
}

/// Guards against requests that are cut when their entry ends, as they wait at busy servers, and callers keep their connections to it until
/// its process is gone.
TEST_F(LostWorkTest, RequestsThatWaitAtBusyServersOutliveTheStopOfTheirEntry)
{
    /// Servers have about as many requests as slots.
    constexpr Duration RunTime = 250ms;
    /// Time from the last byte of a request after which its connection may not be closed without a response.
    constexpr Duration LossSlack = 200ms;
    fleet_.setPromptTime(RunTime);
    startServers();
    for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4"})
        entries_.push_back(&fleet_.startNode(name));
    runners_.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
    waitUntilReady();
    NodeProcess *ending = nullptr;
    std::future<void> ready;
    std::size_t next = draw(entries_.size());
    auto nextEndAt = Instant::min();
    auto nextChangeAt = Instant::min();
    serveCallers([&](Instant now) {
        if (now >= nextChangeAt) {
            nextChangeAt = now + drawTime(100ms, 800ms);
            fleet_.changeDesiredState(draw(30));
            if (auto &reloaded = *entries_[draw(entries_.size())]; reloaded.isRunning())
                reloaded.reload();
        }
        if (ready.valid() && ready.wait_for(0s) == std::future_status::ready) {
            ready.get();
            ending = nullptr;
            nextEndAt = now + drawTime(100ms, 600ms);
        } else if (ending && !ready.valid() && !ending->isRunning()) {
            ending->start();
            ready = std::async(std::launch::async, [this, entry = ending] { fleet_.waitUntilReady(*entry); });
        } else if (!ending && now >= nextEndAt) {
            ending = entries_[next++ % entries_.size()];
            ending->terminate();
        }
    });
    if (ready.valid())
        ready.get();
    std::size_t lost = 0;
    std::map<int, std::size_t> byStatus;
    for (auto &sent : sent_) {
        auto const timed = sent.answer.get();
        ++byStatus[timed.answer ? timed.answer->status : 0];
        auto const servers = fleet_.serversOf(sent.id).size();
        if (timed.answer || (servers == 0 && timed.time <= LossSlack))
            continue;
        ++lost;
        std::cout << "lost: " << sent.id << ' ' << sent.target << ' ' << timed.answer.error().error.toString() << " after "
                  << timed.time / 1ms << " ms; servers " << servers << '\n';
    }
    for (auto const &[status, count] : byStatus)
        std::cout << status << ": " << count << ' ';
    std::cout << "; lost " << lost << '\n';
    EXPECT_EQ(lost, 0U);
    EXPECT_GT(2 * byStatus[200], sent_.size());
}

/// Guards against work that is lost because some nodes reach the store and others do not.
TEST_F(LostWorkTest, RequestsAndJobsOutliveCutPathsToTheStore)
{
    startServers();
    entries_.push_back(&fleet_.startNode("entry-1"));
    entries_.push_back(&fleet_.startNodeBehindPathToStore("entry-2", Serving::InstanceRole::Entry));
    runners_.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
    runners_.push_back(&fleet_.startNodeBehindPathToStore("runner-2", Serving::InstanceRole::Runner));
    waitUntilReady();
    auto nextAt = Instant::min();
    bool isCut = false;
    serveCallers([&](Instant now) {
        if (now < nextAt)
            return;
        isCut = !isCut;
        nextAt = now + drawTime(300ms, isCut ? 2500ms : 800ms);
        Cut const cuts[] = {Cut::Reset, Cut::Refused, Cut::Silent};
        fleet_.setStoreCut(isCut ? cuts[draw(3)] : Cut::None);
    });
    fleet_.setStoreCut(Cut::None);
    expectNothingLost();
}

/// Guards against streams that cannot be taken up, or go on with an event missing or twice, as entries are killed in turn and the store
/// fails.
TEST_F(LostWorkTest, StreamsOfEntriesThatEndAreTakenUp)
{
    fleet_.setStreams(StreamEvents, 30ms);
    fleet_.startServers(6);
    for (auto const *name : {"entry-1", "entry-2", "entry-3", "entry-4"})
        entries_.push_back(&fleet_.startNode(name));
    runners_.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
    waitUntilReady();
    std::map<NodeProcess const *, Instant> startedAt;
    auto const isInTouch = [&](NodeProcess &entry, Instant now) { return entry.isRunning() && now >= startedAt[&entry] + ContactTime; };
    std::vector<std::shared_ptr<Stream>> open;
    struct TakeUp {
        std::shared_ptr<Stream> first;
        std::shared_ptr<Stream> second;
    };
    std::vector<TakeUp> takenUp;
    std::size_t begun = 0;
    std::size_t fresh = 0;
    auto nextKillAt = readLocalClock();
    std::optional<std::pair<NodeProcess *, Instant>> down;
    auto const lastEvent = [](std::string const &text) -> std::optional<std::uint64_t> {
        auto const end = text.rfind("\n\n");
        auto const id = end == std::string::npos ? end : text.rfind("id: ", end);
        return id == std::string::npos ? std::nullopt : std::optional(std::stoull(text.substr(id + 4)));
    };
    auto const end = readLocalClock() + seriesTime();
    for (int number = 0; readLocalClock() < end || std::ranges::any_of(open, [](auto const &s) { return s->end == Stream::End::Open; });
         ++number) {
        auto const now = readLocalClock();
        disturbStore(now);
        if (down && now >= down->second) {
            down->first->start();
            startedAt[down->first] = now;
            down.reset();
            nextKillAt = now + drawTime(200ms, 800ms);
        } else if (!down && now >= nextKillAt && now < end) {
            auto *entry = entries_[draw(entries_.size())];
            entry->kill();
            down = {entry, now + drawTime(100ms, 600ms)};
        }
        std::vector<NodeProcess *> calm;
        for (auto *entry : entries_) {
            if (isInTouch(*entry, now))
                calm.push_back(entry);
        }
        auto *entry = entries_[draw(entries_.size())];
        if (now < end && entry->isRunning())
            open.push_back(fleet_.openStream(*entry, fleet_.requestOf({})));
        for (auto &stream : open) {
            if (stream->end == Stream::End::Open || calm.empty())
                continue;
            fresh += 1;
            begun += stream->status == 200 ? 1 : 0;
            auto const last = lastEvent(stream->text);
            if (stream->end == Stream::End::Broken && last && *last + 1 < StreamEvents)
                takenUp.push_back(
                    {.first = stream, .second = fleet_.openStream(*calm[draw(calm.size())], fleet_.takeUp(stream->request, *last))});
            stream.reset();
        }
        std::erase(open, nullptr);
        fleet_.waitUntil(now + 25ms);
    }
    fleet_.setStoreFaults({});
    std::size_t goneOn = 0;
    std::size_t complete = 0;
    for (auto const &[first, second] : takenUp) {
        fleet_.waitUntilEnded({second});
        bool const isTaken = second->status == 200;
        goneOn += isTaken ? 1 : 0;
        complete += second->end == Stream::End::Complete && isTaken ? 1 : 0;
        if (!isTaken || second->end != Stream::End::Complete)
            continue;
        auto text = first->text.substr(0, first->text.rfind("\n\n") + 2) + second->text;
        std::istringstream lines(text);
        std::uint64_t next = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("id: ")) {
                EXPECT_EQ(std::stoull(line.substr(4)), next) << text;
                ++next;
            }
        }
        EXPECT_EQ(next, StreamEvents) << text;
    }
    std::cout << "new streams " << fresh << ", begun " << begun << "; taken up " << takenUp.size() << ", gone on " << goneOn
              << ", complete " << complete << '\n';
    ASSERT_GE(takenUp.size(), MinTakenUp);
    EXPECT_GE(2 * goneOn * fresh, begun * takenUp.size());
}
