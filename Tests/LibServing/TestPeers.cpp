#include "LibServing/PeerTable.h"
#include "LibServing/ServingError.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

PeerReport reportOf(std::string sender, std::uint64_t number, InstanceRole role = InstanceRole::Runner)
{
    return {.sender = InstanceId(std::move(sender)), .startedAt = 1, .number = number, .role = role, .address = Address("10.0.0.1:7")};
}

PeerTable tableOf(std::string self, InstanceRole role)
{
    PeerTable table({.self = InstanceId(std::move(self)), .ownRole = role});
    table.setOwnStage(InstanceStage::Serving, Start);
    return table;
}

} // namespace

TEST(PeerReportTest, EncodingRoundTrips)
{
    auto report = reportOf("runner \"1\"\n", 7);
    report.nextWithin = 900ms;
    report.stage = InstanceStage::Leaving;
    report.dataCentre = DataCentreId("dc");
    report.stateVersion = StateVersion(12);
    report.serversRevision = StoreRevision(345);
    report.runnersHash = ~std::uint64_t{0};
    report.inFlight[ServerId("s")] = {.online = 3, .batch = 4};
    report.store = StoreReachability::Lost;
    report.observedRunners = {
        {.id = InstanceId("r1")},
        {.id = InstanceId("r2"), .store = StoreReachability::Lost, .address = Address("10.0.0.2:7"), .waitingTokens = 1'000'000'000'000},
        {.id = InstanceId("r3"), .startedAt = 1'750'000'000'000}};
    report.knownInstances = 295;
    report.wantsSummaries = true;
    report.waitingTokens = 1'000'000'000'000;
    auto const decoded = decodePeerReport(encodePeerReport(report));
    ASSERT_TRUE(decoded) << decoded.error().toString();
    EXPECT_EQ(decoded->sender, report.sender);
    EXPECT_EQ(decoded->nextWithin, Duration(900ms));
    EXPECT_EQ(decoded->stage, InstanceStage::Leaving);
    EXPECT_EQ(decoded->runnersHash, report.runnersHash);
    EXPECT_EQ(decoded->inFlight, report.inFlight);
    EXPECT_EQ(decoded->store, StoreReachability::Lost);
    EXPECT_EQ(decoded->observedRunners, report.observedRunners);
    EXPECT_EQ(decoded->waitingTokens, report.waitingTokens);
    EXPECT_EQ(decoded->knownInstances, 295U);
    EXPECT_TRUE(decoded->wantsSummaries);
}

TEST(PeerReportTest, MalformedDatagramsAreRejected)
{
    for (auto const *const text : {"", "{}", "[]", "nothing", "{\"sender\":1}", "\xff\xfe"})
        EXPECT_EQ(decodePeerReport(text).error().code, ServingError::BadPeerMessage) << text;
    auto const complete = encodePeerReport(reportOf("a", 1));
    for (std::size_t length = 0; length < complete.size(); ++length)
        EXPECT_FALSE(decodePeerReport(std::string_view(complete).substr(0, length)));
}

namespace {

PeerReport runnerIn(std::string sender, std::string dataCentre, std::uint64_t number = 1)
{
    auto report = reportOf(std::move(sender), number);
    report.dataCentre = DataCentreId(std::move(dataCentre));
    return report;
}

PeerTable tableIn(std::string self, InstanceRole role, std::string dataCentre)
{
    PeerTable table({.self = InstanceId(std::move(self)), .ownRole = role, .dataCentre = DataCentreId(std::move(dataCentre))});
    table.setOwnStage(InstanceStage::Serving, Start);
    return table;
}

} // namespace

TEST(PeerTableTest, AllInstancesOfADataCentreAgreeOnItsRelays)
{
    auto entry = tableIn("entry", InstanceRole::Entry, "a");
    auto runner = tableIn("r1", InstanceRole::Runner, "a");
    auto farRunner = tableIn("far", InstanceRole::Runner, "b");
    for (auto const *const name : {"r1", "r2", "r3", "r4", "r5"}) {
        entry.onReport(runnerIn(name, "a"), Start);
        runner.onReport(runnerIn(name, "a"), Start);
        farRunner.onReport(runnerIn(name, "a"), Start);
    }
    entry.onReport(runnerIn("far", "b"), Start);
    ASSERT_EQ(entry.relays().size(), 2U);
    EXPECT_EQ(entry.relays(), runner.relays());
    EXPECT_EQ(entry.relays(), farRunner.relaysOf(DataCentreId("a")));
    EXPECT_FALSE(entry.isRelay());
}

