#include "LibServing/PromptQuarantine.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <random>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

WallInstant const testStart(std::chrono::hours(500'000));
PromptPartId const firstPart(1);
PromptPartId const crashingPart(99);

ServerProcess serverNumber(std::size_t number)
{
    return {.id = ServerId("s" + std::to_string(number)), .startedAt = 1};
}

class PromptQuarantineTest : public ::testing::Test
{
protected:
    bool isRefused(std::vector<PromptPartId> const &parts, WallInstant now = testStart) const
    {
        return quarantine_.find(parts, now).has_value();
    }

    PromptQuarantine quarantine_{PromptQuarantineOptions{}};
};

} // namespace

/// Guards against servers that are lost one after the other to requests with a common part.
TEST_F(PromptQuarantineTest, APartWithWhichServersAreLostIsRefused)
{
    for (std::size_t server = 0; server < 3; ++server) {
        EXPECT_FALSE(isRefused({firstPart, crashingPart}));
        EXPECT_TRUE(quarantine_.onLost(serverNumber(server), std::array{firstPart, PromptPartId(10 + server), crashingPart}, testStart));
    }
    EXPECT_TRUE(isRefused({firstPart, crashingPart}));
    EXPECT_TRUE(isRefused({crashingPart}));
}

/// Guards against refusing sound requests that share the first part, or another part of which a request with the crashing part had.
TEST_F(PromptQuarantineTest, OtherPartsOfTheLostPromptsAreNotRefused)
{
    quarantine_.onAnswered(std::array{firstPart, PromptPartId(10)}, testStart - 1s);
    for (std::size_t server = 0; server < 6; ++server)
        quarantine_.onLost(serverNumber(server), std::array{firstPart, PromptPartId(10 + server % 2), crashingPart}, testStart);
    EXPECT_TRUE(isRefused({firstPart, PromptPartId(11), crashingPart}));
    EXPECT_FALSE(isRefused({firstPart, PromptPartId(10)}));
    EXPECT_FALSE(isRefused({firstPart, PromptPartId(11)})) << "the lost responses with it are explained by the crashing part";
}

/// Servers are lost with sound requests that had no answer yet, in a fleet that has answered nothing so far. Guards against refusing the
/// parts of these as well.
TEST_F(PromptQuarantineTest, RequestsLostWithTheCrashingOneAreNotRefused)
{
    for (std::size_t server = 0; server < 6; ++server) {
        quarantine_.onLost(serverNumber(server), std::array{firstPart, PromptPartId(10), crashingPart}, testStart);
        quarantine_.onLost(serverNumber(server), std::array{firstPart, PromptPartId(10)}, testStart);
    }
    EXPECT_TRUE(isRefused({crashingPart}));
    EXPECT_FALSE(isRefused({firstPart, PromptPartId(10)}));
}

/// A server restarts under its id, as servers do whose id is configured. Guards against counting its next crash as known.
TEST_F(PromptQuarantineTest, EachProcessOfAServerCounts)
{
    for (std::int64_t startedAt = 1; startedAt <= 3; ++startedAt)
        quarantine_.onLost({.id = ServerId("s"), .startedAt = startedAt}, std::array{crashingPart}, testStart);
    EXPECT_TRUE(isRefused({crashingPart}));
}

/// One server is lost with many requests that had no answer yet. Guards against refusing their parts.
TEST_F(PromptQuarantineTest, OneLostServerQuarantinesNothing)
{
    for (std::size_t request = 0; request < 8; ++request)
        quarantine_.onLost(serverNumber(0), std::array{firstPart, crashingPart, PromptPartId(20 + request)}, testStart);
    EXPECT_FALSE(isRefused({firstPart, crashingPart}));
}

/// Many servers are lost for another reason while popular prompts run there. Guards against refusing these; one that was in quarantine
/// is released by the first answer.
TEST_F(PromptQuarantineTest, AnAnswerReleasesAPart)
{
    for (std::size_t server = 0; server < 5; ++server)
        quarantine_.onLost(serverNumber(server), std::array{firstPart}, testStart);
    EXPECT_TRUE(isRefused({firstPart}));
    quarantine_.onAnswered(std::array{firstPart}, testStart);
    EXPECT_FALSE(isRefused({firstPart}));
    EXPECT_FALSE(quarantine_.onLost(serverNumber(9), std::array{firstPart}, testStart + 1s));
}

/// Guards against a popular part that begins to crash servers and is never refused because it was answered before.
TEST_F(PromptQuarantineTest, APartThatWasAnsweredLongAgoIsRefused)
{
    quarantine_.onAnswered(std::array{crashingPart}, testStart - 31s);
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    EXPECT_TRUE(isRefused({crashingPart}));
}

TEST_F(PromptQuarantineTest, AQuarantineEndsAndIsRenewedByNewCrashes)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 9s));
    EXPECT_FALSE(isRefused({crashingPart}, testStart + 10s));
    quarantine_.onLost(serverNumber(3), std::array{crashingPart}, testStart + 11s);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 70s));
    EXPECT_FALSE(isRefused({crashingPart}, testStart + 71s));
    quarantine_.onLost(serverNumber(4), std::array{crashingPart}, testStart + 72s);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 431s));
}

