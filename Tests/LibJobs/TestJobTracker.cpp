#include "LibJobs/JobTracker.h"
#include "LibServing/EventReader.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
PoolName const batchPool("p");
constexpr Duration RunTime = 5s;

JobRecord recordOf(std::string id, std::size_t items)
{
    JobRecord record{.id = JobId(id), .host = "h"};
    for (std::size_t index = 0; index < items; ++index)
        record.items.push_back({.id = ItemId(id + "-" + std::to_string(index)), .target = "/x", .body = "body", .tokens = 100});
    return record;
}

ItemPolicy policy()
{
    return {.pool = batchPool, .maxAttempts = 3, .completionTarget = 18s, .giveUpAfter = 60s};
}

class JobTrackerTest : public ::testing::Test
{
protected:
    void add(std::string const &id, std::size_t items, std::vector<ResultSegment> segments = {}, Duration age = 0s)
    {
        tracker_.add(recordOf(id, items), std::move(segments), age, Start);
        tracker_.setPolicy(JobId(id), policy(), Start);
    }

    /// Starts the next item and records its send if it has to be. `others`: unanswered sends that other tenures recorded.
    ItemStart start(Instant now, FailureCounts const &others = {})
    {
        auto const next = tracker_.next(batchPool, RunTime, now);
        EXPECT_TRUE(next);
        tracker_.onStarted(*next);
        if (!next->unansweredAt)
            return *next;
        EXPECT_TRUE(tracker_.takeReservedSends(now).empty());
        for (auto const &commit : tracker_.takeFailures(now))
            tracker_.onFailuresRecorded(commit, others, now);
        auto const reserved = tracker_.takeReservedSends(now);
        EXPECT_EQ(reserved.size(), 1U);
        EXPECT_TRUE(!reserved.empty() && reserved[0].maySend && reserved[0].index == next->index);
        return *next;
    }

    /// Starts the next item and records one event for it.
    ItemStart run(Instant now = Start)
    {
        auto const item = start(now);
        tracker_.onEvent(item.job, item.index, 0, "text");
        return item;
    }

    void complete(Instant now = Start)
    {
        auto const item = run(now);
        tracker_.onSendEnded(item.job, item.index, SendEnd::Complete, now);
    }

    /// Fails the next item and returns its position.
    std::size_t fail(Instant now)
    {
        auto const item = run(now);
        tracker_.onSendEnded(item.job, item.index, SendEnd::Failed, now);
        return item.index;
    }

    /// Starts the next item, to which no response comes.
    void leaveUnanswered(Instant now, FailureCounts const &others = {})
    {
        auto const item = start(now, others);
        tracker_.onSendEnded(item.job, item.index, SendEnd::Unanswered, now);
    }

    JobTracker tracker_{JobTrackerOptions{}};
};

/// Records all failures, with those that other tenures recorded.
void recordFailures(JobTracker &tracker, Instant now, FailureCounts const &others = {})
{
    for (auto const &commit : tracker.takeFailures(now))
        tracker.onFailuresRecorded(commit, others, now);
}

} // namespace

TEST_F(JobTrackerTest, ItemsOfTheJobThatIsDueFirstGoFirst)
{
    add("later", 1, {}, 1s);
    add("earlier", 1, {}, 2s);
    EXPECT_EQ(run().job, JobId("earlier"));
    EXPECT_EQ(run().job, JobId("later"));
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start));
}

/// Under overload, a job that cannot be on time must not delay the next job. Ordering by due time alone would do so.
TEST_F(JobTrackerTest, AJobThatCannotBeOnTimeRunsAfterThoseThatCan)
{
    add("late", 1, {}, 14s);
    add("in-time", 1, {}, 2s);
    EXPECT_EQ(run().job, JobId("in-time"));
    EXPECT_EQ(run().job, JobId("late"));
}

/// Jobs that can be on time arrive faster than their items are started, as in a day of overload. Guards against a job that is late and
/// waits until they end.
TEST_F(JobTrackerTest, ItemsOfALateJobStartWhileOthersKeepArriving)
{
    add("late", 5, {}, 17s);
    auto now = Start;
    std::size_t starts = 0;
    std::vector<std::size_t> lateStarts;
    while (lateStarts.size() < 5 && starts < 200) {
        now += 100ms;
        auto const id = "new-" + std::to_string(starts);
        tracker_.add(recordOf(id, 2), {}, 0s, now);
        tracker_.setPolicy(JobId(id), policy(), now);
        auto const item = run(now);
        ++starts;
        if (item.job == JobId("late"))
            lateStarts.push_back(starts);
        else
            tracker_.onSendEnded(item.job, item.index, SendEnd::Complete, now);
    }
    EXPECT_EQ(lateStarts.size(), 5U) << "of 200 starts";
    EXPECT_LT(starts, 100U);
}

/// Parts of the prompts of a late job are in quarantine. Guards against turns of late items that are used up by items which are not sent.
TEST_F(JobTrackerTest, AnItemThatIsHeldBackUsesNoTurnAndWaitsForAPause)
{
    add("held-back", 1, {}, 18s);
    add("late", 1, {}, 17s);
    add("in-time", 20);
    for (int start = 0; start < 7; ++start)
        EXPECT_EQ(run().job, JobId("in-time"));
    auto const heldBack = tracker_.next(batchPool, RunTime, Start);
    ASSERT_TRUE(heldBack);
    ASSERT_EQ(heldBack->job, JobId("held-back"));
    tracker_.onHeldBack(*heldBack, Start);
    EXPECT_EQ(run().job, JobId("late"));
    EXPECT_EQ(run().job, JobId("in-time"));
    EXPECT_EQ(tracker_.waiting(batchPool, Start), 12U);
    EXPECT_EQ(tracker_.waiting(batchPool, Start + 100ms), 13U);
}

