#include "LibServing/PromptQuarantine.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <random>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

WallInstant const testStart(std::chrono::hours(500'000));
constexpr std::uint64_t Crashing = 99;
constexpr std::uint64_t Sound = 7;

ServerProcess serverNumber(std::size_t number)
{
    return {.id = ServerId("s" + std::to_string(number)), .startedAt = 1};
}

RequestSuspects requestNumber(std::uint64_t number)
{
    return {.request = RequestFingerprint(number)};
}

class RequestQuarantineTest : public ::testing::Test
{
protected:
    bool isRefused(std::uint64_t request, WallInstant now = testStart) const
    {
        return quarantine_.find(requestNumber(request), now).has_value();
    }

    bool lose(std::size_t server, std::uint64_t request, std::chrono::milliseconds runTime = 40ms, WallInstant now = testStart)
    {
        return quarantine_.onLost(serverNumber(server), requestNumber(request), runTime, now);
    }

    PromptQuarantine quarantine_{PromptQuarantineOptions{}};
};

} // namespace

/// Guards against a request that ends one server after the other.
TEST_F(RequestQuarantineTest, ARequestWithWhichServersAreLostIsRefused)
{
    for (std::size_t server = 0; server < 3; ++server) {
        EXPECT_FALSE(isRefused(Crashing));
        EXPECT_TRUE(lose(server, Crashing));
        EXPECT_FALSE(lose(server, Crashing)) << "the same process";
    }
    EXPECT_TRUE(isRefused(Crashing));
    EXPECT_FALSE(isRefused(Sound));
    EXPECT_TRUE(isRefused(Crashing, testStart + 9s));
    EXPECT_FALSE(isRefused(Crashing, testStart + 10s));
}

/// A sound request runs at the crashing servers, comes again with the crashing one and is lost with it three times. Guards against refusing
/// it.
TEST_F(RequestQuarantineTest, ARequestThatIsLostWithTheCrashingOneIsNotRefused)
{
    for (std::size_t server = 0; server < 3; ++server) {
        lose(server, Sound, server == 1 ? 300ms : 30ms);
        lose(server, Crashing);
    }
    EXPECT_TRUE(isRefused(Crashing)) << "it began shortly before each crash";
    EXPECT_FALSE(isRefused(Sound));
}

/// The wrong one of two requests was blamed. Guards against holding on to it after the other one has ended one more server.
TEST_F(RequestQuarantineTest, AWrongChoiceIsCorrectedByTheNextCrash)
{
    for (std::size_t server = 0; server < 3; ++server) {
        lose(server, Sound, 20ms);
        lose(server, Crashing, 400ms);
    }
    EXPECT_TRUE(isRefused(Sound)) << "the responses lost so far say so";
    lose(3, Crashing, 400ms);
    EXPECT_TRUE(isRefused(Crashing));
    EXPECT_FALSE(isRefused(Sound));
}

/// Guards against a request that goes on being refused, or is refused again, after a server has answered it.
TEST_F(RequestQuarantineTest, AnAnswerClearsARequest)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    for (std::size_t server = 0; server < 3; ++server)
        lose(server, Sound);
    EXPECT_TRUE(isRefused(Sound));
    other.merge(quarantine_.evidence(), testStart);
    auto const version = quarantine_.version();
    quarantine_.onAnswered(requestNumber(Sound), testStart + 1s);
    EXPECT_GT(quarantine_.version(), version) << "other instances have to receive it";
    EXPECT_FALSE(isRefused(Sound, testStart + 1s));
    EXPECT_FALSE(isRefused(Sound, testStart + 60s));
    auto const evidence = decodePromptEvidence(encodePromptEvidence(quarantine_.evidence()));
    ASSERT_TRUE(evidence);
    EXPECT_TRUE(other.merge(*evidence, testStart + 1s));
    EXPECT_FALSE(other.find(requestNumber(Sound), testStart + 1s));
}

/// Guards against memory and messages that grow with each answered request.
TEST_F(RequestQuarantineTest, AnswersOfOtherRequestsAreNotKept)
{
    lose(0, Crashing);
    auto const version = quarantine_.version();
    for (std::uint64_t request = 1000; request < 2000; ++request)
        quarantine_.onAnswered(requestNumber(request), testStart);
    EXPECT_TRUE(quarantine_.evidence().answeredRequests.empty());
    EXPECT_EQ(quarantine_.version(), version);
}