/// The servers of one rack fail together while they read prompts with a new common part. Guards against refusing the part for long.
TEST_F(PromptQuarantineTest, ServersThatFailTogetherHoldAPartForSeconds)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), {.parts = {crashingPart}, .request = RequestFingerprint(server)}, 300ms, testStart);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 2900ms));
    EXPECT_FALSE(isRefused({crashingPart}, testStart + 3s));
    quarantine_.onLost(serverNumber(3), {.parts = {crashingPart}, .request = RequestFingerprint(3)}, 300ms, testStart + 4s);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 21s)) << "the trial crashed its server";
    quarantine_.onAnswered(std::array{crashingPart}, testStart + 23s);
    EXPECT_FALSE(isRefused({crashingPart}, testStart + 23s));
}

/// Many requests with the part wait for the end of its quarantine. Guards against losing a server to each of them.
TEST_F(PromptQuarantineTest, OneRequestIsTriedAfterTheEnd)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {firstPart, crashingPart}};
    auto const end = testStart + 10s;
    EXPECT_EQ(quarantine_.onSent({.parts = {firstPart}}, end), std::nullopt);
    ASSERT_FALSE(isRefused({crashingPart}, end));
    EXPECT_EQ(quarantine_.onSent(suspects, end), Suspect(crashingPart));
    EXPECT_TRUE(isRefused({crashingPart}, end));
    EXPECT_FALSE(isRefused({firstPart}, end));
    quarantine_.onAnswered(suspects, end + 3s);
    EXPECT_FALSE(isRefused({crashingPart}, end + 3s));
    EXPECT_EQ(quarantine_.onSent(suspects, end + 3s), std::nullopt);
}

/// The sender of a trial may end it, or end itself, before its server answers or crashes. Guards against a trial every few seconds.
TEST_F(PromptQuarantineTest, ATrialWithoutAnOutcomeHoldsThePartLikeACrash)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {crashingPart}};
    auto const first = testStart + 10s;
    EXPECT_EQ(quarantine_.onSent(suspects, first), Suspect(crashingPart));
    EXPECT_TRUE(isRefused({crashingPart}, first + 59s));
    auto const second = first + 60s;
    EXPECT_EQ(quarantine_.onSent(suspects, second), Suspect(crashingPart));
    EXPECT_TRUE(isRefused({crashingPart}, second + 359s));
    quarantine_.onLost(serverNumber(3), std::array{crashingPart}, second + 2s);
    EXPECT_FALSE(isRefused({crashingPart}, second + 362s)) << "the crash is the outcome of the trial";
    quarantine_.onAnswered(suspects, second + 4s);
    EXPECT_FALSE(isRefused({crashingPart}, second + 4s));
}