/// Guards against a report that blames the servers for items that wait for something else.
TEST_F(JobTrackerTest, TheWaitingItemsOfAJobAreCountedByWhatTheyWaitFor)
{
    add("j", 4);
    auto const failed = run();
    auto const running = run();
    tracker_.onSendEnded(failed.job, failed.index, SendEnd::Unserved, Start);
    auto const heldBack = tracker_.next(batchPool, RunTime, Start);
    ASSERT_TRUE(heldBack);
    tracker_.onHeldBack(*heldBack, Start);
    auto waits = tracker_.waits(Start);
    ASSERT_EQ(waits.size(), 1U);
    EXPECT_EQ(waits[0].waiting, 3U);
    EXPECT_EQ(waits[0].paused, 1U);
    EXPECT_EQ(waits[0].heldBack, 1U);
    EXPECT_EQ(waits[0].starts, 2U);
    EXPECT_TRUE(waits[0].isRouted);
    // Between two attempts the reason stays the same.
    EXPECT_EQ(tracker_.waits(Start + 1s)[0].heldBack, 1U);
    tracker_.onStarted(*heldBack);
    EXPECT_EQ(tracker_.waits(Start + 1s)[0].heldBack, 0U);
    tracker_.setPolicy(JobId("j"), {.isRouted = false}, Start);
    EXPECT_FALSE(tracker_.waits(Start + 1s)[0].isRouted);
    tracker_.onEnded(JobId("j"));
    EXPECT_TRUE(tracker_.waits(Start + 1s).empty());
    EXPECT_NE(running.index, failed.index);
}

/// Items are preempted at each burst of online requests. Guards against giving up a preempted item as late although the rest of it fits.
TEST_F(JobTrackerTest, APreemptedItemIsLateOnlyIfItsRestDoesNotFit)
{
    add("model", 1);
    auto const model = run();
    for (std::uint64_t event = 1; event < 10; ++event)
        tracker_.onEvent(model.job, model.index, event, "text");
    tracker_.onSendEnded(model.job, model.index, SendEnd::Complete, Start);
    add("due-soon", 1, {}, 8s);
    add("due-later", 1);
    auto const item = run();
    ASSERT_EQ(item.job, JobId("due-soon"));
    for (std::uint64_t event = 1; event < 8; ++event)
        tracker_.onEvent(item.job, item.index, event, "text");
    // 10 s are left in all, then 2 s, and two of ten events of a run of 5 s take 1 s.
    tracker_.onSendEnded(item.job, item.index, SendEnd::Preempted, Start + 8s);
    EXPECT_EQ(tracker_.next(batchPool, RunTime, Start + 8s)->job, JobId("due-soon"));
    EXPECT_EQ(tracker_.next(batchPool, RunTime, Start + 9500ms)->job, JobId("due-later"));
}

/// Guards against starting new items of a job while others, preempted shortly before their end, wait.
TEST_F(JobTrackerTest, ThePreemptedItemClosestToItsEndGoesFirst)
{
    add("j", 3);
    auto const first = run();
    auto const second = run();
    tracker_.onEvent(second.job, second.index, 1, "text");
    tracker_.onSendEnded(first.job, first.index, SendEnd::Preempted, Start);
    tracker_.onSendEnded(second.job, second.index, SendEnd::Preempted, Start);
    EXPECT_EQ(run().index, second.index);
    EXPECT_EQ(run().index, first.index);
}

/// Each commit costs a call of the store. Guards against a commit for each item of a job that is due much later, and against results that
/// are stored after they are due.
TEST_F(JobTrackerTest, OutcomesAreCollectedLessLongTheSoonerTheirJobIsDue)
{
    for (auto const &[age, delay] : {std::pair<Duration, Duration>{0s, 1500ms}, {8s, 1s}, {17s, 400ms}, {30s, 400ms}}) {
        JobTracker tracker({});
        tracker.add(recordOf("j", 2), {}, age, Start);
        tracker.setPolicy(JobId("j"), policy(), Start);
        auto const item = tracker.next(batchPool, RunTime, Start);
        ASSERT_TRUE(item);
        tracker.onStarted(*item);
        tracker.onSendEnded(item->job, item->index, SendEnd::Complete, Start);
        // Of the time left until the job is due, a tenth passes before its outcomes are stored.
        EXPECT_TRUE(tracker.takeCommits(Start + delay * 9 / 10).empty()) << age.count();
        EXPECT_EQ(tracker.takeCommits(Start + delay).size(), 1U) << age.count();
    }
}

TEST_F(JobTrackerTest, OutcomesAreStoredTogetherAndListedOnceStored)
{
    add("j", 3);
    complete();
    EXPECT_TRUE(tracker_.takeCommits(Start + 1499ms).empty());
    complete(Start + 200ms);
    auto commits = tracker_.takeCommits(Start + 1500ms);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].second.first, 0U);
    EXPECT_EQ(commits[0].second.outcomes.size(), 2U);
    EXPECT_TRUE(tracker_.read(JobId("j"), 0, 1000)->outcomes.empty()) << "outcomes are listed only once they are stored";
    EXPECT_TRUE(tracker_.takeCommits(Start + 4s).empty()) << "one segment of a job at a time";
    tracker_.onStored(JobId("j"), std::move(commits[0].second));
    EXPECT_EQ(tracker_.read(JobId("j"), 0, 1000)->outcomes.size(), 2U);
    complete(Start + 2s);
    commits = tracker_.takeCommits(Start + 2s);
    ASSERT_EQ(commits.size(), 1U) << "the last outcome is stored without delay";
    EXPECT_EQ(commits[0].second.first, 2U);
    tracker_.onStored(JobId("j"), std::move(commits[0].second));
    EXPECT_TRUE(tracker_.isDone(JobId("j")));
}