/// The request and a part of its prompt were lost equally often. Guards against refusing all requests with the part because of one of them.
TEST_F(RequestQuarantineTest, ARequestIsBlamedBeforeAPartOfItsPrompt)
{
    std::vector const parts{PromptPartId(1), PromptPartId(2)};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), {.parts = parts, .request = RequestFingerprint(Crashing)}, 40ms, testStart);
    EXPECT_TRUE(quarantine_.find(RequestSuspects{.parts = parts, .request = RequestFingerprint(Crashing)}, testStart));
    EXPECT_FALSE(quarantine_.find(RequestSuspects{.parts = parts, .request = RequestFingerprint(Sound)}, testStart));
    quarantine_.onLost(serverNumber(3), {.parts = parts, .request = RequestFingerprint(Crashing + 1)}, 40ms, testStart);
    EXPECT_TRUE(quarantine_.find(RequestSuspects{.parts = parts, .request = RequestFingerprint(Sound)}, testStart))
        << "another request with the part crashed a server, too";
}

/// Guards against a quarantine whose end costs as many servers as it took to find the request, or the same again and again.
TEST_F(RequestQuarantineTest, ATrialAfterTheEndCostsOneServer)
{
    for (std::size_t server = 0; server < 3; ++server)
        lose(server, Crashing);
    EXPECT_FALSE(isRefused(Crashing, testStart + 10s));
    lose(3, Crashing, 40ms, testStart + 12s);
    EXPECT_TRUE(isRefused(Crashing, testStart + 12s));
    EXPECT_TRUE(isRefused(Crashing, testStart + 71s));
    EXPECT_FALSE(isRefused(Crashing, testStart + 72s));
    lose(4, Crashing, 40ms, testStart + 100s);
    EXPECT_TRUE(isRefused(Crashing, testStart + 459s));
    EXPECT_FALSE(isRefused(Crashing, testStart + 460s));
    lose(5, Crashing, 40ms, testStart + 500s);
    EXPECT_TRUE(isRefused(Crashing, testStart + 2659s));
    EXPECT_FALSE(isRefused(Sound, testStart + 2659s));
}

/// Many servers crash within the quarantine, as when entries hear of one another late. Guards against refusing a request for an hour that
/// came again during a series of crashes for another reason.
TEST_F(RequestQuarantineTest, CrashesInASeriesDoNotMakeTheQuarantineLonger)
{
    for (std::size_t server = 0; server < 20; ++server)
        lose(server, Sound, 40ms, testStart + server * 100ms);
    EXPECT_TRUE(isRefused(Sound, testStart + 11s));
    EXPECT_FALSE(isRefused(Sound, testStart + 12s));
}

/// All instances learn of the end of a quarantine at the same time. Guards against a trial by each of them.
TEST_F(RequestQuarantineTest, InstancesTryOneAfterTheOther)
{
    std::set<WallInstant> ends;
    for (std::uint64_t instance = 1; instance <= 9; ++instance) {
        PromptQuarantine quarantine({.expirySpread = 1, .instanceHash = instance});
        for (std::size_t server = 0; server < 3; ++server)
            quarantine.onLost(serverNumber(server), requestNumber(Crashing), 40ms, testStart);
        auto const match = quarantine.find(requestNumber(Crashing), testStart);
        ASSERT_TRUE(match);
        EXPECT_GE(match->until, testStart + 10s);
        EXPECT_LT(match->until, testStart + 20s);
        ends.insert(match->until);
    }
    EXPECT_EQ(ends.size(), 9U);
}

/// An instance restarts during a quarantine that is longer than the time in which losses are counted. Guards against ignoring old evidence.
TEST_F(RequestQuarantineTest, ARestartedInstanceLearnsOfAnOldQuarantine)
{
    for (std::size_t server = 0; server < 7; ++server)
        lose(server, Crashing, 40ms, testStart + std::array{0s, 0s, 0s, 12s, 100s, 500s, 500s}.at(server));
    PromptQuarantine restarted{PromptQuarantineOptions{}};
    EXPECT_TRUE(restarted.merge(quarantine_.evidence(), testStart + 800s));
    EXPECT_TRUE(restarted.find(requestNumber(Crashing), testStart + 800s));
}

