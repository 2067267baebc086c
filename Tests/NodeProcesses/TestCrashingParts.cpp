#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace json = boost::json;

namespace {

/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 2s;
constexpr std::size_t CrashesBeforeBound = 5;
constexpr std::size_t MaxArrivalsAfterBound = 3;
constexpr std::size_t MinSoundRequests = 24;
/// Number of sound requests that an entry gets in a round of requests.
constexpr int SoundPerEntry = 2;
constexpr std::size_t ServerCount = 8;

ServingFleet::Parts const soundParts = {"a1", "b1"};

/// A request whose prompt holds only sound parts, and when it was sent.
struct SoundRequest {
    Instant sentAt;
    /// Empty if there was no complete response.
    std::optional<int> status;
};

class CrashingPartTest : public ::testing::Test
{
protected:
    using Entries = std::vector<NodeProcess *>;

    void SetUp() override
    {
        fleet_.startServers(ServerCount);
    }

    /// Starts a runner and entries, and checks that sound requests are served.
    Entries startFleet(std::vector<std::string> const &entryNames)
    {
        Entries entries;
        runners_.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
        for (auto const &name : entryNames)
            entries.push_back(&fleet_.startNode(name));
        for (auto const *entry : entries)
            fleet_.waitUntilReady(*entry);
        expectSoundRequestsAreServed(entries);
        return entries;
    }

    /// Returns a prompt with the part. Where the part is and what else the prompt holds varies.
    ServingFleet::Parts promptWith(std::string const &part)
    {
        switch (prompts_++ % 3) {
        case 0:
            return {soundParts[0], part};
        case 1:
            return {soundParts[0], soundParts[1], part};
        default:
            return {"c1", part, soundParts[1]};
        }
    }

    /// Sends a number of requests with each of the parts to each entry, together with sound ones, and waits for all responses.
    void sendRound(Entries const &entries, std::vector<std::string> const &parts, std::size_t requestsPerPart = 1)
    {
        std::vector<std::future<ServingFleet::Answer>> crashing;
        std::vector<std::future<ServingFleet::Answer>> sound;
        auto const sentAt = readLocalClock();
        for (auto const *entry : entries) {
            for (int number = 0; number < SoundPerEntry; ++number)
                sound.push_back(fleet_.send(*entry, fleet_.requestOf(soundParts)));
            for (auto const &part : parts) {
                for (std::size_t number = 0; number < requestsPerPart; ++number)
                    crashing.push_back(fleet_.send(*entry, fleet_.requestOf(promptWith(part))));
            }
        }
        for (auto &answer : crashing)
            answer.wait();
        for (auto &future : sound) {
            auto const answer = future.get();
            sound_.push_back({.sentAt = sentAt, .status = answer ? std::optional(answer->status) : std::nullopt});
        }
    }

    [[nodiscard]] static bool isServed(SoundRequest const &request)
    {
        return request.status == 200;
    }

    /// Sends sound requests only. All of them must be served.
    void expectSoundRequestsAreServed(Entries const &entries)
    {
        auto const first = sound_.size();
        while (sound_.size() < first + MinSoundRequests)
            sendRound(entries, {});
        EXPECT_EQ(std::count_if(sound_.begin() + static_cast<std::ptrdiff_t>(first), sound_.end(), isServed),
                  static_cast<std::ptrdiff_t>(sound_.size() - first));
    }

    /// Sends requests with the part until servers have crashed five times or a number of requests have been sent.
    void crashServers(std::string const &part, Entries const &entries)
    {
        fleet_.addCrashingPart(part);
        constexpr int MaxRounds = 10;
        for (int round = 0; round < MaxRounds && fleet_.crashes(part).size() < CrashesBeforeBound; ++round)
            sendRound(entries, {part});
        ASSERT_FALSE(fleet_.crashes(part).empty());
    }

    /// Like crashServers(), but begins with requests for all servers at once, so that no server is spared by the evidence of another one.
    void crashServersAtOnce(std::string const &part, NodeProcess &entry)
    {
        fleet_.addCrashingPart(part);
        sendRound({&entry}, {part}, 3 * ServerCount);
        crashServers(part, {&entry});
    }