/// No connection to the server of a trial could be made, so nothing was tried. Guards against holding the part for long because of it.
TEST_F(PromptQuarantineTest, ATrialThatReachesNoServerIsRepeatedSoon)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {crashingPart}};
    auto const end = testStart + 10s;
    quarantine_.onPlaced(suspects, end);
    EXPECT_TRUE(isRefused({crashingPart}, end)) << "it may still be sent";
    EXPECT_FALSE(isRefused({crashingPart}, end + 500ms));
    quarantine_.onPlaced(suspects, end + 500ms);
    EXPECT_EQ(quarantine_.onSent(suspects, end + 510ms), Suspect(crashingPart));
    EXPECT_TRUE(isRefused({crashingPart}, end + 60s));
}

/// The address of a trial's server may belong to another server by now, which states that it did not run the request. Guards against
/// refusing sound requests for long because of it, and against sending crashing ones to servers again and again.
TEST_F(PromptQuarantineTest, OneTrialThatWasNotRunIsRepeatedAtOnceByAnyInstance)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {firstPart, crashingPart}};
    auto const passOn = [&](WallInstant now) {
        for (auto const &message : splitPromptEvidence(quarantine_.evidence(), 1)) {
            auto const evidence = decodePromptEvidence(encodePromptEvidence(message));
            ASSERT_TRUE(evidence);
            other.merge(*evidence, now);
        }
    };
    auto const first = testStart + 10s;
    EXPECT_EQ(quarantine_.onSent(suspects, first), Suspect(crashingPart));
    passOn(first);
    EXPECT_TRUE(other.find(suspects, first + 5ms));
    auto const version = quarantine_.version();
    quarantine_.onTrialEnded(suspects, first, TrialOutcome::NotRun);
    EXPECT_GT(quarantine_.version(), version) << "other instances have to receive it";
    EXPECT_FALSE(isRefused({crashingPart}, first + 5ms));
    passOn(first + 5ms);
    EXPECT_FALSE(other.find(suspects, first + 10ms));
    quarantine_.merge(other.evidence(), first + 10ms);
    EXPECT_FALSE(quarantine_.merge(other.evidence(), first + 10ms)) << "it is no news";

    auto const second = first + 20ms;
    EXPECT_EQ(quarantine_.onSent(suspects, second), Suspect(crashingPart));
    quarantine_.onTrialEnded(suspects, second, TrialOutcome::NotRun);
    EXPECT_TRUE(isRefused({crashingPart}, second + 59s)) << "both have reached servers";
    quarantine_.onAnswered(suspects, second + 60s);
    EXPECT_FALSE(isRefused({crashingPart}, second + 60s));
}

/// Guards against forgetting the trials that count because of many for which there was no server.
TEST_F(PromptQuarantineTest, TrialsThatCountAreKeptBesideManyThatWereNotSent)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {crashingPart}};
    auto const first = testStart + 10s;
    auto const second = first + 60s;
    EXPECT_EQ(quarantine_.onSent(suspects, first), Suspect(crashingPart));
    for (auto at = second; at < second + 20s; at += 1s) {
        EXPECT_EQ(quarantine_.onSent(suspects, at), Suspect(crashingPart));
        quarantine_.onTrialEnded(suspects, at, TrialOutcome::NotSent);
    }
    EXPECT_EQ(quarantine_.onSent(suspects, second + 20s), Suspect(crashingPart));
    EXPECT_TRUE(isRefused({crashingPart}, second + 20s + 359s));
}

