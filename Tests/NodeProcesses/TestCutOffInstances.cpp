#include "Tests/NodeProcesses/ServingFleet.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>
#include <utility>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

using ResponseForm = ModelServer::ResponseForm;

constexpr std::size_t ServersOfForm = 4;
/// The platform's bound on how long instances may take to learn of something.
constexpr Duration ContactTime = 3s;
constexpr Duration RequestInterval = 5ms;
constexpr int RequestCount = 45;
/// A refusal that is known to be one takes no longer, also after some other instances were asked.
constexpr Duration MaxRefusalTime = 1500ms;
/// Time after its start in which an instance has received what peers know.
constexpr Duration CatchUpTime = 1s;
constexpr int MaxStarts = 10;
/// Time in which a restored path has been found.
constexpr Duration RestoreTime = 2s;

class CutOffInstanceTest : public ::testing::Test
{
protected:
    void startFleet(std::size_t cuttable, std::size_t others)
    {
        fleet_.startServers(ServersOfForm, ResponseForm::Whole);
        fleet_.startServers(ServersOfForm);
        std::vector<NodeProcess *> all;
        for (std::size_t number = 1; number <= cuttable; ++number)
            cuttable_.push_back(&fleet_.startCuttableNode("cut-" + std::to_string(number)));
        startApart([&] {
            all.push_back(&fleet_.startNode("runner-1", Serving::InstanceRole::Runner));
            for (std::size_t number = 1; number <= others; ++number)
                others_.push_back(&fleet_.startNode("entry-" + std::to_string(number)));
            all.insert(all.end(), others_.begin(), others_.end());
            all.insert(all.end(), cuttable_.begin(), cuttable_.end());
        });
        // Instances that lag behind the store, as on a busy machine, learn the servers from peers, too.
        for (int start = 1; !knowServersFromStore(all); ++start) {
            ASSERT_LT(start, MaxStarts) << "instances lag behind the store";
            for (auto *node : all)
                node->kill();
            for (auto *entry : cuttable_)
                entry->start();
            startApart([&] {
                for (auto *node : all) {
                    if (std::ranges::find(cuttable_, node) == cuttable_.end())
                        node->start();
                }
            });
        }
        for (auto const *entry : others_) {
            fleet_.waitUntilReady(*entry);
            // An entry that has just started helps once it serves streams.
            for (auto answer = fleet_.send(*entry, fleet_.requestOf({"a1"})).get(); !answer || answer->status != 200;)
                answer = fleet_.send(*entry, fleet_.requestOf({"a1"})).get();
        }
    }

    /// Starts the instances that cannot be cut off while the running ones are paused. A starting instance may fetch the list of servers
    /// from a peer, and the lists of the two kinds contain different addresses.
    void startApart(std::function<void()> const &startOthers)
    {
        for (auto const *entry : cuttable_)
            fleet_.waitUntilReady(*entry);
        for (auto *entry : cuttable_)
            entry->pause();
        startOthers();
        for (auto const *entry : others_)
            fleet_.waitUntilReady(*entry);
        for (auto *entry : cuttable_)
            entry->resume();
        for (auto const *entry : cuttable_)
            fleet_.waitUntilReady(*entry);
    }

    /// Whether no instance has learnt the servers from a peer since the last call.
    bool knowServersFromStore(std::vector<NodeProcess *> const &nodes)
    {
        std::this_thread::sleep_for(CatchUpTime);
        std::size_t learnt = 0;
        for (auto const *node : nodes)
            learnt += node->countInLog("node-learnt-from-peer");
        return std::exchange(learntFromPeers_, learnt) == learnt;
    }

    ServingFleet::TimedAnswer send(NodeProcess const &entry)
    {
        char const *const prefixes[] = {"/q/", "/u/", "/s/"};
        auto const number = std::to_string(++requests_);
        auto const prefix = prefixes[static_cast<std::size_t>(requests_) / cuttable_.size() % 3];
        auto request = ServingFleet::plainRequest(prefix + number, "body " + number);
        request.headers.set("Anvilyard-Attempt-Id", "n" + number);
        return fleet_.sendTimed(entry, std::move(request)).get();
    }