/// Another runner stored its segment first. Its outcomes are listed, each item once, instead of the ones returned by takeCommits().
TEST_F(JobTrackerTest, ASegmentStoredByAnotherRunnerReplacesTheOwn)
{
    add("j", 2);
    complete();
    complete();
    static_cast<void>(tracker_.takeCommits(Start + 1s));
    tracker_.onStored(JobId("j"), {.first = 0, .outcomes = {{.id = ItemId("j-1"), .output = "theirs"}}});
    auto const commits = tracker_.takeCommits(Start + 1s);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].second.first, 1U);
    ASSERT_EQ(commits[0].second.outcomes.size(), 1U);
    EXPECT_EQ(commits[0].second.outcomes[0].id, ItemId("j-0"));
    EXPECT_EQ(tracker_.read(JobId("j"), 0, 1000)->outcomes[0].output, "theirs");
}

TEST_F(JobTrackerTest, AFailedStoreIsRetriedAfterAPause)
{
    add("j", 1);
    complete();
    EXPECT_EQ(tracker_.takeCommits(Start).size(), 1U);
    tracker_.onStoreFailed(JobId("j"), Start);
    EXPECT_TRUE(tracker_.takeCommits(Start + 99ms).empty());
    EXPECT_EQ(tracker_.takeCommits(Start + 100ms).size(), 1U);
}

/// The store refuses one of many results for what it holds. Guards against results that all wait behind it, and against an item that is
/// given up because of one bad answer.
TEST_F(JobTrackerTest, AResultThatTheStoreRefusesHoldsUpNoOther)
{
    constexpr std::size_t Items = 60;
    add("j", Items);
    for (std::size_t item = 0; item < Items; ++item)
        complete();
    auto now = Start;
    std::set<ItemId> stored;
    std::size_t calls = 0;
    ItemId const refused("j-5");
    for (; stored.size() + 1 < Items && calls < Items; now += 100ms) {
        for (auto const &[job, segment] : tracker_.takeCommits(now)) {
            ++calls;
            if (std::ranges::any_of(segment.outcomes, [&](ItemOutcome const &outcome) { return outcome.id == refused; })) {
                tracker_.onStoreRefused(job, segment, now);
                continue;
            }
            for (auto const &outcome : segment.outcomes)
                stored.insert(outcome.id);
            tracker_.onStored(job, segment);
        }
    }
    EXPECT_EQ(stored.size(), Items - 1);
    EXPECT_LE(calls, 20U);
    auto const again = run(now);
    EXPECT_EQ(tracker_.find(again.job)->items[again.index].id, refused);
    EXPECT_FALSE(again.lastEventId) << "it starts anew";
    tracker_.onSendEnded(again.job, again.index, SendEnd::Complete, now);
    auto const commits = tracker_.takeCommits(now);
    ASSERT_EQ(commits.size(), 1U);
    tracker_.onStored(commits[0].first, commits[0].second);
    EXPECT_TRUE(tracker_.isDone(JobId("j")));
}

/// An item whose outcome is refused again and again. Guards against running it without pause.
TEST_F(JobTrackerTest, AnItemWhoseResultIsRefusedAgainWaitsLongerEachTime)
{
    add("j", 1);
    auto now = Start;
    for (auto const pause : {100ms, 200ms, 400ms}) {
        complete(now);
        auto const commits = tracker_.takeCommits(now);
        ASSERT_EQ(commits.size(), 1U);
        tracker_.onStoreRefused(JobId("j"), commits[0].second, now);
        EXPECT_FALSE(tracker_.next(batchPool, RunTime, now + pause - 1ms));
        now += pause;
        EXPECT_TRUE(tracker_.next(batchPool, RunTime, now));
    }
}

TEST_F(JobTrackerTest, ATakenOverJobRunsOnlyWhatIsNotListed)
{
    add("j", 3, {{.first = 0, .outcomes = {{.id = ItemId("j-2"), .output = "o"}}}, {.first = 1, .outcomes = {{.id = ItemId("j-0")}}}});
    auto const next = tracker_.next(batchPool, RunTime, Start);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->index, 1U);
    EXPECT_TRUE(tracker_.isListed(JobId("j"), ItemId("j-2")));
    EXPECT_EQ(tracker_.waiting(batchPool, Start), 1U);
}

TEST_F(JobTrackerTest, APreemptedItemResumesAfterItsLastEvent)
{
    add("j", 1);
    auto const item = run();
    tracker_.onEvent(item.job, item.index, 1, "more");
    tracker_.onSendEnded(item.job, item.index, SendEnd::Preempted, Start);
    auto const again = run();
    EXPECT_EQ(again.lastEventId, 1U);
    tracker_.onEvent(again.job, again.index, 2, "end");
    tracker_.onSendEnded(again.job, again.index, SendEnd::Complete, Start);
    // The second run() recorded another "text".
    EXPECT_EQ(tracker_.takeCommits(Start)[0].second.outcomes[0].output, "text\nmore\ntext\nend");
}

TEST_F(JobTrackerTest, AnItemWithoutEventIdsRestartsFromTheBeginning)
{
    add("j", 1);
    auto const next = tracker_.next(batchPool, RunTime, Start);
    tracker_.onStarted(*next);
    tracker_.onEvent(next->job, next->index, std::nullopt, "lost");
    tracker_.onSendEnded(next->job, next->index, SendEnd::Preempted, Start);
    complete();
    EXPECT_EQ(tracker_.takeCommits(Start)[0].second.outcomes[0].output, "text");
}