/// Both relays lose the store while the other runners reach it. Guards against entries that learn of no change of the desired state.
TEST(PeerTableTest, RunnersThatReachTheStoreAreThePreferredRelays)
{
    auto table = tableIn("entry", InstanceRole::Entry, "a");
    for (auto const *const name : {"r1", "r2", "r3", "r4"})
        table.onReport(runnerIn(name, "a"), Start);
    auto const before = table.relays();
    for (auto const &relay : before) {
        auto report = runnerIn(relay.value(), "a", 2);
        report.store = StoreReachability::Lost;
        table.onReport(report, Start);
    }
    for (auto const &relay : table.relays())
        EXPECT_EQ(std::count(before.begin(), before.end(), relay), 0) << relay.value();
    EXPECT_EQ(table.relays().size(), 2U);
}

TEST(PeerTableTest, ADataCentreWithoutRunnersUsesRelaysOfOthers)
{
    auto table = tableIn("entry", InstanceRole::Entry, "a");
    table.onReport(runnerIn("r1", "b"), Start);
    table.onReport(runnerIn("r2", "a"), Start);
    EXPECT_EQ(table.relays(), std::vector{InstanceId("r2")});
    auto leaving = runnerIn("r2", "a", 2);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    EXPECT_EQ(table.relays(), std::vector{InstanceId("r1")});
}

/// In a large fleet an instance receives no reports of most runners. Guards against a limit of waiting tokens that leaves out their
/// jobs, and against job calls that cannot reach an owner that is alive.
TEST(PeerTableTest, TokensAndAddressesOfRunnersAreKnownThroughPeers)
{
    auto table = tableIn("entry", InstanceRole::Entry, "a");
    auto report = runnerIn("r1", "a");
    report.waitingTokens = 10;
    report.observedRunners = {{.id = InstanceId("r1"), .waitingTokens = 9},
                              {.id = InstanceId("r2"), .address = Address("10.0.0.2:7"), .waitingTokens = 20}};
    table.onReport(report, Start);
    auto other = runnerIn("r3", "a");
    other.observedRunners = {{.id = InstanceId("r2"), .address = Address("10.0.0.2:7"), .waitingTokens = 25}};
    table.onReport(other, Start);
    EXPECT_EQ(table.waitingTokens(Start), 35U);
    EXPECT_EQ(table.addressOf(InstanceId("r1")), Address("10.0.0.1:7"));
    EXPECT_EQ(table.addressOf(InstanceId("r2")), Address("10.0.0.2:7"));
    EXPECT_FALSE(table.addressOf(InstanceId("r9")));
}

/// Reports of load changes leave out the observed runners. Guards against runners that vanish with each of them.
TEST(PeerTableTest, AReportWithoutObservedRunnersKeepsTheEarlierOnes)
{
    auto table = tableIn("r0", InstanceRole::Runner, "a");
    auto report = runnerIn("r1", "a");
    report.observedRunners = {{.id = InstanceId("r2")}};
    table.onReport(report, Start);
    auto change = decodePeerReport([&] {
        auto next = runnerIn("r1", "a", 2);
        next.statesObservedRunners = false;
        return encodePeerReport(next);
    }());
    ASSERT_TRUE(change);
    table.onReport(*change, Start);
    EXPECT_EQ(table.runners().size(), 3U);
    auto restarted = runnerIn("r1", "a", 1);
    restarted.startedAt = 2;
    restarted.statesObservedRunners = false;
    table.onReport(restarted, Start);
    EXPECT_EQ(table.runners().size(), 2U);
}

/// In a large fleet runners of different data centres receive no item counts of each other. On kookhuur-anvil-grown, with two or three
/// runners in each of four data centres, far runners started items in slots that near ones had filled, and streams waited behind them.
TEST(PeerTableTest, InALargeFleetTheRunnersOfAServerAreInOneDataCentre)
{
    std::vector<std::pair<std::string, std::string>> const runners{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"b3", "b"}};
    std::map<std::string, std::size_t> senders;
    std::size_t sendersToC = 0;
    for (auto const &[self, dataCentre] : runners) {
        auto table = tableIn(self, InstanceRole::Runner, dataCentre);
        for (auto const &[other, otherDataCentre] : runners)
            table.onReport(runnerIn(other, otherDataCentre), Start);
        table.setFleetKind(FleetKind::Large);
        for (int number = 0; number < 20; ++number) {
            ServerId const server("s" + std::to_string(number));
            senders[dataCentre] += table.isRunnerFor(server, DataCentreId(dataCentre)) ? 1 : 0;
            EXPECT_FALSE(table.isRunnerFor(server, DataCentreId(dataCentre == "a" ? "b" : "a")));
            sendersToC += table.isRunnerFor(server, DataCentreId("c")) ? 1 : 0;
        }
    }
    EXPECT_EQ(senders["a"], 40U);
    EXPECT_EQ(senders["b"], 60U);
    EXPECT_EQ(sendersToC, 20U) << "one runner for each server of a data centre without runners";
}