    /// Returns when servers crashed on the part for the fifth time, or for the last time if there are fewer crashes.
    Instant boundingCrash(std::string const &part)
    {
        auto const crashes = fleet_.crashes(part);
        return crashes.at(std::min(crashes.size(), CrashesBeforeBound) - 1);
    }

    void waitForContact(std::string const &part)
    {
        fleet_.waitUntil(boundingCrash(part) + ContactTime);
        fleet_.waitUntilServersAreUp();
    }

    /// Checks how many requests with the part reached servers later than ContactTime after the fifth crash.
    void expectFewArrivals(std::string const &part)
    {
        auto const crashes = fleet_.crashes(part);
        if (crashes.size() < CrashesBeforeBound)
            return;
        auto const arrivals = fleet_.arrivals(part);
        auto const bound = boundingCrash(part) + ContactTime;
        auto const late = std::ranges::count_if(arrivals, [&](Instant at) { return at > bound; });
        EXPECT_LE(late, MaxArrivalsAfterBound) << "requests with the part " << part << " that reached servers later than "
                                               << ContactTime / 1ms << " ms after the fifth crash; " << crashes.size() << " crashes in all";
    }

    /// Sends requests with the parts and sound ones until enough sound ones were sent later than 2 x ContactTime after the fifth crash on
    /// the last part, and checks how many of these were served.
    void expectSoundRequestsAreServedBeside(std::vector<std::string> const &parts, Entries const &entries)
    {
        auto const &part = parts.back();
        std::vector<SoundRequest> late;
        while (late.size() < MinSoundRequests) {
            sendRound(entries, parts);
            fleet_.waitUntil(readLocalClock() + 50ms);
            auto const bound = boundingCrash(part) + 2 * ContactTime;
            late.clear();
            std::ranges::copy_if(sound_, std::back_inserter(late), [&](SoundRequest const &request) { return request.sentAt > bound; });
        }
        auto const served = std::ranges::count_if(late, isServed);
        EXPECT_GE(2 * static_cast<std::size_t>(served), late.size())
            << served << " of " << late.size() << " sound requests were served beside requests with the part " << part;
    }

    /// Sends requests with the part, and then sound ones, to entries that were not reachable while servers crashed on it.
    void expectEntriesKnowThePart(std::string const &part, Entries const &entries)
    {
        constexpr int Rounds = 12;
        for (int round = 0; round < Rounds; ++round) {
            fleet_.waitUntilServersAreUp();
            sendRound(entries, {part});
        }
        expectFewArrivals(part);
        fleet_.waitUntilServersAreUp();
        fleet_.waitUntil(readLocalClock() + ContactTime);
        expectSoundRequestsAreServed(entries);
    }

    std::vector<NodeProcess *> runners_;
    ServingFleet fleet_;
    std::size_t prompts_ = 0;
    std::vector<SoundRequest> sound_;
};

/// Servers send the head of a stream with its first event, so that one which crashes has sent nothing.
class LateHeadTest : public CrashingPartTest
{
protected:
    void SetUp() override
    {
        fleet_.setHeadMoment(ModelServer::HeadMoment::FirstEvent);
        CrashingPartTest::SetUp();
    }

    /// Sends requests with the parts until each has crashed servers, and then beside sound ones.
    void expectPartsAreFound(std::vector<std::string> parts)
    {
        auto const entries = startFleet({"entry-1", "entry-2", "entry-3", "entry-4"});
        for (auto const &part : parts)
            fleet_.addCrashingPart(part);
        for (int round = 0; round < 10; ++round)
            sendRound(entries, parts);
        // A part whose prompts were all refused because of another part has crashed no server yet.
        auto const firstCrashed =
            std::stable_partition(parts.begin(), parts.end(), [&](std::string const &part) { return fleet_.crashes(part).empty(); });
        ASSERT_NE(firstCrashed, parts.end());
        std::for_each(firstCrashed, parts.end(), [&](std::string const &part) { waitForContact(part); });
        expectSoundRequestsAreServedBeside(parts, entries);
        for (auto const &part : parts)
            expectFewArrivals(part);
    }
};

class SoundPartTest : public CrashingPartTest
{
protected:
    void SetUp() override
    {
        CrashingPartTest::SetUp();
        entries_ = startFleet({"entry-1", "entry-2", "entry-3"});
    }