    /// Cuts the entries off, sends requests until they have detected it, and then expects that first attempts there are served.
    void expectServedThroughOthers(Cut cut)
    {
        fleet_.setCut(cut);
        for (auto const end = readLocalClock() + ContactTime; readLocalClock() < end;) {
            for (auto const *entry : cuttable_)
                send(*entry);
        }
        std::size_t served = 0;
        for (int round = 0; round < RequestCount; ++round) {
            auto const answer = send(*cuttable_[static_cast<std::size_t>(round) % cuttable_.size()]).answer;
            served += answer && answer->status == 200 ? 1 : 0;
            EXPECT_LE(fleet_.arrivalsOf("n" + std::to_string(requests_)).size(), 1U);
            std::this_thread::sleep_for(RequestInterval);
        }
        // Two thirds are the bound of the platform. Nothing but the cut happens here.
        EXPECT_EQ(served, static_cast<std::size_t>(RequestCount));
    }

    ServingFleet fleet_;
    std::vector<NodeProcess *> cuttable_;
    std::vector<NodeProcess *> others_;
    int requests_ = 0;
    std::size_t learntFromPeers_ = 0;
};

} // namespace

// Entries that cannot connect to any server refuse their callers' first attempts, although other entries could serve them.
TEST_F(CutOffInstanceTest, CallersAreServedThroughOthersWhileConnectionsToServersAreRefused)
{
    startFleet(3, 2);
    expectServedThroughOthers(Cut::Refused);
}

TEST_F(CutOffInstanceTest, CallersAreServedThroughOthersWhileConnectionsToServersAreReset)
{
    startFleet(3, 2);
    expectServedThroughOthers(Cut::Reset);
}

TEST_F(CutOffInstanceTest, CallersAreServedThroughOthersWhileConnectionsToServersHang)
{
    startFleet(3, 2);
    expectServedThroughOthers(Cut::Silent);
}

// While it is being found out whether servers are out of reach, requests wait without being at a server. Their connections must not be
// closed.
TEST_F(CutOffInstanceTest, RequestsAreAnsweredWhileTheCutIsBeingDetected)
{
    constexpr std::size_t FurtherServers = 12;
    constexpr int Cuts = 3;
    fleet_.startServers(FurtherServers, ResponseForm::Whole);
    startFleet(1, 2);
    for (int cut = 0; cut < Cuts; ++cut) {
        fleet_.setCut(Cut::Reset);
        std::vector<std::future<ServingFleet::Answer>> answers;
        for (int request = 0; request < RequestCount; ++request) {
            auto const number = std::to_string(++requests_);
            auto idempotent = ServingFleet::plainRequest("/q/" + number, "body " + number);
            idempotent.headers.set("Anvilyard-Attempt-Id", "n" + number);
            answers.push_back(fleet_.send(*cuttable_[0], std::move(idempotent)));
        }
        for (auto &answer : answers) {
            auto const response = answer.get();
            EXPECT_TRUE(response && response->status == 200) << (response ? response->body : response.error().error.toString());
        }
        fleet_.setCut(Cut::None);
        std::this_thread::sleep_for(RestoreTime);
    }
}

// A cut that is not found to have ended would load other instances for good.
TEST_F(CutOffInstanceTest, RequestsAreSentDirectlyAgainAfterTheCut)
{
    startFleet(1, 1);
    expectServedThroughOthers(Cut::Refused);
    fleet_.setCut(Cut::None);
    std::this_thread::sleep_for(RestoreTime);
    others_[0]->kill();
    for (int round = 0; round < RequestCount; ++round) {
        auto const answer = send(*cuttable_[0]).answer;
        EXPECT_TRUE(answer && answer->status == 200);
    }
}

// Instances that pass requests on to each other in a circle would never answer, and one that waits for help would answer late.
TEST_F(CutOffInstanceTest, RequestsAreRefusedAtOnceIfAllInstancesAreCutOff)
{
    startFleet(3, 0);
    fleet_.setCut(Cut::Refused);
    for (auto const end = readLocalClock() + ContactTime; readLocalClock() < end;) {
        for (auto const *entry : cuttable_)
            send(*entry);
    }
    for (int round = 0; round < RequestCount; ++round) {
        auto const [answer, time] = send(*cuttable_[static_cast<std::size_t>(round) % cuttable_.size()]);
        EXPECT_TRUE(answer && answer->status == 503);
        EXPECT_LT(time, MaxRefusalTime);
    }
}