/// Guards against a trial of a sound request at the server that the trial of another one crashes.
TEST_F(PromptQuarantineTest, TrialsOfTwoSuspectsDoNotOverlap)
{
    RequestSuspects const sound{.parts = {}, .request = RequestFingerprint(5)};
    RequestSuspects const crashing{.parts = {}, .request = RequestFingerprint(6)};
    for (std::size_t server = 0; server < 3; ++server) {
        quarantine_.onLost(serverNumber(2 * server), sound, 40ms, testStart);
        quarantine_.onLost(serverNumber(2 * server + 1), crashing, 40ms, testStart);
    }
    auto const end = testStart + 10s;
    ASSERT_TRUE(quarantine_.isTrial(sound, end));
    ASSERT_TRUE(quarantine_.isTrial(crashing, end));
    EXPECT_EQ(quarantine_.onSent(crashing, end), Suspect(RequestFingerprint(6)));
    EXPECT_FALSE(quarantine_.isTrial(sound, end + 10ms));
    EXPECT_TRUE(quarantine_.find(sound, end + 10ms));
    EXPECT_TRUE(quarantine_.isTrial(sound, end + 500ms)) << "the outcome may never be seen";
    quarantine_.onLost(serverNumber(7), crashing, 40ms, end + 40ms);
    EXPECT_TRUE(quarantine_.isTrial(sound, end + 50ms));
    EXPECT_FALSE(quarantine_.find(sound, end + 50ms));
}

/// A trial is reserved for the whole fleet before it is sent. Guards against holding the suspect for one that was not sent after all.
TEST_F(PromptQuarantineTest, TrialsThatWereNotSentDoNotCount)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    RequestSuspects const suspects{.parts = {crashingPart}};
    for (auto at = testStart + 10s; at < testStart + 11s; at += 300ms) {
        ASSERT_TRUE(quarantine_.isTrial(suspects, at));
        auto const reserved = decodePromptEvidence(encodePromptEvidence(quarantine_.evidenceWithTrial(suspects, at)));
        ASSERT_TRUE(reserved);
        other.merge(*reserved, at);
        EXPECT_FALSE(other.isTrial(suspects, at + 1ms));
        EXPECT_EQ(quarantine_.onSent(suspects, at), Suspect(crashingPart));
        EXPECT_FALSE(quarantine_.isTrial(suspects, at + 1ms));
        quarantine_.onTrialEnded(suspects, at, TrialOutcome::NotSent);
        auto const returned = decodePromptEvidence(encodePromptEvidence(quarantine_.evidence()));
        ASSERT_TRUE(returned);
        other.merge(*returned, at + 2ms);
        EXPECT_TRUE(other.isTrial(suspects, at + 2ms));
    }
}

/// Another instance reads a reserved trial in the store, and its evidence arrives before the store's response. Guards against a trial that
/// holds its own request, so that it counts although nothing was sent.
TEST_F(PromptQuarantineTest, AReservedTrialIsSentAlthoughOthersKnowOfIt)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    RequestSuspects const suspects{.request = RequestFingerprint(5)};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), suspects, 40ms, testStart);
    auto const end = testStart + 10s;
    other.merge(quarantine_.evidenceWithTrial(suspects, end), end);
    quarantine_.merge(other.evidence(), end + 1ms);
    ASSERT_FALSE(quarantine_.isTrial(suspects, end + 1ms)) << "others at this instance wait for it";
    EXPECT_EQ(quarantine_.onReserved(suspects, end, end + 1ms), Suspect(RequestFingerprint(5)));
    EXPECT_TRUE(quarantine_.find(suspects, end + 59s));
    quarantine_.onAnswered(suspects, end + 40ms);
    EXPECT_FALSE(quarantine_.find(suspects, end + 41ms));
}

/// The trial of another instance, which does not reserve it, becomes known meanwhile. Guards against a reserved trial that is not sent and
/// counts all the same.
TEST_F(PromptQuarantineTest, AReservedTrialThatIsNotSentIsGivenBack)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    RequestSuspects const suspects{.request = RequestFingerprint(5)};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), suspects, 40ms, testStart);
    other.merge(quarantine_.evidence(), testStart);
    auto const end = testStart + 10s;
    auto const reserved = quarantine_.evidenceWithTrial(suspects, end);
    ASSERT_TRUE(other.onSent(suspects, end + 1ms));
    quarantine_.merge(other.evidence(), end + 2ms);
    EXPECT_FALSE(quarantine_.onReserved(suspects, end, end + 2ms));
    PromptQuarantine third{PromptQuarantineOptions{}};
    third.merge(reserved, end);
    third.merge(quarantine_.evidence(), end + 3ms);
    EXPECT_EQ(third.evidence().trials,
              (std::map<Suspect, Trials>{{RequestFingerprint(5), {{end, TrialOutcome::NotSent}, {end + 1ms, TrialOutcome::Unknown}}}}));
}