    /// A refusal would mean that the parts are taken for the cause.
    void expectNoRefusals()
    {
        auto const isRefused = [](SoundRequest const &request) { return request.status == 503 || request.status == 429; };
        EXPECT_EQ(std::ranges::count_if(sound_, isRefused), 0);
    }

    Entries entries_;
};

class JobWithCrashingPartTest : public CrashingPartTest
{
protected:
    static constexpr std::size_t CrashingItems = 8;
    static constexpr std::size_t SoundItems = 8;
    static constexpr std::size_t Items = CrashingItems + SoundItems;

    struct Item {
        std::string id;
        ServingFleet::Parts parts;
    };

    /// Returns a job's items with the part, and as many sound ones.
    std::vector<Item> itemsWith(std::string const &job, std::string const &part)
    {
        std::vector<Item> items;
        for (std::size_t index = 0; index < Items; ++index) {
            bool const isCrashing = index < CrashingItems;
            items.push_back({.id = (isCrashing ? "crashing-" : "sound-") + job + "-" + std::to_string(index),
                             .parts = isCrashing ? promptWith(part) : soundParts});
        }
        return items;
    }

    void submit(NodeProcess const &entry, std::string const &job, std::vector<Item> const &jobItems)
    {
        ASSERT_EQ(trySubmit(entry, job, jobItems), 202);
    }

    /// Returns the status of the answer; zero if there is none.
    int trySubmit(NodeProcess const &entry, std::string const &job, std::vector<Item> const &jobItems)
    {
        json::array items;
        for (std::size_t index = 0; index < jobItems.size(); ++index) {
            json::object headers;
            auto const prompt = fleet_.promptHeaders(jobItems[index].parts);
            for (auto const &header : prompt.fields())
                headers[header.name] = header.value;
            items.push_back(json::object{{"id", jobItems[index].id},
                                         {"path", "/b/" + std::to_string(index)},
                                         {"headers", std::move(headers)},
                                         {"body", "aGVsbG8="},
                                         {"tokens", 300}});
        }
        auto const answer = fleet_
                                .send(entry,
                                      {.method = "POST",
                                       .target = "/b/1",
                                       .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                                       .body = json::serialize(json::object{{"items", std::move(items)}})})
                                .get();
        return answer ? answer->status : 0;
    }

    json::array readResults(NodeProcess const &entry, std::string const &job)
    {
        auto const answer =
            fleet_.send(entry, {.method = "GET", .target = "/api/lots/" + job + "?after=0", .headers = {{"Host", "h.example"}}}).get();
        if (!answer || answer->status != 200)
            return {};
        return json::parse(answer->body).as_object().at("results").as_array();
    }

    /// Waits until there are results for a number of items of which the sound ones must be completed.
    void waitForResults(NodeProcess const &entry, std::string const &job, std::size_t count)
    {
        json::array results;
        constexpr int MaxReads = 600;
        for (int read = 0; read < MaxReads && results.size() < count; ++read) {
            fleet_.waitUntil(readLocalClock() + 100ms);
            results = readResults(entry, job);
        }
        ASSERT_GE(results.size(), count);
        for (auto const &result : results) {
            auto const &fields = result.as_object();
            if (fields.at("id").as_string().starts_with("sound-")) {
                EXPECT_EQ(fields.at("state").as_string(), "completed") << fields.at("id").as_string();
            }
        }
    }
};

} // namespace