// A stream that was passed on ends with the instance that helped, although others could go on with it.
TEST_F(CutOffInstanceTest, StreamsGoOnThroughAnotherInstanceIfTheOneThatHelpsEnds)
{
    fleet_.setStreams(60, 20ms);
    startFleet(1, 3);
    fleet_.setCut(Cut::Refused);
    // Detects the cut.
    send(*cuttable_[0]);
    std::vector<std::shared_ptr<ServingFleet::Stream>> streams;
    for (int stream = 0; stream < 12; ++stream) {
        auto request = fleet_.requestOf({"a1"});
        streams.push_back(fleet_.openStream(*cuttable_[0], std::move(request)));
    }
    std::this_thread::sleep_for(400ms);
    others_[0]->kill();
    fleet_.waitUntilEnded(streams);
    for (auto const &stream : streams) {
        EXPECT_EQ(stream->end, ServingFleet::Stream::End::Complete);
        std::string expected;
        for (int event = 0; event < 60; ++event)
            expected += "id: " + std::to_string(event) + "\ndata: t" + std::to_string(event) + "\n\n";
        EXPECT_EQ(stream->text, expected);
    }
}

// Connections that are reset and refused look like crashes of the servers. Entries that are cut off would put sound requests, and parts
// that their prompts share, into quarantine on all instances.
TEST_F(CutOffInstanceTest, RequestsAreNotBlamedForConnectionsThatTheCutEnded)
{
    // All requests of a wave are at servers when the cut begins, and none has been answered.
    constexpr Duration PromptTime = 300ms;
    constexpr int Waves = 3;
    constexpr std::size_t RequestsOfWave = 8;
    fleet_.setPromptTime(PromptTime);
    startFleet(3, 2);
    ServingFleet::Parts const shared = {"a2", "b2"};
    for (int wave = 0; wave < Waves; ++wave) {
        std::vector<std::future<ServingFleet::Answer>> answers;
        for (std::size_t request = 0; request < RequestsOfWave; ++request) {
            for (auto const *entry : cuttable_)
                answers.push_back(fleet_.send(*entry, fleet_.requestOf(shared)));
        }
        std::this_thread::sleep_for(PromptTime / 3);
        fleet_.setCut(Cut::Reset);
        std::this_thread::sleep_for(ContactTime);
        fleet_.setCut(Cut::None);
        for (auto &answer : answers)
            answer.wait();
        std::this_thread::sleep_for(RestoreTime);
    }
    for (auto const *entry : others_) {
        auto const answer = fleet_.send(*entry, fleet_.requestOf(shared)).get();
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200) << answer->body;
    }
}

// While servers that crash together make it a question whether all are out of reach, requests that may run only once are lost with some of
// them. They must not be sent again once the question is decided.
TEST_F(CutOffInstanceTest, RequestsThatMayHaveRunAreNotSentAgainAfterTheCheck)
{
    constexpr Duration PromptTime = 200ms;
    constexpr std::size_t FurtherServers = 16;
    constexpr std::size_t CrashingServers = 12;
    constexpr int Waves = 4;
    constexpr int RequestsOfWave = 80;
    fleet_.setPromptTime(PromptTime);
    fleet_.startServers(FurtherServers, ResponseForm::Whole);
    startFleet(0, 1);
    for (int wave = 0; wave < Waves; ++wave) {
        auto const first = requests_ + 1;
        std::vector<std::future<ServingFleet::Answer>> answers;
        for (int request = 0; request < RequestsOfWave; ++request) {
            auto const number = std::to_string(++requests_);
            auto once = ServingFleet::plainRequest((requests_ % 2 == 0 ? "/u/" : "/q/") + number, "body " + number);
            once.headers.set("Anvilyard-Attempt-Id", "n" + number);
            answers.push_back(fleet_.send(*others_[0], std::move(once)));
        }
        std::this_thread::sleep_for(PromptTime / 2);
        for (std::size_t server = 0; server < CrashingServers; ++server)
            fleet_.crashServer(server);
        for (auto &answer : answers)
            answer.wait();
        for (int request = first; request <= requests_; ++request) {
            if (request % 2 == 0) {
                EXPECT_LE(fleet_.arrivalsOf("n" + std::to_string(request)).size(), 1U) << request;
            }
        }
        fleet_.waitUntilServersAreUp();
        std::this_thread::sleep_for(RestoreTime);
    }
}