/// The output grows over several runs. Guards against a limit of each run, and against resuming after an event that is not the item's own.
TEST_F(JobTrackerTest, AnItemWhoseOutputExceedsTheLimitStartsAnew)
{
    JobTracker tracker({.maxOutputBytes = 10});
    tracker.add(recordOf("j", 1), {}, 0s, Start);
    tracker.setPolicy(JobId("j"), policy(), Start);
    auto const start = [&](Instant now) {
        auto const next = tracker.next(batchPool, RunTime, now);
        EXPECT_TRUE(next);
        tracker.onStarted(*next);
        return *next;
    };
    auto const first = start(Start);
    EXPECT_TRUE(tracker.onEvent(first.job, first.index, 0, "12345"));
    tracker.onSendEnded(first.job, first.index, SendEnd::Preempted, Start);
    auto const second = start(Start);
    EXPECT_EQ(second.lastEventId, 0U);
    EXPECT_FALSE(tracker.onEvent(second.job, second.index, 1, "67890"));
    tracker.onSendEnded(second.job, second.index, SendEnd::Unserved, Start);
    auto const third = start(Start + 10s);
    EXPECT_FALSE(third.lastEventId);
    EXPECT_TRUE(tracker.onEvent(third.job, third.index, 0, "12345"));
    EXPECT_TRUE(tracker.onEvent(third.job, third.index, 1, "6789"));
    tracker.onSendEnded(third.job, third.index, SendEnd::Complete, Start + 10s);
    EXPECT_EQ(tracker.takeCommits(Start + 10s).at(0).second.outcomes.at(0).output, "12345\n6789");
}

TEST_F(JobTrackerTest, AnItemIsGivenUpAfterMaxAttemptsOrAtOnceIfImpossible)
{
    add("j", 2);
    auto now = Start;
    for (int attempt = 0; attempt < 3; ++attempt) {
        auto const item = run(now);
        EXPECT_EQ(item.index, 0U);
        tracker_.onSendEnded(item.job, item.index, SendEnd::Failed, now);
        recordFailures(tracker_, now);
        now += 2s;
    }
    auto const impossible = run(now);
    EXPECT_EQ(impossible.index, 1U);
    tracker_.onSendEnded(impossible.job, impossible.index, SendEnd::Impossible, now);
    auto const commits = tracker_.takeCommits(now);
    ASSERT_EQ(commits.size(), 1U);
    for (auto const &outcome : commits[0].second.outcomes) {
        EXPECT_EQ(outcome.state, OutcomeState::GivenUp);
        EXPECT_EQ(outcome.output, "");
    }
}

/// Guards against items that are run again by each new owner of their job, as often as one owner may run them.
TEST_F(JobTrackerTest, FailuresOfEarlierOwnersCount)
{
    add("j", 2);
    EXPECT_EQ(fail(Start), 0U);
    recordFailures(tracker_, Start, {{0, 2}});
    EXPECT_EQ(run(Start + 2s).index, 1U) << "the first item has no attempt left";
    auto const commits = tracker_.takeCommits(Start + 2s);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].second.outcomes[0].id, ItemId("j-0"));
    EXPECT_EQ(commits[0].second.outcomes[0].state, OutcomeState::GivenUp);
}

/// A run that follows an unrecorded failure is one that the next owner would not count.
TEST_F(JobTrackerTest, AnItemThatFailedWaitsUntilItsFailureIsRecorded)
{
    add("j", 1);
    EXPECT_EQ(fail(Start), 0U);
    auto const later = Start + 10s;
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, later));
    EXPECT_EQ(tracker_.waiting(batchPool, later), 0U);
    auto const commits = tracker_.takeFailures(later);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].counts, (FailureCounts{{0, 1}}));
    EXPECT_TRUE(tracker_.takeFailures(later).empty()) << "one write at a time";
    tracker_.onFailuresNotRecorded(commits[0], later);
    EXPECT_TRUE(tracker_.takeFailures(later).empty()) << "it is repeated after a pause";
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, later));
    recordFailures(tracker_, later + 1s);
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, later + 1s));
    EXPECT_TRUE(tracker_.takeFailures(later + 20s).empty());
}

/// A record that was written in an earlier tenure of the same runner says nothing of the failures in this one.
TEST_F(JobTrackerTest, ARecordOfAnEarlierTenureDoesNotReleaseAnItem)
{
    tracker_.add(recordOf("j", 1), {}, 0s, Start, TenureId("first"));
    tracker_.setPolicy(JobId("j"), policy(), Start);
    EXPECT_EQ(fail(Start), 0U);
    auto const early = tracker_.takeFailures(Start);
    tracker_.remove(JobId("j"));
    tracker_.add(recordOf("j", 1), {}, 0s, Start, TenureId("second"));
    tracker_.setPolicy(JobId("j"), policy(), Start);
    EXPECT_EQ(fail(Start), 0U);
    tracker_.onFailuresRecorded(early.at(0), {}, Start);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start + 10s));
    recordFailures(tracker_, Start + 10s, {{0, 1}});
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, Start + 10s));
}

/// Outcomes that are collected before they are stored are lost with their owner, and the next one runs the items again.
TEST_F(JobTrackerTest, TheOutcomeOfAnItemThatFailedIsStoredAtOnce)
{
    add("j", 3);
    complete();
    EXPECT_TRUE(tracker_.takeCommits(Start).empty());
    auto const impossible = run();
    tracker_.onSendEnded(impossible.job, impossible.index, SendEnd::Impossible, Start);
    auto commits = tracker_.takeCommits(Start);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].second.outcomes.size(), 2U);
    tracker_.onStored(commits[0].first, std::move(commits[0].second));
    EXPECT_EQ(tracker_.listedCount(JobId("j")), 2U);
}

/// Guards against an item that is sent without end, as each of its servers answers with an error and no answer arrives.
TEST_F(JobTrackerTest, AnItemThatWasNotAnsweredIsSentThreeTimes)
{
    add("j", 1);
    auto now = Start;
    for (int send = 0; send < 3; ++send) {
        leaveUnanswered(now);
        recordFailures(tracker_, now);
        EXPECT_FALSE(tracker_.next(batchPool, RunTime, now + 900ms)) << "a crash of the server is found out within this time";
        now += 7s;
        recordFailures(tracker_, now);
    }
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start + 50s));
    EXPECT_TRUE(tracker_.takeCommits(Start + 50s).empty()) << "it may be sound";
    tracker_.onTick(Start + 71s);
    ASSERT_EQ(tracker_.takeCommits(Start + 71s).size(), 1U) << "its queue time is over";
}