/// Servers crash in series with many requests each. Guards against evidence that grows with them, against messages beyond some kilobytes,
/// and against losing what holds a quarantine.
TEST_F(RequestQuarantineTest, EvidenceOfManyFailingRequestsIsBounded)
{
    for (std::size_t server = 0; server < 3; ++server)
        lose(server, Crashing);
    for (std::size_t server = 3; server < 300; ++server) {
        for (std::uint64_t request = 0; request < 40; ++request)
            lose(server, 1000 + server * 100 + request, 100ms, testStart + 1s);
    }
    auto const evidence = quarantine_.evidence();
    EXPECT_LE(evidence.lost.size(), 128U);
    for (auto const &message : splitPromptEvidence(evidence, MaxLostResponsesPerMessage))
        EXPECT_LE(encodePromptEvidence(message).size(), 4U * 1024U);
    EXPECT_TRUE(isRefused(Crashing, testStart + 1s));
    for (std::uint64_t request = 0; request < 40; ++request)
        EXPECT_FALSE(isRefused(1000 + 299 * 100 + request, testStart + 1s));
}

/// More responses are lost than instances keep. Guards against instances that send each other what they have removed, for ever.
TEST_F(RequestQuarantineTest, InstancesAtTheirLimitsStopExchanging)
{
    std::mt19937 random(3);
    std::vector<PromptQuarantine> instances(4, PromptQuarantine(PromptQuarantineOptions{}));
    for (std::size_t loss = 0; loss < 600; ++loss) {
        auto &instance = instances[std::uniform_int_distribution<std::size_t>(0, 3)(random)];
        instance.onLost(serverNumber(loss / 8), requestNumber(5000 + loss), 100ms, testStart + std::chrono::milliseconds(loss));
    }
    auto const exchange = [&] {
        std::size_t changes = 0;
        for (auto const &from : instances) {
            for (auto &to : instances) {
                for (auto const &message : splitPromptEvidence(from.evidence(), MaxLostResponsesPerMessage))
                    changes += to.merge(message, testStart + 1s) ? 1 : 0;
            }
        }
        return changes;
    };
    for (int pass = 0; pass < 3; ++pass)
        exchange();
    EXPECT_EQ(exchange(), 0U);
}

namespace {

/// Requests at nine entries before three servers, each of which is back some seconds after a crash as another process. Instances learn of
/// one another's losses within `exchangeDelay`.
class CrashSimulation
{
public:
    struct Options {
        std::size_t seed = 0;
        std::size_t crashingRequests = 1;
        /// Share of the attempts of sound requests whose answer is lost while the server goes on. Their loss is not confirmed.
        double lostAnswers = 0;
        /// Time between crashes for another reason; never if zero.
        Duration otherCrashes{0};
    };

    explicit CrashSimulation(Options options)
        : options_(options)
        , random_(options.seed)
    {
        for (std::uint64_t entry = 0; entry < EntryCount; ++entry)
            entries_.emplace_back(PromptQuarantineOptions{.expirySpread = 1, .instanceHash = entry});
    }

    void run(Duration time)
    {
        for (Duration elapsed{0}; elapsed < time; elapsed += Step) {
            now_ += std::chrono::duration_cast<std::chrono::milliseconds>(Step);
            if (elapsed % ExchangeInterval == Duration::zero())
                exchange();
            finishRuns();
            if (options_.otherCrashes > Duration::zero() && elapsed % options_.otherCrashes == Duration::zero())
                crash(servers_[draw(servers_.size())]);
            if (elapsed % SoundInterval == Duration::zero())
                arrive(++lastSound_);
            for (std::uint64_t request = 1; request <= options_.crashingRequests; ++request) {
                if (draw(CrashingEvery) == 0)
                    arrive(request);
            }
            auto const due = std::stable_partition(again_.begin(), again_.end(), [&](auto const &entry) { return now_ < entry.second; });
            std::vector<std::pair<std::uint64_t, WallInstant>> const again(due, again_.end());
            again_.erase(due, again_.end());
            for (auto const &[request, at] : again)
                arrive(request);
        }
    }