/// Guards against one prompt part that ends server after server because each entry has to lose servers to it by itself.
TEST_F(CrashingPartTest, EntriesStopSendingAPartThatCrashedServersOfOtherEntries)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3", "entry-4"});
    crashServers("d1", {entries[0], entries[1]});
    waitForContact("d1");
    expectSoundRequestsAreServedBeside({"d1"}, entries);
    expectFewArrivals("d1");
}

/// Guards against a part that is never found because servers crash on it before they have sent the head of a response.
TEST_F(LateHeadTest, EntriesStopSendingAPartThatCrashesServersBeforeTheHead)
{
    expectPartsAreFound({"d1"});
}

/// Guards against parts of which the last ones are sent on and on, as the crashes are put down to others.
TEST_F(LateHeadTest, EntriesStopSendingFourPartsThatCrashServersBeforeTheHead)
{
    expectPartsAreFound({"d1", "d2", "d3", "d4"});
}

/// Servers crash for another reason while sound requests wait that have no head yet. Guards against taking their parts for the cause.
TEST_F(LateHeadTest, PartsOfRequestsWithoutAHeadAreNotRefusedAfterOtherCrashes)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    constexpr int Crashes = 10;
    for (int crash = 0; crash < Crashes; ++crash) {
        fleet_.setBehaviour([isDue = std::make_shared<bool>(true)](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
            if (std::exchange(*isDue, false))
                return server.crash();
            server.writeEvents(run);
        });
        sendRound(entries, {});
        fleet_.waitUntilServersAreUp();
    }
    expectSoundRequestsAreServed(entries);
    EXPECT_EQ(std::ranges::count_if(sound_, [](SoundRequest const &request) { return request.status == 503 || request.status == 429; }), 0);
}

/// Guards against a second crashing part that is missed while requests with the first one still come.
TEST_F(CrashingPartTest, EntriesStopSendingASecondPart)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    for (auto const *part : {"d1", "d2"}) {
        crashServersAtOnce(part, *entries[0]);
        waitForContact(part);
    }
    expectSoundRequestsAreServedBeside({"d1", "d2"}, entries);
    expectFewArrivals("d1");
    expectFewArrivals("d2");
}

/// Guards against entries that forget a crashing part with their process.
TEST_F(CrashingPartTest, RestartedEntriesDoNotSendAPartThatCrashedServers)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    crashServersAtOnce("d1", *entries[0]);
    waitForContact("d1");
    Entries const restarted{entries[1], entries[2]};
    for (auto *entry : restarted) {
        entry->kill();
        entry->start();
    }
    for (auto const *entry : restarted)
        fleet_.waitUntilReady(*entry);
    fleet_.waitUntil(readLocalClock() + ContactTime);
    expectEntriesKnowThePart("d1", restarted);
}

/// Guards against entries that never learn of a crashing part because they were paused when another one reported it.
TEST_F(CrashingPartTest, PausedEntriesDoNotSendAPartThatCrashedServersMeanwhile)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    Entries const paused{entries[1], entries[2]};
    for (auto *entry : paused)
        entry->pause();
    crashServersAtOnce("d1", *entries[0]);
    waitForContact("d1");
    for (auto *entry : paused)
        entry->resume();
    fleet_.waitUntil(readLocalClock() + ContactTime);
    expectEntriesKnowThePart("d1", paused);
}

/// Guards against a job whose items end server after server, against sound items that are lost with them, and against entries that
/// don't learn of a crashing part from a runner.
TEST_F(JobWithCrashingPartTest, ItemsWithThePartStopReachingServersAndSoundItemsComplete)
{
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    auto const &entry = *entries[0];
    fleet_.addCrashingPart("d1");
    submit(entry, "first", itemsWith("first", "d1"));
    waitForResults(entry, "first", SoundItems);
    ASSERT_FALSE(fleet_.crashes("d1").empty());
    fleet_.waitUntil(boundingCrash("d1") + ContactTime);
    submit(entry, "second", itemsWith("second", "d1"));
    constexpr int Rounds = 5;
    for (int round = 0; round < Rounds; ++round)
        sendRound(entries, {"d1"});
    // Items that cannot be done are given up.
    waitForResults(entry, "first", Items);
    waitForResults(entry, "second", Items);
    expectFewArrivals("d1");
}