/// Guards against adding the reports of a few peers to a summary that includes them already.
TEST(PeerTableTest, ASummaryReplacesTheLoadOfDirectReports)
{
    auto table = tableIn("entry", InstanceRole::Entry, "a");
    auto report = runnerIn("r1", "a");
    report.inFlight[ServerId("s")] = {.batch = 2};
    table.onReport(report, Start);
    EXPECT_EQ(table.othersAt(ServerId("s")).batch, 2U);
    table.onSummary({.relay = InstanceId("r1"),
                     .position = {.startedAt = 1, .number = 1},
                     .dataCentre = DataCentreId("a"),
                     .near = {{ServerId("s"), {.online = 4, .batch = 3}}}},
                    Start);
    EXPECT_EQ(table.othersAt(ServerId("s")), (InFlight{.online = 4, .batch = 3}));
    table.onTick(Start + 1s);
    EXPECT_EQ(table.othersAt(ServerId("s")).batch, 2U) << "without relays the direct reports count";
}

/// Guards against adding up reports and against replacing a newer report by an older one.
RC_GTEST_PROP(PeerTableProperty, LostDuplicatedAndReorderedReportsKeepTheNewestCounts, ())
{
    auto table = tableOf("self", InstanceRole::Entry);
    auto order = *rc::gen::container<std::vector<std::uint64_t>>(20, rc::gen::inRange<std::uint64_t>(1, 10));
    std::uint64_t newest = 0;
    for (auto const number : order) {
        auto report = reportOf("peer", number, InstanceRole::Entry);
        report.inFlight[ServerId("s")] = {.online = static_cast<std::uint32_t>(number)};
        table.onReport(std::move(report), Start);
        newest = std::max(newest, number);
        RC_ASSERT(table.othersAt(ServerId("s")).online == newest);
    }
}

TEST(PeerTableTest, ARestartedProcessIsAcceptedAlthoughItsReportNumberRestarts)
{
    auto table = tableOf("self", InstanceRole::Entry);
    EXPECT_TRUE(table.onReport(reportOf("peer", 100), Start));
    auto restarted = reportOf("peer", 1);
    restarted.startedAt = 2;
    EXPECT_TRUE(table.onReport(std::move(restarted), Start));
    EXPECT_FALSE(table.onReport(reportOf("peer", 101), Start));
}

TEST(PeerTableTest, TimedOutPeersAndTheirLoadAreRemoved)
{
    auto table = tableOf("self", InstanceRole::Entry);
    auto report = reportOf("peer", 1);
    report.inFlight[ServerId("s")] = {.batch = 2};
    table.onReport(std::move(report), Start);
    table.onTick(Start + 1499ms);
    EXPECT_EQ(table.othersAt(ServerId("s")).batch, 2U);
    table.onTick(Start + 1500ms);
    EXPECT_EQ(table.othersAt(ServerId("s")).batch, 0U);
    EXPECT_TRUE(table.runners().empty());
}

TEST(PeerTableTest, AllInstancesAgreeOnTheOwner)
{
    auto entry = tableOf("entry", InstanceRole::Entry);
    auto first = tableOf("r1", InstanceRole::Runner);
    for (auto const *const name : {"r1", "r2", "r3"}) {
        entry.onReport(reportOf(name, 1), Start);
        first.onReport(reportOf(name, 1), Start);
    }
    std::set<std::string> owners;
    for (int job = 0; job < 50; ++job) {
        JobId const id(std::to_string(job));
        EXPECT_EQ(entry.ownerOf(id), first.ownerOf(id));
        owners.insert(entry.ownerOf(id)->value());
    }
    EXPECT_EQ(owners.size(), 3U);
    EXPECT_EQ(entry.runnersHash(), first.runnersHash());
}

TEST(PeerTableTest, ALeavingRunnerOwnsNothing)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    table.onReport(reportOf("r2", 1), Start);
    table.setOwnStage(InstanceStage::Leaving, Start);
    EXPECT_EQ(table.runners(), std::vector<InstanceId>{InstanceId("r2")});
    auto leaving = reportOf("r2", 2);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(std::move(leaving), Start);
    EXPECT_FALSE(table.ownerOf(JobId("j")));
}