    /// Sends of a crashing request later than the time of contact after the third crash, the most of any.
    std::size_t lateSends() const
    {
        std::size_t most = 0;
        for (auto const &[request, count] : lateSends_)
            most = std::max(most, count);
        return most;
    }

    /// Number of sound requests that were refused at first.
    std::size_t soundRefusals() const
    {
        return refusedSince_.size();
    }

    /// Longest time until a sound request that was refused at first was served, or to the end if it was not.
    std::chrono::milliseconds longestRefusal() const
    {
        auto longest = longestRefusal_;
        for (auto const &[request, at] : again_) {
            if (auto const since = refusedSince_.find(request); since != refusedSince_.end())
                longest = std::max(longest, now_ - since->second);
        }
        return longest;
    }

    std::size_t soundServed() const
    {
        return soundServed_;
    }

private:
    static constexpr std::size_t EntryCount = 9;
    static constexpr Duration Step = 10ms;
    static constexpr Duration ExchangeInterval = 100ms;
    static constexpr Duration SoundInterval = 50ms;
    static constexpr std::size_t CrashingEvery = 50;
    static constexpr std::uint64_t FirstSound = 1'000'000;
    static constexpr Duration ContactTime = 3s;
    static constexpr std::chrono::milliseconds FirstPause{100};
    static constexpr std::chrono::milliseconds MaxPause{2000};

    struct Run {
        std::uint64_t request = 0;
        std::size_t entry = 0;
        WallInstant sentAt;
        WallInstant endsAt;
    };

    struct Server {
        ServerProcess process;
        std::vector<Run> runs;
        WallInstant upAt;
    };

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    void exchange()
    {
        for (std::size_t from = 0; from < entries_.size(); ++from) {
            if (std::exchange(sentVersions_[from], entries_[from].version()) == entries_[from].version())
                continue;
            auto const evidence = entries_[from].evidence();
            for (auto &to : entries_)
                to.merge(evidence, now_);
        }
    }

    /// Sends a sound request again as runners do with items.
    void sendAgain(std::uint64_t request)
    {
        auto &pause = pauses_[request];
        pause = pause == std::chrono::milliseconds(0) ? FirstPause : std::min(2 * pause, MaxPause);
        again_.push_back({request, now_ + pause});
    }

    void arrive(std::uint64_t request)
    {
        auto const entry = draw(entries_.size());
        bool const isCrashing = request <= options_.crashingRequests;
        if (entries_[entry].find(requestNumber(request), now_)) {
            if (!isCrashing) {
                refusedSince_.try_emplace(request, now_);
                sendAgain(request);
            }
            return;
        }
        std::vector<Server *> up;
        for (auto &server : servers_) {
            if (now_ >= server.upAt)
                up.push_back(&server);
        }
        if (up.empty())
            return isCrashing ? void() : sendAgain(request);
        auto const crashes = crashes_.find(request);
        if (crashes != crashes_.end() && crashes->second.size() >= 3 && now_ > crashes->second[2] + ContactTime)
            ++lateSends_[request];
        entries_[entry].onSent(requestNumber(request), now_);
        up[draw(up.size())]->runs.push_back({.request = request,
                                             .entry = entry,
                                             .sentAt = now_,
                                             .endsAt = now_ + std::chrono::milliseconds(isCrashing ? 40 : 50 + 10 * draw(60))});
    }

    void finishRuns()
    {
        for (auto &server : servers_) {
            auto const crashing = std::find_if(server.runs.begin(), server.runs.end(), [&](Run const &run) {
                return run.request <= options_.crashingRequests && now_ >= run.endsAt;
            });
            if (crashing != server.runs.end()) {
                crashes_[crashing->request].push_back(now_);
                crash(server);
                continue;
            }
            auto const ended =
                std::stable_partition(server.runs.begin(), server.runs.end(), [&](Run const &run) { return now_ < run.endsAt; });
            for (auto run = ended; run != server.runs.end(); ++run)
                finish(*run);
            server.runs.erase(ended, server.runs.end());
        }
    }

    void finish(Run const &run)
    {
        if (std::bernoulli_distribution(options_.lostAnswers)(random_)) {
            sendAgain(run.request);
            return;
        }
        ++soundServed_;
        if (auto const since = refusedSince_.find(run.request); since != refusedSince_.end())
            longestRefusal_ = std::max(longestRefusal_, now_ - since->second);
        entries_[run.entry].onAnswered(requestNumber(run.request), now_);
    }