/// Guards against runners that start, take jobs over, and send items with a part of which the others knew that it crashes servers.
TEST_F(JobWithCrashingPartTest, ItemsWithThePartAreNotRepeatedByRunnersThatStart)
{
    constexpr int Kills = 10;
    int accepted = 0;
    constexpr Duration KillInterval = 1200ms;
    constexpr Duration DownTime = 300ms;
    auto const entries = startFleet({"entry-1", "entry-2"});
    runners_.push_back(&fleet_.startNode("runner-2", Serving::InstanceRole::Runner));
    fleet_.addCrashingPart("d1");
    for (int kill = 0; kill < Kills; ++kill) {
        auto const job = "job-" + std::to_string(kill);
        // Jobs for which there is no room in time are refused.
        accepted += trySubmit(*entries[0], job, itemsWith(job, "d1")) == 202 ? 1 : 0;
        fleet_.waitUntil(readLocalClock() + KillInterval - DownTime);
        auto &runner = *runners_[static_cast<std::size_t>(kill) % runners_.size()];
        runner.kill();
        fleet_.waitUntil(readLocalClock() + DownTime);
        runner.start();
    }
    EXPECT_GE(2 * accepted, Kills);
    ASSERT_FALSE(fleet_.crashes("d1").empty());
    expectFewArrivals("d1");
}

/// Servers fail together while they read the first prompts with a part. Guards against items that are kept from all other servers until
/// they are given up because the part is taken for the cause.
TEST_F(JobWithCrashingPartTest, ItemsCompleteAfterServersFailedTogetherWithTheirPart)
{
    constexpr std::size_t FailingServers = 3;
    auto const entries = startFleet({"entry-1", "entry-2", "entry-3"});
    auto const failing = std::make_shared<std::vector<ModelServer *>>();
    fleet_.setBehaviour([failing](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
        bool const isKnown = std::ranges::find(*failing, &server) != failing->end();
        if (failing->size() >= FailingServers || isKnown)
            return server.writeEvents(run);
        failing->push_back(&server);
        if (failing->size() < FailingServers)
            return;
        for (auto *each : *failing)
            each->crash();
    });
    std::vector<Item> items;
    for (std::size_t item = 0; item < FailingServers; ++item)
        items.push_back({.id = "sound-" + std::to_string(item), .parts = {"e1"}});
    submit(*entries[0], "job", items);
    waitForResults(*entries[0], "job", items.size());
    EXPECT_EQ(fleet_.crashes().size(), FailingServers);
}

/// Guards against refusals of sound parts that merely were in use when a server ended for another reason.
TEST_F(SoundPartTest, ServersThatCrashForAnotherReasonCauseNoRefusals)
{
    constexpr int Crashes = 10;
    for (int crash = 0; crash < Crashes; ++crash) {
        fleet_.setBehaviour([isDue = std::make_shared<bool>(true)](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
            if (std::exchange(*isDue, false))
                return server.crash();
            server.writeEvents(run);
        });
        sendRound(entries_, {});
        fleet_.waitUntilServersAreUp();
    }
    expectSoundRequestsAreServed(entries_);
    expectNoRefusals();
}

/// Guards against refusals of sound parts after responses that ended behind their head though the server runs on.
TEST_F(SoundPartTest, ResponsesCutBehindTheHeadCauseNoRefusals)
{
    constexpr int Rounds = 30;
    fleet_.setBehaviour([number = std::make_shared<int>(0)](ModelServer &server, std::shared_ptr<ModelServer::Run> const &run) {
        if (++*number % 4 == 0)
            return server.cut(run);
        server.writeEvents(run);
    });
    for (int round = 0; round < Rounds; ++round)
        sendRound(entries_, {});
    fleet_.setBehaviour({});
    expectSoundRequestsAreServed(entries_);
    expectNoRefusals();
}