/// An error response shows that it is none that ends the item, so more sends may be unanswered.
TEST_F(JobTrackerTest, AnItemWithAFailureIsSentThreeTimesAsOftenAsItMayFail)
{
    add("j", 1);
    auto now = Start;
    auto const failed = *tracker_.next(batchPool, RunTime, now);
    tracker_.onStarted(failed);
    tracker_.onSendEnded(failed.job, failed.index, SendEnd::Failed, now);
    recordFailures(tracker_, now);
    std::size_t sends = 1;
    for (now += 10s; now < Start + 300s; now += 10s) {
        recordFailures(tracker_, now);
        if (!tracker_.next(batchPool, RunTime, now))
            continue;
        leaveUnanswered(now);
        ++sends;
    }
    EXPECT_EQ(sends, 9U);
}

/// Guards against holding a sound item whose streams break off.
TEST_F(JobTrackerTest, AnItemThatHasRespondedIsSentAgainAndAgain)
{
    add("j", 1);
    leaveUnanswered(Start);
    auto now = Start + 10s;
    recordFailures(tracker_, now);
    auto const item = run(now);
    auto const commits = tracker_.takeFailures(now);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits[0].counts, (FailureCounts{{0, 0}})) << "the next owner has to know";
    tracker_.onFailuresRecorded(commits[0], {}, now);
    EXPECT_TRUE(tracker_.takeFailures(now).empty());
    tracker_.onSendEnded(item.job, item.index, SendEnd::Unserved, now);
    for (int send = 0; send < 6; ++send) {
        now += 10s;
        leaveUnanswered(now);
    }
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, now + 10s));
}

/// An owner that ends between a send and its outcome leaves a send that the next owner does not count.
TEST_F(JobTrackerTest, ASendAfterAnUnansweredOneIsRecordedBeforeItIsMade)
{
    add("j", 1);
    leaveUnanswered(Start);
    auto const first = tracker_.takeFailures(Start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].subject, FailureCommit::Subject::UnansweredSends);
    EXPECT_EQ(first[0].counts, (FailureCounts{{0, 1}}));
    tracker_.onFailuresRecorded(first[0], {}, Start);
    EXPECT_EQ(tracker_.waits(Start)[0].paused, 1U);
    auto const later = Start + 10s;
    EXPECT_EQ(tracker_.waits(later)[0].careful, 1U);
    EXPECT_FALSE(tracker_.next(batchPool, {}, RunTime, later, ItemSelection::Ordinary));
    EXPECT_EQ(tracker_.waiting(batchPool, later, ItemSelection::Ordinary), 0U);
    EXPECT_EQ(tracker_.waiting(batchPool, later, ItemSelection::Careful), 1U);
    auto const next = tracker_.next(batchPool, {}, RunTime, later, ItemSelection::Careful);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->unansweredAt, Start);
    tracker_.onStarted(*next);
    EXPECT_TRUE(tracker_.takeReservedSends(later).empty());
    auto const second = tracker_.takeFailures(later);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].counts, (FailureCounts{{0, 2}}));
    EXPECT_TRUE(tracker_.takeReservedSends(later).empty()) << "the record is not written yet";
    tracker_.onFailuresNotRecorded(second[0], later);
    auto const refused = tracker_.takeReservedSends(later);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_FALSE(refused[0].maySend) << "it does not keep its place at the server while the store fails";
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, later)) << "it waits for the pause of the record";
    start(later + 1s);
}

/// Another owner has sent the item meanwhile. Guards against one more send than all owners together may make.
TEST_F(JobTrackerTest, AStartedItemIsNotSentIfOthersHaveSentItTooOften)
{
    add("j", 1);
    leaveUnanswered(Start);
    recordFailures(tracker_, Start);
    auto const later = Start + 10s;
    tracker_.onStarted(*tracker_.next(batchPool, RunTime, later));
    recordFailures(tracker_, later, {{0, 2}});
    auto const reserved = tracker_.takeReservedSends(later);
    ASSERT_EQ(reserved.size(), 1U);
    EXPECT_FALSE(reserved[0].maySend);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, later));
    auto const withdrawn = tracker_.takeFailures(later);
    ASSERT_EQ(withdrawn.size(), 1U);
    EXPECT_EQ(withdrawn[0].counts, (FailureCounts{{0, 1}}));
}

/// Another owner lists the item while its send is being recorded. Guards against an item that waits again although it has a result, and is
/// then listed twice.
TEST_F(JobTrackerTest, AStartedItemThatWasListedMeanwhileIsNotSent)
{
    add("j", 1);
    leaveUnanswered(Start);
    recordFailures(tracker_, Start);
    auto const later = Start + 10s;
    tracker_.onStarted(*tracker_.next(batchPool, RunTime, later));
    tracker_.onSegmentFound(JobId("j"), {.first = 0, .outcomes = {{.id = ItemId("j-0"), .output = "text"}}});
    recordFailures(tracker_, later, {{0, 2}});
    auto const reserved = tracker_.takeReservedSends(later);
    ASSERT_EQ(reserved.size(), 1U);
    EXPECT_FALSE(reserved[0].maySend);
    EXPECT_TRUE(tracker_.isDone(JobId("j")));
    EXPECT_EQ(tracker_.counts().listed, 1U);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, later + 10s));
}

/// A server refuses an item, or the connection to it fails. Guards against a count of a send that no server got, which stays if its owner
/// ends.
TEST_F(JobTrackerTest, ASendThatWasNotMadeIsWithdrawn)
{
    add("j", 1);
    tracker_.setRecordedCounts(JobId("j"), {.failures = {}, .unanswered = {{0, 1}}});
    auto const item = start(Start, {{0, 1}});
    tracker_.onSendEnded(item.job, item.index, SendEnd::Unserved, Start);
    auto const withdrawn = tracker_.takeFailures(Start);
    ASSERT_EQ(withdrawn.size(), 1U);
    EXPECT_EQ(withdrawn[0].counts, FailureCounts()) << "a count of 0 would say that the item has responded";
    tracker_.onFailuresRecorded(withdrawn[0], {{0, 1}}, Start);
    EXPECT_TRUE(tracker_.takeFailures(Start).empty());
    start(Start + 10s, {{0, 1}});
}