    void crash(Server &server)
    {
        if (now_ < server.upAt)
            return;
        for (auto const &run : std::exchange(server.runs, {})) {
            auto const runTime = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - run.sentAt);
            entries_[run.entry].onLost(server.process, requestNumber(run.request), runTime, now_);
            if (run.request > options_.crashingRequests)
                sendAgain(run.request);
        }
        ++server.process.startedAt;
        server.upAt = now_ + 3s;
    }

    Options options_;
    std::mt19937_64 random_;
    std::vector<PromptQuarantine> entries_;
    std::array<std::uint64_t, EntryCount> sentVersions_{};
    std::vector<Server> servers_{{.process = serverNumber(0)}, {.process = serverNumber(1)}, {.process = serverNumber(2)}};
    WallInstant now_ = testStart;
    std::uint64_t lastSound_ = FirstSound;
    std::map<std::uint64_t, std::vector<WallInstant>> crashes_;
    std::map<std::uint64_t, std::size_t> lateSends_;
    std::map<std::uint64_t, std::chrono::milliseconds> pauses_;
    std::map<std::uint64_t, WallInstant> refusedSince_;
    std::vector<std::pair<std::uint64_t, WallInstant>> again_;
    std::chrono::milliseconds longestRefusal_{0};
    std::size_t soundServed_ = 0;
};

} // namespace

/// A request that crashes servers comes again at any entry twice a second, and sound ones that share the servers are sent again, too.
/// Guards against a fleet that goes on sending it, and against one that refuses the sound ones.
TEST(RequestQuarantineReplayTest, ACrashingRequestIsRefusedEverywhereAndSoundOnesAreServed)
{
    for (std::size_t seed = 1; seed <= 30; ++seed) {
        CrashSimulation fleet({.seed = seed});
        fleet.run(60s);
        EXPECT_LE(fleet.lateSends(), 3U) << seed;
        EXPECT_EQ(fleet.soundRefusals(), 0U) << seed;
        EXPECT_GT(fleet.soundServed(), 1000U) << seed;
    }
}

namespace {

void expectSeveralAreFound(std::size_t crashingRequests)
{
    for (std::size_t seed = 1; seed <= 30; ++seed) {
        CrashSimulation fleet({.seed = seed, .crashingRequests = crashingRequests});
        fleet.run(60s);
        EXPECT_LE(fleet.lateSends(), 3U) << seed;
        EXPECT_LE(fleet.soundRefusals(), 2U) << seed;
        EXPECT_LT(fleet.longestRefusal(), 20s) << seed;
    }
}

} // namespace

/// Two requests crash servers at the same time, so that each is lost with the other one, too.
TEST(RequestQuarantineReplayTest, TwoCrashingRequestsAreFound)
{
    expectSeveralAreFound(2);
}

/// Four requests crash three servers at the same time. Guards against one that is sent on as its crashes are put down to the others.
TEST(RequestQuarantineReplayTest, FourCrashingRequestsReachFewServersAfterTheirThirdCrash)
{
    for (std::size_t seed = 1; seed <= 30; ++seed) {
        CrashSimulation fleet({.seed = seed, .crashingRequests = 4});
        fleet.run(60s);
        EXPECT_LE(fleet.lateSends(), 3U) << seed;
    }
}

/// Four requests crash three servers at the same time. Guards against sound ones that are refused as they are lost with them.
TEST(RequestQuarantineReplayTest, FourCrashingRequestsAreFound)
{
    expectSeveralAreFound(4);
}

/// Servers crash for another reason every four seconds while their requests come again. Guards against refusing sound requests.
TEST(RequestQuarantineReplayTest, CrashesForAnotherReasonLeadToNoRefusal)
{
    for (std::size_t seed = 1; seed <= 30; ++seed) {
        CrashSimulation fleet({.seed = seed, .crashingRequests = 0, .lostAnswers = 0.05, .otherCrashes = 4s});
        fleet.run(120s);
        EXPECT_EQ(fleet.soundRefusals(), 0U) << seed;
        EXPECT_GT(fleet.soundServed(), 2000U) << seed;
    }
}