/// Two requests crash servers and are lost together, and one of them crashes one more server, which explains all losses. Guards against
/// sending the other one again from all instances at once, as if it were known to be sound.
TEST_F(PromptQuarantineTest, ARequestWhoseLossesAnotherOneExplainsIsTriedOnceBeforeItIsSent)
{
    RequestSuspects const stronger{.request = RequestFingerprint(5)};
    RequestSuspects const explained{.request = RequestFingerprint(6)};
    for (std::size_t server = 0; server < 3; ++server) {
        quarantine_.onLost(serverNumber(server), stronger, 40ms, testStart);
        quarantine_.onLost(serverNumber(server), explained, 40ms, testStart);
    }
    quarantine_.onLost(serverNumber(3), stronger, 40ms, testStart);
    ASSERT_TRUE(quarantine_.find(stronger, testStart + 1s));
    EXPECT_FALSE(quarantine_.find(explained, testStart + 1s)) << "it may be sound";
    ASSERT_TRUE(quarantine_.isTrial(explained, testStart + 1s));
    EXPECT_EQ(quarantine_.onSent(explained, testStart + 1s), Suspect(RequestFingerprint(6)));
    EXPECT_TRUE(quarantine_.find(explained, testStart + 10s));
    EXPECT_TRUE(quarantine_.isTrial(explained, testStart + 11s));
    quarantine_.onAnswered(explained, testStart + 12s);
    EXPECT_FALSE(quarantine_.isTrial(explained, testStart + 12s));
    EXPECT_FALSE(quarantine_.find(explained, testStart + 12s));
}

/// A sound request is lost once more with the crashing one that explains its losses, just as it may be tried. Guards against refusing it
/// for long because of that.
TEST_F(PromptQuarantineTest, ATrialThatIsLostBesideItsExplanationIsRepeated)
{
    RequestSuspects const crashing{.request = RequestFingerprint(5)};
    RequestSuspects const sound{.request = RequestFingerprint(6)};
    for (std::size_t server = 0; server < 3; ++server) {
        quarantine_.onLost(serverNumber(server), crashing, 40ms, testStart);
        quarantine_.onLost(serverNumber(server), sound, 40ms, testStart);
    }
    quarantine_.onLost(serverNumber(3), crashing, 40ms, testStart);
    ASSERT_TRUE(quarantine_.onSent(sound, testStart + 1ms));
    ASSERT_TRUE(quarantine_.find(sound, testStart + 30ms));
    quarantine_.onLost(serverNumber(4), crashing, 40ms, testStart + 40ms);
    quarantine_.onLost(serverNumber(4), sound, 40ms, testStart + 40ms);
    EXPECT_FALSE(quarantine_.find(sound, testStart + 1s));
    EXPECT_TRUE(quarantine_.isTrial(sound, testStart + 1s));
    // Servers whose addresses belong to others now did not run it.
    for (auto at = testStart + 100ms; at < testStart + 1s; at += 500ms) {
        ASSERT_TRUE(quarantine_.onSent(sound, at));
        quarantine_.onTrialEnded(sound, at, TrialOutcome::NotRun);
        EXPECT_TRUE(quarantine_.find(sound, at + 100ms));
        EXPECT_FALSE(quarantine_.find(sound, at + 500ms));
    }
    // Alone at its server, it is to blame.
    ASSERT_TRUE(quarantine_.onSent(sound, testStart + 1200ms));
    quarantine_.onLost(serverNumber(5), sound, 40ms, testStart + 1240ms);
    EXPECT_TRUE(quarantine_.find(sound, testStart + 4s));
}