/// Guards against holding a sound item because of servers that crashed under it.
TEST_F(JobTrackerTest, SendsToServersThatCrashedAreNotCounted)
{
    add("j", 1);
    auto now = Start;
    for (int send = 0; send < 6; ++send) {
        leaveUnanswered(now);
        recordFailures(tracker_, now);
        tracker_.onServerCrashed(JobId("j"), 0);
        now += 10s;
        recordFailures(tracker_, now);
    }
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, now));
}

/// Guards against items that each new owner of their job sends as often as one owner may.
TEST_F(JobTrackerTest, UnansweredSendsOfEarlierOwnersCount)
{
    add("j", 3);
    tracker_.setRecordedCounts(JobId("j"), {.failures = {}, .unanswered = {{0, 3}, {1, 2}, {2, 0}}});
    recordFailures(tracker_, Start, {{0, 3}, {1, 2}, {2, 0}});
    std::vector<std::size_t> sent;
    auto now = Start;
    for (int send = 0; send < 4; ++send, now += 10s) {
        recordFailures(tracker_, now, {{0, 3}, {1, 2}, {2, 0}});
        if (auto const next = tracker_.next(batchPool, RunTime, now)) {
            sent.push_back(next->index);
            leaveUnanswered(now, {{0, 3}, {1, 2}, {2, 0}});
        }
    }
    EXPECT_EQ(std::ranges::count(sent, 0U), 0);
    EXPECT_EQ(std::ranges::count(sent, 1U), 1);
    EXPECT_EQ(std::ranges::count(sent, 2U), 3) << "it has responded to an earlier owner";
}

/// Another owner recorded a send that it did not make, and corrected that. Guards against an item that stays held.
TEST_F(JobTrackerTest, AnItemIsHeldNoLongerThanOthersCountItsSends)
{
    add("j", 1);
    leaveUnanswered(Start);
    recordFailures(tracker_, Start, {{0, 2}});
    EXPECT_TRUE(tracker_.takeFailures(Start + 4s).empty());
    recordFailures(tracker_, Start + 10s, {{0, 1}});
    recordFailures(tracker_, Start + 11s, {{0, 1}});
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, Start + 11s));
}

/// The response to an item was lost, and the owners of its job end one after the other while it waits for a server. Guards against an item
/// that is held for sends that none of them has made.
TEST_F(JobTrackerTest, AnItemThatWaitsForAServerIsNotCountedAsSent)
{
    FailureRecord record;
    auto now = Start;
    for (std::string const owner : {"a", "b", "c", "d"}) {
        tracker_.add(recordOf("j", 1), {}, 0s, Start, TenureId(owner));
        tracker_.setPolicy(JobId("j"), policy(), now);
        tracker_.setRecordedCounts(JobId("j"), {.failures = {}, .unanswered = record.others(TenureId())});
        if (now == Start)
            leaveUnanswered(now);
        for (auto const until = now + 10s; now < until; now += 100ms) {
            for (auto const &commit : tracker_.takeFailures(now)) {
                record.set(commit.tenure, commit.counts);
                tracker_.onFailuresRecorded(commit, record.others(commit.tenure), now);
            }
        }
        EXPECT_EQ(record.others(TenureId()).at(0), 1U) << "after the tenure of " << owner;
    }
    EXPECT_TRUE(tracker_.next(batchPool, RunTime, now));
}

/// Guards against counts that a job's owner drops as it hands the job over.
TEST_F(JobTrackerTest, WhatIsNotRecordedIsLeftForTheNextOwner)
{
    add("j", 3);
    leaveUnanswered(Start);
    fail(Start);
    auto const impossible = run();
    tracker_.onSendEnded(impossible.job, impossible.index, SendEnd::Impossible, Start);
    auto const commits = tracker_.takeLastFailures(JobId("j"));
    ASSERT_EQ(commits.size(), 2U);
    EXPECT_EQ(commits[0].counts, (FailureCounts{{1, 1}}));
    EXPECT_EQ(commits[1].counts.at(0), 1U);
    EXPECT_TRUE(tracker_.takeLastFailures(JobId("other")).empty());
}

/// If broken exchanges counted as failures of the item, a runner that is cut off from its servers would give up all items of its jobs.
TEST_F(JobTrackerTest, BrokenExchangesDoNotCountAsAttempts)
{
    add("j", 1);
    auto now = Start;
    for (int attempt = 0; attempt < 50; ++attempt) {
        auto const next = tracker_.next(batchPool, RunTime, now);
        ASSERT_TRUE(next);
        tracker_.onStarted(*next);
        tracker_.onSendEnded(next->job, next->index, SendEnd::Unserved, now);
        EXPECT_FALSE(tracker_.next(batchPool, RunTime, now)) << "the item waits for the retry pause";
        now += 2s;
    }
    EXPECT_TRUE(tracker_.takeCommits(now).empty());
}

TEST_F(JobTrackerTest, ItemsAreGivenUpForTheirAgeOnlyAfterTheClockSkew)
{
    add("j", 1);
    tracker_.onTick(Start + 69s);
    EXPECT_TRUE(tracker_.takeCommits(Start + 69s).empty());
    tracker_.onTick(Start + 71s);
    ASSERT_EQ(tracker_.takeCommits(Start + 71s).size(), 1U);
}

TEST_F(JobTrackerTest, ItemsAreGivenUpAfterTheirRouteIsMissingForTheTimeout)
{
    add("j", 1);
    tracker_.setPolicy(JobId("j"), {.isRouted = false}, Start);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start)) << "items without a route do not run";
    tracker_.onTick(Start + 3s);
    EXPECT_TRUE(tracker_.takeCommits(Start + 3s).empty());
    tracker_.setPolicy(JobId("j"), policy(), Start + 3s);
    tracker_.setPolicy(JobId("j"), {.isRouted = false}, Start + 4s);
    tracker_.onTick(Start + 7s);
    EXPECT_TRUE(tracker_.takeCommits(Start + 7s).empty()) << "the route was restored in between";
    tracker_.onTick(Start + 9s);
    EXPECT_EQ(tracker_.takeCommits(Start + 9s).size(), 1U);
}