/// Guards against an undetected one-way network partition, in which the other runner no longer receives reports of this one and has
/// taken over its jobs.
TEST(PeerTableTest, ARunnerWithADifferentRunnerSetUnsettlesOwnership)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto report = reportOf("r2", 1);
    table.onReport(report, Start);
    report.number = 2;
    report.runnersHash = table.runnersHash();
    table.onReport(report, Start + 1s);
    EXPECT_TRUE(table.isUnsettled(Start + 4s)) << "the view changed recently";
    EXPECT_FALSE(table.isUnsettled(Start + 6s));
    report.number = 3;
    report.runnersHash += 1;
    table.onReport(report, Start + 6s);
    EXPECT_TRUE(table.isUnsettled(Start + 6s));
}

/// Two runners are cut off from each other and an entry receives reports of both, as in hunt-d255-27 on coldline-kr: results of a job
/// were read at one runner and missing at the other. The views of entries have to count as well as those of runners.
TEST(PeerTableTest, AnEntryWithADifferentRunnerSetUnsettlesOwnership)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto entry = reportOf("entry", 1, InstanceRole::Entry);
    entry.runnersHash = table.runnersHash();
    table.onReport(entry, Start + 10s);
    EXPECT_FALSE(table.isUnsettled(Start + 10s));
    entry.number = 2;
    entry.runnersHash += 1;
    table.onReport(entry, Start + 11s);
    EXPECT_TRUE(table.isUnsettled(Start + 11s));
}

/// Runners are cut off from each other while entries reach all of them, as in both recorded incidents (core_cut). If only runners with
/// direct reports counted, each runner would take over the jobs of the others and run them again beside online requests.
TEST(PeerTableTest, RunnersReachableThroughEntriesKeepTheirJobs)
{
    auto first = tableOf("r1", InstanceRole::Runner);
    auto second = tableOf("r2", InstanceRole::Runner);
    auto entry = reportOf("entry", 1, InstanceRole::Entry);
    entry.observedRunners = {{.id = InstanceId("r1")}, {.id = InstanceId("r2")}};
    for (auto *table : {&first, &second})
        table->onReport(entry, Start);
    EXPECT_EQ(first.runners(), second.runners());
    EXPECT_EQ(first.runners().size(), 2U);
    first.onTick(Start + 2s);
    EXPECT_EQ(first.runners(), std::vector<InstanceId>{InstanceId("r1")}) << "the entry has timed out as well";
}

TEST(PeerTableTest, ALeavingReportOverridesObservationsByOthers)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto entry = reportOf("entry", 1, InstanceRole::Entry);
    entry.observedRunners = {{.id = InstanceId("r1")}, {.id = InstanceId("r2")}};
    table.onReport(entry, Start);
    auto leaving = reportOf("r2", 5);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    EXPECT_EQ(table.runners(), std::vector<InstanceId>{InstanceId("r1")});
    table.setOwnStage(InstanceStage::Leaving, Start);
    EXPECT_TRUE(table.runners().empty());
}

/// A peer observed a runner that is gone and never states its observed runners again, as it does to a runner of another data centre. Guards
/// against an owner of jobs that no process is.
TEST(PeerTableTest, ObservationsThatAreNotStatedAgainEnd)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto report = reportOf("r2", 1);
    report.observedRunners = {{.id = InstanceId("r3")}};
    table.onReport(report, Start);
    auto const timeout = PeerTableOptions{}.observationTimeout;
    for (Duration elapsed = 250ms; elapsed < 2 * timeout; elapsed += 250ms) {
        report.statesObservedRunners = false;
        ++report.number;
        table.onReport(report, Start + elapsed);
        table.onTick(Start + elapsed);
        bool const isKnown = table.runners().size() == 3;
        EXPECT_EQ(isKnown, elapsed < timeout) << elapsed / 1ms << " ms";
        EXPECT_EQ(table.observerOf(InstanceId("r3")).has_value(), isKnown);
    }
    report.statesObservedRunners = true;
    ++report.number;
    table.onReport(report, Start + 2 * timeout);
    EXPECT_EQ(table.runners().size(), 3U) << "it is observed again";
}

/// A runner leaves, and others that missed its last reports still observe it. Guards against the return of its jobs to it once its reports
/// have timed out.
TEST(PeerTableTest, ARunnerThatLeftIsNotCountedBecauseOfObservations)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto leaving = reportOf("r2", 5);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    auto observer = reportOf("r3", 1);
    observer.observedRunners = {{.id = InstanceId("r2")}};
    for (Duration elapsed = 250ms; elapsed < 10s; elapsed += 250ms) {
        ++observer.number;
        table.onReport(observer, Start + elapsed);
        table.onTick(Start + elapsed);
        EXPECT_EQ(table.runners().size(), 2U) << elapsed / 1ms << " ms";
    }
    auto restarted = reportOf("r2", 1);
    restarted.startedAt = 2;
    table.onReport(restarted, Start + 10s);
    EXPECT_EQ(table.runners().size(), 3U) << "its new process reports itself";
}