/// Guards against a trial by each instance, as those that did not send one know nothing of it.
TEST_F(PromptQuarantineTest, ATrialHoldsThePartAtAllInstances)
{
    PromptQuarantine other{PromptQuarantineOptions{}};
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), {.parts = {firstPart, crashingPart}, .request = RequestFingerprint(5)}, 40ms, testStart);
    other.merge(quarantine_.evidence(), testStart);
    RequestSuspects const suspects{.parts = {firstPart, crashingPart}, .request = RequestFingerprint(5)};
    auto const end = testStart + 10s;
    ASSERT_FALSE(other.find(suspects, end));
    auto const version = quarantine_.version();
    EXPECT_EQ(quarantine_.onSent(suspects, end), Suspect(RequestFingerprint(5)));
    EXPECT_GT(quarantine_.version(), version) << "other instances have to receive it";
    for (auto const &message : splitPromptEvidence(quarantine_.evidence(), 1)) {
        auto const evidence = decodePromptEvidence(encodePromptEvidence(message));
        ASSERT_TRUE(evidence);
        other.merge(*evidence, end);
    }
    EXPECT_TRUE(other.find(suspects, end + 59s));
    EXPECT_FALSE(other.merge(quarantine_.evidence(), end + 1s)) << "it is no news";
}

/// Guards against evidence that grows with each crash of any kind, and against losing what holds a quarantine when it is bounded.
TEST_F(PromptQuarantineTest, EvidenceIsBoundedAndKeepsTheQuarantine)
{
    for (std::size_t server = 0; server < 3; ++server)
        quarantine_.onLost(serverNumber(server), std::array{crashingPart}, testStart);
    for (std::size_t server = 3; server < 500; ++server)
        quarantine_.onLost(serverNumber(server), std::array{PromptPartId(1000 + server)}, testStart + 1s);
    EXPECT_LE(quarantine_.evidence().lost.size(), PromptQuarantineOptions{}.maxLostResponses);
    EXPECT_LE(encodePromptEvidence(quarantine_.evidence()).size(), 8U * 1024U);
    EXPECT_TRUE(isRefused({crashingPart}, testStart + 1s));
}

/// Each instance sees some of the crashes and answers. Guards against instances that come to different conclusions, or whose messages go
/// back and forth for ever.
TEST_F(PromptQuarantineTest, InstancesAgreeInAnyOrderOfMessages)
{
    std::mt19937 random(5);
    for (int round = 0; round < 50; ++round) {
        std::vector<PromptQuarantine> instances(5, PromptQuarantine(PromptQuarantineOptions{}));
        for (std::size_t server = 0; server < 4; ++server)
            instances[server].onLost(serverNumber(server), std::array{firstPart, PromptPartId(30 + server), crashingPart}, testStart);
        instances[4].onAnswered(std::array{firstPart}, testStart);
        std::vector<std::pair<std::size_t, std::size_t>> links;
        for (std::size_t from = 0; from < instances.size(); ++from) {
            for (std::size_t to = 0; to < instances.size(); ++to)
                links.emplace_back(from, to);
        }
        for (int pass = 0; pass < 4; ++pass) {
            std::shuffle(links.begin(), links.end(), random);
            for (auto const &[from, to] : links) {
                auto const evidence = decodePromptEvidence(encodePromptEvidence(instances[from].evidence()));
                ASSERT_TRUE(evidence);
                instances[to].merge(*evidence, testStart);
            }
        }
        std::size_t changes = 0;
        for (auto const &[from, to] : links)
            changes += instances[to].merge(instances[from].evidence(), testStart) ? 1 : 0;
        EXPECT_EQ(changes, 0U);
        for (auto const &instance : instances) {
            EXPECT_TRUE(instance.find(std::array{crashingPart}, testStart));
            EXPECT_FALSE(instance.find(std::array{firstPart, PromptPartId(30)}, testStart));
        }
    }
}