/// A route is split while items of one job wait. Guards against items that go to the pool of another item's path, and against a whole job
/// that is given up because one path has no route any more.
TEST_F(JobTrackerTest, EachItemFollowsTheRouteOfItsOwnPath)
{
    PoolName const north("north");
    add("j", 3);
    auto const begun = run();
    tracker_.onSendEnded(begun.job, begun.index, SendEnd::Preempted, Start);
    tracker_.setPolicies(
        JobId("j"),
        [&](JobItem const &item) {
            auto moved = policy();
            moved.pool = north;
            moved.isRouted = item.id != ItemId("j-2");
            return std::make_shared<ItemPolicy const>(item.id == ItemId("j-1") ? policy() : moved);
        },
        Start);
    EXPECT_EQ(tracker_.waiting(batchPool, Start), 1U);
    EXPECT_EQ(tracker_.waiting(north, Start), 1U);
    auto const movedStart = tracker_.next(north, RunTime, Start + 2s);
    ASSERT_TRUE(movedStart);
    EXPECT_EQ(movedStart->index, begun.index);
    EXPECT_FALSE(movedStart->lastEventId) << "texts of two services do not fit together";
    tracker_.onTick(Start + 5s);
    EXPECT_EQ(tracker_.counts().decided, 1U) << "only the item whose path has no route";
    complete(Start + 5s);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start + 5s));
}

TEST_F(JobTrackerTest, AnEndedJobStartsNoItemsAndCountsNoTokens)
{
    add("j", 2);
    EXPECT_EQ(tracker_.waitingTokens(), 200U);
    EXPECT_EQ(tracker_.waitingTokensByCustomer(), (std::map<CustomerId, std::uint64_t>{{CustomerId(), 200}}));
    complete();
    EXPECT_EQ(tracker_.waitingTokens(), 100U);
    tracker_.onEnded(JobId("j"));
    EXPECT_EQ(tracker_.waitingTokens(), 0U);
    EXPECT_FALSE(tracker_.next(batchPool, RunTime, Start));
}

TEST_F(JobTrackerTest, PagesContainAtLeastOneOutcomeWithinTheSizeLimit)
{
    std::vector<ItemOutcome> outcomes;
    for (int index = 0; index < 4; ++index)
        outcomes.push_back({.id = ItemId("j-" + std::to_string(index)), .output = std::string(100, 'x')});
    add("j", 5, {{.first = 0, .outcomes = outcomes}});
    auto const page = tracker_.read(JobId("j"), 1, 250);
    EXPECT_EQ(page->total, 5U);
    EXPECT_EQ(page->next, 3U);
    EXPECT_EQ(tracker_.read(JobId("j"), 1, 1)->next, 2U);
    EXPECT_EQ(tracker_.read(JobId("j"), 4, 1000)->next, 4U);
    EXPECT_EQ(tracker_.read(JobId("j"), 99, 1000)->next, 99U);
    EXPECT_FALSE(tracker_.read(JobId("other"), 0, 1000));
}

TEST_F(JobTrackerTest, LargeOutcomesAreStoredInSeveralSegments)
{
    JobTracker tracker({.maxSegmentBytes = 150});
    tracker.add(recordOf("j", 2), {}, 0s, Start);
    tracker.setPolicy(JobId("j"), policy(), Start);
    for (int item = 0; item < 2; ++item) {
        auto const next = tracker.next(batchPool, RunTime, Start);
        tracker.onStarted(*next);
        tracker.onEvent(next->job, next->index, 0, std::string(100, 'x'));
        tracker.onSendEnded(next->job, next->index, SendEnd::Complete, Start);
    }
    auto commits = tracker.takeCommits(Start);
    EXPECT_EQ(commits.at(0).second.outcomes.size(), 1U);
    tracker.onStored(JobId("j"), std::move(commits[0].second));
    EXPECT_EQ(tracker.takeCommits(Start).at(0).second.first, 1U);
}

/// Two runners that both consider themselves the owner run one job against one store, with any interleaving and with lost responses
/// of the store. Every item must be listed once, positions must never change, and both runners must end with the same list.
RC_GTEST_PROP(JobTrackerProperty, TwoOwnersListEveryItemOnceAtOnePosition, ())
{
    constexpr std::size_t Items = 6;
    std::map<std::size_t, ResultSegment> store;
    std::vector<JobTracker> trackers;
    for (int runner = 0; runner < 2; ++runner) {
        trackers.emplace_back(JobTrackerOptions{.commitDelay = 0s});
        trackers.back().add(recordOf("j", Items), {}, 0s, Start);
        trackers.back().setPolicy(JobId("j"), policy(), Start);
    }
    auto now = Start;
    std::vector<ItemId> listed;
    for (int step = 0; step < 400 && !(trackers[0].isDone(JobId("j")) && trackers[1].isDone(JobId("j"))); ++step) {
        now += 200ms;
        auto &tracker = trackers[*rc::gen::inRange(0, 2)];
        if (auto const next = tracker.next(batchPool, RunTime, now); next && *rc::gen::inRange(0, 3) > 0) {
            tracker.onStarted(*next);
            tracker.onSendEnded(next->job, next->index, *rc::gen::element(SendEnd::Complete, SendEnd::Unserved, SendEnd::Preempted), now);
        }
        for (auto &[job, segment] : tracker.takeCommits(now)) {
            auto const fate = *rc::gen::inRange(0, 4);
            bool const isApplied = fate != 0;
            auto const first = segment.first;
            if (isApplied && store.emplace(first, segment).second) {
                for (auto const &outcome : segment.outcomes)
                    listed.push_back(outcome.id);
            }
            // Fate 1: the store processed the request, but the response is lost.
            if (!isApplied || fate == 1)
                tracker.onStoreFailed(job, now);
            else
                tracker.onStored(job, store.at(first));
        }
    }
    std::set<ItemId> const unique(listed.begin(), listed.end());
    RC_ASSERT(unique.size() == listed.size());
    for (auto &tracker : trackers) {
        auto const page = tracker.read(JobId("j"), 0, 1'000'000);
        RC_ASSERT(page->outcomes.size() <= listed.size());
        for (std::size_t position = 0; position < page->outcomes.size(); ++position)
            RC_ASSERT(page->outcomes[position].id == listed[position]);
    }
}