/// A runner leaves and starts again, as in a rolling restart, and this entry receives reports of others only. Guards against views that
/// never count the new process, so that its jobs are asked for elsewhere and no view agrees with that of the runners.
TEST(PeerTableTest, ARunnerThatStartsAgainIsCountedBecauseOfObservations)
{
    auto table = tableOf("entry", InstanceRole::Entry);
    auto leaving = reportOf("r2", 5);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    auto observer = reportOf("r3", 1);
    observer.observedRunners = {{.id = InstanceId("r2"), .startedAt = leaving.startedAt}};
    table.onReport(observer, Start + 3s);
    table.onTick(Start + 3s);
    EXPECT_EQ(table.runners(), std::vector<InstanceId>{InstanceId("r3")}) << "the process that left";
    observer.number = 2;
    observer.observedRunners = {{.id = InstanceId("r2"), .startedAt = leaving.startedAt + 1}};
    table.onReport(observer, Start + 4s);
    EXPECT_EQ(table.runners().size(), 2U) << "its next process";
}

/// Like above, but the clock of the machine stepped backwards between the two starts, or the observer does not state them. Guards against a
/// departure whose end changes nothing.
TEST(PeerTableTest, ADepartureEndsWithoutAnotherChange)
{
    auto table = tableOf("entry", InstanceRole::Entry);
    auto leaving = reportOf("r2", 5);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    auto observer = reportOf("r3", 1);
    observer.observedRunners = {{.id = InstanceId("r2")}};
    auto const retention = PeerTableOptions{}.departureRetention;
    for (Duration elapsed = 250ms; elapsed < retention + 1s; elapsed += 250ms) {
        ++observer.number;
        table.onReport(observer, Start + elapsed);
        table.onTick(Start + elapsed);
        EXPECT_EQ(table.runners().size(), elapsed < retention ? 1U : 2U) << elapsed / 1ms << " ms";
    }
}

/// Guards against entries that pass observations of a runner on although it reported to them that it is leaving.
TEST(PeerTableTest, ARunnerThatLeftIsNotPassedOn)
{
    auto table = tableOf("entry", InstanceRole::Entry);
    auto observer = reportOf("r3", 1);
    observer.dataCentre = DataCentreId("elsewhere");
    observer.observedRunners = {{.id = InstanceId("r2")}};
    table.onReport(observer, Start);
    EXPECT_EQ(table.relayedRunners().size(), 2U);
    auto leaving = reportOf("r2", 5);
    leaving.stage = InstanceStage::Leaving;
    table.onReport(leaving, Start);
    EXPECT_EQ(table.relayedRunners().size(), 1U);
}

/// One runner is cut off from the store (core_cut, or platform_down for some machines). Its jobs would wait until it reaches the store
/// again, so other runners have to own them. During an outage that affects all runners, the jobs still need owners.
TEST(PeerTableTest, ARunnerWithoutTheStoreOwnsNothingWhileAnotherReachesIt)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    auto report = reportOf("r2", 1);
    table.onReport(report, Start);
    table.setOwnStoreReachability(StoreReachability::Lost, Start);
    table.onTick(Start + 1s);
    EXPECT_EQ(table.runners(), std::vector<InstanceId>{InstanceId("r2")});
    report.number = 2;
    report.store = StoreReachability::Lost;
    table.onReport(report, Start + 1s);
    EXPECT_EQ(table.runners().size(), 2U);
}