TEST_F(PromptQuarantineTest, MalformedEvidenceIsRejected)
{
    for (auto const *const text : {"", "{}", R"({"lost":1})", R"({"lost":[[1]],"answered":[]})", R"({"lost":[],"answered":[[1]]})"})
        EXPECT_FALSE(decodePromptEvidence(text)) << text;
    EXPECT_TRUE(isPromptEvidence(encodePromptEvidence({})));
}

namespace {

/// The platform's bounds.
constexpr Duration ContactTime = 2s;
constexpr std::size_t CrashesBeforeBound = 5;

/// Replays requests at entries before servers of which each serves eight at a time.
struct CrashReplay {
    explicit CrashReplay(std::size_t seed)
        : random(seed)
    {
        for (std::uint64_t entry = 0; entry < 9; ++entry)
            entries.emplace_back(PromptQuarantineOptions{.expirySpread = 1, .instanceHash = entry});
    }

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    /// Sends one request at `now`; returns whether the entry sent it to a server.
    bool send(bool isCrashing, WallInstant now)
    {
        std::vector<PromptPartId> parts{firstPart, PromptPartId(100 + draw(15)), PromptPartId(200 + draw(333))};
        if (isCrashing)
            parts.insert(parts.begin() + 1 + static_cast<std::ptrdiff_t>(draw(2)), crashingPart);
        auto &entry = entries[draw(entries.size())];
        if (entry.find(parts, now))
            return false;
        entry.onSent({.parts = parts}, now);
        if (!isCrashing) {
            entry.onAnswered(parts, now);
            return true;
        }
        auto const server = serverNumber(++lastServer);
        entry.onLost(server, parts, now);
        // Sound requests that had no answer yet at the same server.
        for (std::size_t count = draw(3); count > 0; --count) {
            std::array const sound{firstPart, PromptPartId(100 + draw(15)), PromptPartId(200 + draw(333))};
            entries[draw(entries.size())].onLost(server, sound, now);
        }
        return true;
    }

    void exchange(WallInstant now)
    {
        for (auto const &from : entries) {
            for (auto &to : entries)
                to.merge(from.evidence(), now);
        }
    }

    std::mt19937_64 random;
    std::vector<PromptQuarantine> entries;
    std::size_t lastServer = 0;
};

} // namespace

/// Forty requests a second come to nine entries and a tenth of them have the crashing part, as on the day of the users' report. Guards
/// against a fleet that goes on sending them, also as trials, and against one that refuses the sound ones.
TEST(PromptQuarantineReplayTest, ACrashingPartIsRefusedEverywhereAndSoundRequestsAreServed)
{
    for (std::size_t seed = 1; seed <= 30; ++seed) {
        CrashReplay replay(seed);
        std::size_t crashing = 0;
        std::size_t late = 0;
        std::size_t early = 0;
        std::optional<WallInstant> firstCrashAt;
        std::optional<WallInstant> fifthCrashAt;
        std::size_t sound = 0;
        std::size_t soundRefused = 0;
        for (std::size_t request = 0; request < 40 * 300; ++request) {
            auto const now = testStart + std::chrono::milliseconds(25 * request);
            if (request % 10 == 0)
                replay.exchange(now);
            if (request > 200 && replay.draw(10) == 0) {
                if (!replay.send(true, now))
                    continue;
                late += fifthCrashAt && now > *fifthCrashAt + ContactTime ? 1 : 0;
                if (++crashing == CrashesBeforeBound)
                    fifthCrashAt = now;
                firstCrashAt = firstCrashAt.value_or(now);
                early += now < *firstCrashAt + PromptQuarantineOptions{}.quarantineTime ? 1 : 0;
                continue;
            }
            ++sound;
            soundRefused += replay.send(false, now) ? 0 : 1;
        }
        // Three servers, and what comes in the quarter of a second until all entries know.
        EXPECT_LE(early, 5U) << seed;
        // A trial after ten seconds and one after a minute, with the same.
        EXPECT_LE(crashing, 5U + 2 * 2) << seed;
        EXPECT_LE(late, 3U) << seed;
        EXPECT_EQ(soundRefused, 0U) << seed << " of " << sound;
    }
}