namespace {

constexpr std::uint64_t EventsOfItem = 6;

template<typename Number>
Number draw(Number from, Number to)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(from, to));
}

/// Runs the item's next attempt at a server that may ignore after which event it was asked to go on, leave events out, send no ids and
/// break off at any byte.
void runAtAnyServer(JobTracker &tracker, bool isSound, Instant now)
{
    auto const start = tracker.next(batchPool, RunTime, now);
    RC_ASSERT(start);
    tracker.onStarted(*start);
    auto const asked = start->lastEventId ? *start->lastEventId + 1 : 0;
    auto const from = isSound ? asked : draw<std::uint64_t>(0, asked + 1);
    bool const hasIds = isSound || draw(0, 4) > 0;
    auto const leftOut = isSound || !hasIds ? EventsOfItem : draw<std::uint64_t>(asked, 2 * EventsOfItem);
    std::string stream;
    for (auto id = hasIds ? from : 0; id < EventsOfItem; ++id) {
        // A fresh run whose first event is missing cannot be distinguished from one that begins there.
        if (id == leftOut && id > 0)
            continue;
        stream += (hasIds ? "id: " + std::to_string(id) + "\n" : "") + "data: t" + std::to_string(id) + "\n\n";
    }
    bool const endsWithGap = leftOut > 0 && leftOut + 1 == EventsOfItem;
    bool const isCut = !isSound && (endsWithGap || draw(0, 3) > 0);
    if (isCut)
        stream.resize(draw<std::size_t>(0, stream.size() + 1));
    Serving::EventSequence sequence(start->lastEventId);
    Serving::EventReader reader(sequence);
    std::string_view rest = stream;
    while (!rest.empty() && !reader.isBroken()) {
        auto const size = draw<std::size_t>(1, rest.size() + 1);
        reader.take(rest.substr(0, size),
                    [&](std::string_view data) { tracker.onEvent(start->job, start->index, sequence.lastId(), data); });
        rest.remove_prefix(size);
    }
    auto const end =
        !isCut && !reader.isBroken() ? SendEnd::Complete : *rc::gen::element(SendEnd::Unserved, SendEnd::Preempted, SendEnd::Failed);
    tracker.onSendEnded(start->job, start->index, end, now);
    recordFailures(tracker, now);
}

} // namespace

/// An item is run by servers that cut, repeat, leave out and restart at random places, with and without event ids. Guards against a text
/// with parts of two runs, and against events that are missing or stand twice.
RC_GTEST_PROP(JobTrackerProperty, TheTextIsWholeWhateverItsRunsDid, ())
{
    JobTracker tracker(JobTrackerOptions{.commitDelay = 0s});
    tracker.add(recordOf("j", 1), {}, 0s, Start);
    auto always = policy();
    always.maxAttempts = 1000;
    tracker.setPolicy(JobId("j"), always, Start);
    auto now = Start;
    auto const faults = draw(0, 10);
    for (int run = 0; tracker.counts().decided == 0; ++run) {
        RC_ASSERT(run <= faults + 1);
        runAtAnyServer(tracker, run >= faults, now += 3s);
    }
    RC_ASSERT(tracker.takeCommits(now).at(0).second.outcomes.at(0).output == "t0\nt1\nt2\nt3\nt4\nt5");
}

/// A server of one software version breaks an item off while servers of two serve. Guards against a text that the other version goes on
/// with, and against an item that starts anew though its version serves.
TEST_F(JobTrackerTest, AnItemGoesOnAtTheVersionThatBeganItOrStartsAnew)
{
    Serving::SoftwareVersion const v1("v1");
    Serving::SoftwareVersion const v2("v2");
    Serving::SoftwareVersions const both{v1, v2};
    add("a", 1);
    auto const begin = [&](Instant now) {
        auto const first = tracker_.next(batchPool, {.current = v1, .inUse = both}, RunTime, now);
        ASSERT_TRUE(first);
        tracker_.onStarted(*first);
        tracker_.onEvent(first->job, first->index, 7, "text of v1");
        tracker_.onSendEnded(first->job, first->index, SendEnd::Preempted, now);
    };
    begin(Start);
    EXPECT_FALSE(tracker_.next(batchPool, {.current = v2, .inUse = both}, RunTime, Start));
    EXPECT_EQ(tracker_.next(batchPool, {.current = v1, .inUse = both}, RunTime, Start)->lastEventId, 7U);
    auto const anew = tracker_.next(batchPool, {.current = v2, .inUse = {v2}}, RunTime, Start);
    ASSERT_TRUE(anew) << "no server of its version is left";
    EXPECT_FALSE(anew->lastEventId);
    auto const patient = tracker_.next(batchPool, {.current = v2, .inUse = both}, RunTime, Start + 2s);
    ASSERT_TRUE(patient) << "servers of its version have no room";
    EXPECT_FALSE(patient->lastEventId);
    tracker_.onStarted(*patient);
    tracker_.onEvent(patient->job, patient->index, 0, "text of v2");
    tracker_.onSendEnded(patient->job, patient->index, SendEnd::Complete, Start + 3s);
    auto const commits = tracker_.takeCommits(Start + 10s);
    ASSERT_EQ(commits.size(), 1U);
    EXPECT_EQ(commits.front().second.outcomes.front().output, "text of v2");
}