/// When the store fails for all and returns, each runner loses and reaches it at another moment within a second. Guards against owners that
/// change with the report of each runner: on trouble-1 of kol-anvil-grown, jobs had up to four owners within 0.3 s, and items whose sends
/// were taken back that often were never sent again.
TEST(PeerTableTest, OwnersStayWhenAllRunnersLoseAndReachTheStoreOneAfterTheOther)
{
    constexpr std::uint64_t RunnerCount = 6;
    constexpr Duration Step = 150ms;
    auto table = tableOf("r0", InstanceRole::Runner);
    auto const idOf = [](std::uint64_t number) { return "r" + std::to_string(number); };
    auto now = Start;
    std::uint64_t reports = 0;
    auto const report = [&](std::uint64_t runner, StoreReachability store) {
        auto changed = reportOf(idOf(runner), ++reports);
        changed.store = store;
        table.onReport(changed, now);
    };
    for (std::uint64_t runner = 1; runner < RunnerCount; ++runner)
        report(runner, StoreReachability::Reached);
    auto const hash = table.runnersHash();
    for (auto const store : {StoreReachability::Lost, StoreReachability::Reached}) {
        for (std::uint64_t runner = 0; runner < RunnerCount; ++runner) {
            now += Step;
            if (runner == 0)
                table.setOwnStoreReachability(store, now);
            else
                report(runner, store);
            table.onTick(now);
            EXPECT_EQ(table.runnersHash(), hash) << idOf(runner);
        }
    }
}

/// A runner is paused, another one takes over its jobs, and all views agree again before the first one compares them. In a run of
/// split-and-burst on Stevec, results that had been read were missing at the paused runner. Comparing only the current views does not
/// detect this.
TEST(PeerTableTest, APauseOrATransientDisagreementUnsettlesOwnershipForAWhile)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    EXPECT_FALSE(table.isUnsettled(Start + 10s));
    table.onProcessPaused(Start + 10s);
    EXPECT_TRUE(table.isUnsettled(Start + 14s));
    EXPECT_FALSE(table.isUnsettled(Start + 15s));
    auto report = reportOf("entry", 1, InstanceRole::Entry);
    report.runnersHash = table.runnersHash() + 1;
    table.onReport(report, Start + 20s);
    report.number = 2;
    report.runnersHash = table.runnersHash();
    table.onReport(report, Start + 20s);
    EXPECT_TRUE(table.isUnsettled(Start + 24s));
    EXPECT_FALSE(table.isUnsettled(Start + 25s));
}

/// After a runner is lost or leaves, its jobs still wait although no runner reports them for a short time. Their tokens must not be
/// dropped during that time.
TEST(PeerTableTest, TokensOfALostRunnerCountUntilItsJobsAreTakenOver)
{
    auto table = tableOf("entry", InstanceRole::Entry);
    auto lost = reportOf("r1", 1);
    lost.waitingTokens = 100;
    table.onReport(lost, Start);
    auto leaving = reportOf("r2", 1);
    leaving.waitingTokens = 10;
    table.onReport(leaving, Start);
    leaving.number = 2;
    leaving.stage = InstanceStage::Leaving;
    leaving.waitingTokens = 0;
    table.onReport(leaving, Start + 1s);
    EXPECT_EQ(table.waitingTokens(Start + 1s), 110U);
    table.onTick(Start + 1500ms);
    EXPECT_EQ(table.waitingTokens(Start + 1500ms), 110U);
    EXPECT_EQ(table.waitingTokens(Start + 4400ms), 100U);
    EXPECT_EQ(table.waitingTokens(Start + 4500ms), 0U);
}

/// Guards against a drift between the incrementally updated sums and the last reports of live peers.
RC_GTEST_PROP(PeerTableProperty, SumsMatchTheReportsOfLivePeers, ())
{
    auto table = tableOf("self", InstanceRole::Runner);
    auto now = Start;
    std::uint64_t number = 0;
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        auto report = reportOf("p" + std::to_string(*rc::gen::inRange(0, 5)), ++number);
        for (int server = 0; server < 3; ++server) {
            InFlight const count{.online = *rc::gen::inRange<std::uint32_t>(0, 3), .batch = *rc::gen::inRange<std::uint32_t>(0, 3)};
            // A report may also list a server at which its sender has no requests.
            if (*rc::gen::inRange(0, 3) > 0)
                report.inFlight[ServerId("s" + std::to_string(server))] = count;
        }
        table.onReport(std::move(report), now);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
        table.onTick(now);
    }
    for (int server = 0; server < 3; ++server) {
        ServerId const id("s" + std::to_string(server));
        InFlight expected;
        for (auto const *report : table.live()) {
            if (auto const found = report->inFlight.find(id); found != report->inFlight.end()) {
                expected.online += found->second.online;
                expected.batch += found->second.batch;
            }
        }
        RC_ASSERT(table.othersAt(id) == expected);
        std::uint32_t batch = 0;
        for (auto const &[runner, items] : table.batchAt(id))
            batch += items;
        RC_ASSERT(batch == expected.batch);
    }
}

/// Guards against considering a peer that reports every second dead between two reports.
TEST(PeerTableTest, APeerWithALongReportIntervalTimesOutLater)
{
    auto table = tableOf("self", InstanceRole::Entry);
    auto report = reportOf("far", 1, InstanceRole::Entry);
    report.nextWithin = 1s;
    table.onReport(std::move(report), Start);
    table.onTick(Start + 3900ms);
    EXPECT_TRUE(table.find(InstanceId("far")));
    table.onTick(Start + 4s);
    EXPECT_FALSE(table.find(InstanceId("far")));
}

/// If every runner of a large fleet sent items to every server, each runner would need the current items of all others. Every server
/// must still have a runner.
TEST(PeerTableTest, EachServerHasFourRunnersFromItsDataCentre)
{
    std::vector<InstanceId> ids;
    for (int number = 0; number < 13; ++number)
        ids.emplace_back("r" + std::to_string(number));
    auto const centreOf = [](std::size_t runner) { return DataCentreId(runner < 6 ? "here" : "there"); };
    std::vector<PeerTable> tables;
    for (std::size_t self = 0; self < ids.size(); ++self) {
        auto &table =
            tables.emplace_back(PeerTableOptions{.self = ids[self], .ownRole = InstanceRole::Runner, .dataCentre = centreOf(self)});
        table.setOwnStage(InstanceStage::Serving, Start);
        for (std::size_t peer = 0; peer < ids.size(); ++peer) {
            auto report = reportOf(ids[peer].value(), 1);
            report.dataCentre = centreOf(peer);
            table.onReport(std::move(report), Start);
        }
    }
    for (int server = 0; server < 60; ++server) {
        std::size_t here = 0;
        std::size_t there = 0;
        for (std::size_t runner = 0; runner < ids.size(); ++runner) {
            if (tables[runner].isRunnerFor(ServerId("s" + std::to_string(server)), DataCentreId("here")))
                ++(runner < 6 ? here : there);
        }
        EXPECT_EQ(here, 4U);
        EXPECT_EQ(there, 0U);
    }
}

/// Jobs are divided among all runners. Guards against runners without any server of a pool that has few, only some that accept items, or
/// none in the runner's data centre, and against runners that all take the same substitute.
TEST(PeerTableTest, EachRunnerHasAServerOfAPoolThatAcceptsItems)
{
    constexpr std::size_t RunnersPerDataCentre = 9;
    std::vector<std::string> const dataCentres{"a", "b", "c", "d", "e"};
    std::vector<std::pair<std::string, std::string>> runners;
    for (auto const &dataCentre : dataCentres) {
        for (std::size_t number = 0; number < RunnersPerDataCentre; ++number)
            runners.emplace_back(dataCentre + std::to_string(number), dataCentre);
    }
    std::vector<ItemServer> onePerDataCentre;
    std::vector<ItemServer> onlyInOne;
    std::vector<ItemServer> leavingInOne;
    for (int number = 0; number < 20; ++number) {
        ServerId const id("s" + std::to_string(number));
        if (number < 5)
            onePerDataCentre.push_back({.id = id, .dataCentre = DataCentreId(dataCentres.at(number)), .acceptsNew = true});
        onlyInOne.push_back({.id = id, .dataCentre = DataCentreId("a"), .acceptsNew = true});
        auto const &dataCentre = dataCentres.at(number % dataCentres.size());
        leavingInOne.push_back({.id = id, .dataCentre = DataCentreId(dataCentre), .acceptsNew = dataCentre != "c"});
    }
    for (auto const &pool : {onePerDataCentre, onlyInOne, leavingInOne}) {
        std::map<ServerId, std::size_t> runnersOf;
        std::size_t withoutServer = 0;
        for (auto const &[self, dataCentre] : runners) {
            auto table = tableIn(self, InstanceRole::Runner, dataCentre);
            for (auto const &[other, otherDataCentre] : runners)
                table.onReport(runnerIn(other, otherDataCentre), Start);
            table.setFleetKind(FleetKind::Large);
            auto const servers = table.itemServers(pool);
            std::size_t accepting = 0;
            for (auto const &server : pool) {
                if (!server.acceptsNew || !servers.contains(server.id))
                    continue;
                ++accepting;
                ++runnersOf[server.id];
            }
            withoutServer += accepting == 0 ? 1 : 0;
        }
        EXPECT_EQ(withoutServer, 0U);
        auto const most = std::max_element(
            runnersOf.begin(), runnersOf.end(), [](auto const &left, auto const &right) { return left.second < right.second; });
        EXPECT_LE(most->second, RunnersPerDataCentre);
    }
}

/// A data centre loses nearly all its servers of a pool. Guards against runners there whose jobs wait for the one that is left, while
/// servers of other data centres are idle.
TEST(PeerTableTest, ARunnerWhoseDataCentreHasFewServersLeftGetsOthers)
{
    std::vector<std::string> const dataCentres{"a", "b", "c"};
    std::vector<std::pair<std::string, std::string>> runners;
    for (int number = 0; number < 13; ++number)
        runners.emplace_back("r" + std::to_string(number), dataCentres.at(number % 3));
    std::vector<ItemServer> pool{{.id = ServerId("left"), .dataCentre = DataCentreId("a"), .acceptsNew = true}};
    for (int number = 0; number < 40; ++number)
        pool.push_back(
            {.id = ServerId("s" + std::to_string(number)), .dataCentre = DataCentreId(dataCentres.at(1 + number % 2)), .acceptsNew = true});
    for (auto const &[self, dataCentre] : runners) {
        auto table = tableIn(self, InstanceRole::Runner, dataCentre);
        for (auto const &[other, otherDataCentre] : runners)
            table.onReport(runnerIn(other, otherDataCentre), Start);
        table.setFleetKind(FleetKind::Large);
        auto const servers = table.itemServers(pool);
        EXPECT_GE(servers.size(), 12U) << self << ": the share of a runner is 41 * 4 / 13";
    }
}

/// Runners see a free slot of another data centre at the same time. Guards against two that use it in one round because they determine
/// different turns, and against one that never gets a turn.
TEST(PeerTableTest, RunnersTakeTurnsAtAServer)
{
    std::vector<std::string> const dataCentres{"a", "b", "c"};
    std::vector<PeerTable> tables;
    constexpr int Runners = 13;
    for (int self = 0; self < Runners; ++self) {
        auto &table = tables.emplace_back(tableIn("r" + std::to_string(self), InstanceRole::Runner, dataCentres.at(self % 3)));
        for (int other = 0; other < Runners; ++other)
            table.onReport(runnerIn("r" + std::to_string(other), dataCentres.at(other % 3)), Start);
    }
    std::map<std::size_t, std::size_t> turns;
    for (std::uint64_t round = 0; round < 200; ++round) {
        std::size_t runnersWithTurn = 0;
        for (std::size_t runner = 0; runner < tables.size(); ++runner) {
            bool const hasTurn = tables[runner].hasTurnAt(ServerId("s"), round);
            runnersWithTurn += hasTurn ? 1 : 0;
            turns[runner] += hasTurn ? 1 : 0;
        }
        EXPECT_EQ(runnersWithTurn, 1U);
    }
    for (auto const &[runner, count] : turns)
        EXPECT_GT(count, 0U) << runner;
}

TEST(PeerTableTest, FewRunnersShareAllServers)
{
    auto table = tableOf("r1", InstanceRole::Runner);
    table.onReport(reportOf("r2", 1), Start);
    table.onReport(reportOf("r3", 1), Start);
    for (int server = 0; server < 20; ++server)
        EXPECT_TRUE(table.isRunnerFor(ServerId("s" + std::to_string(server)), DataCentreId("elsewhere")));
}

/// Guards against ignoring a change of the observed runners in the report of a known peer.
TEST(PeerTableTest, ARunnerNewlyObservedByAKnownEntryMayOwnJobs)
{
    auto table = tableOf("self", InstanceRole::Entry);
    table.onReport(reportOf("e1", 1, InstanceRole::Entry), Start);
    EXPECT_TRUE(table.runners().empty());
    auto report = reportOf("e1", 2, InstanceRole::Entry);
    report.observedRunners = {{.id = InstanceId("r1")}};
    table.onReport(report, Start);
    EXPECT_EQ(table.runners(), std::vector{InstanceId("r1")});
    report.number = 3;
    report.observedRunners.clear();
    table.onReport(report, Start);
    EXPECT_TRUE(table.runners().empty());
}

/// A report lists a server with nothing in flight. Its sum must not be removed by one peer's update and then decremented by another's.
TEST(PeerTableTest, AServerReportedWithZeroInFlightKeepsSumsExact)
{
    auto table = tableOf("self", InstanceRole::Entry);
    ServerId const server("s");
    auto idle = reportOf("idle", 1, InstanceRole::Entry);
    idle.inFlight[server] = {};
    auto busy = reportOf("busy", 1, InstanceRole::Entry);
    busy.inFlight[server] = {.online = 2};
    table.onReport(idle, Start);
    table.onReport(busy, Start);
    busy.number = 2;
    busy.inFlight.clear();
    table.onReport(busy, Start);
    idle.number = 2;
    table.onReport(idle, Start);
    table.onTick(Start + 10s);
    EXPECT_EQ(table.othersAt(server), InFlight{});
}
