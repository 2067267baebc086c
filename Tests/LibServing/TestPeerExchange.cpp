#include "Tests/LibServing/ExchangeSimulation.h"

#include <algorithm>
#include <array>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <tuple>

using namespace Anvilyard;
using namespace Anvilyard::Serving;
using namespace Anvilyard::Tests;

namespace {

/// Starts and ends of requests a second at each entry, as on a fleet whose entries receive 4.5 requests a second.
constexpr double BusyChanges = 9;

std::uint32_t ownAt(ExchangeSimulation::Instance const &instance, ServerId const &server)
{
    auto const found = instance.inFlight.find(server);
    return found == instance.inFlight.end() ? 0 : found->second.online;
}

/// Number of servers whose load an instance knows wrongly, over all live instances.
std::size_t wrongLoads(ExchangeSimulation &fleet)
{
    std::size_t wrong = 0;
    for (auto const &server : fleet.servers()) {
        auto const actual = fleet.actualAt(server).online;
        for (auto const &instance : fleet.instances()) {
            if (instance.isAlive)
                wrong += instance.peers->othersAt(server).online + ownAt(instance, server) == actual ? 0 : 1;
        }
    }
    return wrong;
}

/// Datagrams that an entry receives in a busy second, on average.
double receivedByAnEntry(std::size_t instances)
{
    ExchangeSimulation fleet({.instances = instances});
    fleet.run(1500ms, BusyChanges);
    for (auto &instance : fleet.instances())
        instance.received = 0;
    fleet.run(2s, BusyChanges);
    double received = 0;
    double entries = 0;
    for (auto const &instance : fleet.instances()) {
        if (instance.role != InstanceRole::Entry)
            continue;
        received += static_cast<double>(instance.received);
        entries += 1;
    }
    return received / entries / 2;
}

} // namespace

/// Reports of each load change to all instances of a data centre took all processor time of the small machines of a fleet of 295.
TEST(PeerExchangeTest, DatagramsAtAnEntryHardlyGrowWithTheFleet)
{
    auto const at100 = receivedByAnEntry(100);
    auto const at300 = receivedByAnEntry(300);
    EXPECT_LT(at300, 1.3 * at100);
    EXPECT_LT(at300, 100);
}

TEST(PeerExchangeTest, InAFleetOfAThousandAllInstancesLearnTheLoadAndTheRunners)
{
    ExchangeSimulation fleet({.instances = 1000, .instancesPerRunner = 40});
    fleet.run(2s, 1);
    fleet.run(1s, 0);
    EXPECT_EQ(wrongLoads(fleet), 0U);
    std::set<std::uint64_t> hashes;
    for (auto const &instance : fleet.instances())
        hashes.insert(instance.peers->runnersHash());
    EXPECT_EQ(hashes.size(), 1U);
}

TEST(PeerExchangeTest, LostDatagramsDelayTheLoadButDoNotFalsifyIt)
{
    ExchangeSimulation fleet({.instances = 150, .lossShare = 0.05});
    fleet.run(4s, BusyChanges);
    fleet.run(2s, 0);
    EXPECT_EQ(wrongLoads(fleet), 0U);
}

/// Both relays of a data centre die, as when the machines that write most lose power. Guards against instances that wait for them.
TEST(PeerExchangeTest, OtherRunnersTakeOverFromDeadRelays)
{
    ExchangeSimulation fleet({.instances = 150});
    fleet.run(3s, BusyChanges);
    auto const relays = fleet.instances().back().peers->relays();
    ASSERT_EQ(relays.size(), 2U);
    for (auto const &relay : relays)
        fleet.kill(fleet.find(relay));
    fleet.run(3s, BusyChanges);
    fleet.run(1s, 0);
    EXPECT_EQ(wrongLoads(fleet), 0U);
    auto const after = fleet.instances().back().peers->relays();
    EXPECT_EQ(after.size(), 2U);
    EXPECT_NE(after, relays);
}

/// Guards against requests that are placed by outdated load until the death of the first relay is detected, which takes two seconds.
TEST(PeerExchangeTest, TheSecondRelaySendsSummariesSoonAfterTheFirstFallsSilent)
{
    ExchangeSimulation fleet({.instances = 150});
    fleet.run(6s, BusyChanges);
    auto &last = fleet.instances().back();
    auto const relays = last.peers->relays();
    std::size_t receivers = 0;
    for (auto const &relay : relays)
        receivers += fleet.find(relay).peers->summaryReceivers().size();
    EXPECT_EQ(receivers, 28U) << "each other instance of the data centre receives the summaries of one relay";
    fleet.kill(fleet.find(relays.front()));
    fleet.run(600ms, BusyChanges);
    EXPECT_EQ(last.peers->relays(), relays) << "the death is not detected yet";
    auto const before = *last.peers->lastSummaryAt();
    fleet.run(100ms, BusyChanges);
    EXPECT_GT(*last.peers->lastSummaryAt(), before);
}

/// The runners are split into two halves while entries reach all of them (core_cut). Guards against two halves that each own all jobs and
/// do not know of each other.
TEST(PeerExchangeTest, RunnersOfTwoHalvesStillCountAsAlive)
{
    ExchangeSimulation fleet({.instances = 150});
    fleet.run(3s, BusyChanges);
    auto const before = fleet.instances().front().peers->runners();
    fleet.setCut([](auto const &from, auto const &to) {
        auto const half = [](auto const &instance) { return instance.dataCentre < DataCentreId("dc2"); };
        bool const areRunners = from.role == InstanceRole::Runner && to.role == InstanceRole::Runner;
        return areRunners && half(from) != half(to);
    });
    fleet.run(6s, BusyChanges);
    for (auto const &instance : fleet.instances())
        ASSERT_EQ(instance.peers->runners(), before) << instance.id.value();
}

namespace {

/// Ids of instances of a role that count a runner among those that may own jobs.
std::vector<InstanceId> instancesThatCount(ExchangeSimulation const &fleet, InstanceId const &runner, InstanceRole role)
{
    std::vector<InstanceId> ids;
    for (auto const &instance : fleet.instances()) {
        auto const &runners = instance.peers->runners();
        if (instance.isAlive && instance.role == role && std::find(runners.begin(), runners.end(), runner) != runners.end())
            ids.push_back(instance.id);
    }
    return ids;
}

/// Checks for ten seconds that no instance counts the runner: runners from the start on, and entries, which receive no reports of runners
/// elsewhere, after the time in which views may differ.
void expectNoneCounts(ExchangeSimulation &fleet, InstanceId const &runner)
{
    constexpr auto Step = 100ms;
    for (Duration elapsed = 0s; elapsed < 10s; elapsed += Step) {
        auto const text = std::to_string(fleet.instances().size()) + " instances, after " + std::to_string(elapsed / 1ms) + " ms";
        ASSERT_THAT(instancesThatCount(fleet, runner, InstanceRole::Runner), testing::IsEmpty()) << text;
        if (elapsed >= PeerTableOptions{}.unsettledTime) {
            ASSERT_THAT(instancesThatCount(fleet, runner, InstanceRole::Entry), testing::IsEmpty()) << text;
        }
        fleet.run(Step, BusyChanges);
    }
}

/// The runner that started first. Its peers sent it, and received from it, the reports of a fleet that seemed small.
ExchangeSimulation::Instance &firstRunner(ExchangeSimulation &fleet)
{
    auto &instances = fleet.instances();
    return *std::min_element(instances.begin(), instances.end(), [](auto const &left, auto const &right) {
        bool const isLeftEntry = left.role == InstanceRole::Entry;
        bool const isRightEntry = right.role == InstanceRole::Entry;
        return std::tie(isLeftEntry, left.startsAt) < std::tie(isRightEntry, right.startsAt);
    });
}

} // namespace

/// A runner retires and its process ends. Guards against observations of others that make it the owner of its jobs again once its last
/// report has timed out, so that no process runs their items.
TEST(PeerExchangeTest, ARunnerThatRetiredOwnsNoJobs)
{
    for (std::size_t const size : {12, 83, 295}) {
        ExchangeSimulation fleet({.instances = size});
        fleet.run(6s, BusyChanges);
        auto &runner = firstRunner(fleet);
        fleet.beginStop(runner);
        fleet.run(1s, BusyChanges);
        fleet.kill(runner);
        expectNoneCounts(fleet, runner.id);
    }
}

/// A runner's process is lost for good. Guards against observations of others that count it as the owner of jobs for ever.
TEST(PeerExchangeTest, ARunnerThatWasLostOwnsNoJobs)
{
    for (std::size_t const size : {12, 83, 295}) {
        ExchangeSimulation fleet({.instances = size});
        fleet.run(6s, BusyChanges);
        auto &runner = firstRunner(fleet);
        fleet.kill(runner);
        fleet.run(PeerTableOptions{}.unsettledTime, BusyChanges);
        expectNoneCounts(fleet, runner.id);
    }
}

/// A runner retires or is stopped and starts again. Guards against entries of other data centres that count it no more, because they know
/// its new process only from observations of others, and ask other runners for its jobs.
TEST(PeerExchangeTest, ARunnerThatStartsAgainIsCountedByAll)
{
    for (std::size_t const size : {12, 26, 83, 295}) {
        ExchangeSimulation fleet({.instances = size});
        fleet.run(6s, BusyChanges);
        auto &runner = firstRunner(fleet);
        fleet.beginStop(runner);
        fleet.run(1s, BusyChanges);
        fleet.restart(runner);
        fleet.run(PeerTableOptions{}.unsettledTime, BusyChanges);
        for (auto const &instance : fleet.instances()) {
            auto const &runners = instance.peers->runners();
            ASSERT_THAT(runners, testing::Contains(runner.id)) << instance.id.value() << " of " << size;
        }
    }
}

/// Guards against runners that start at the same moment and all run the same jobs, as each takes itself for the only one.
TEST(PeerExchangeTest, RunnersThatStartTogetherAgreeBeforeTheySendItems)
{
    constexpr std::uint64_t Seeds = 40;
    constexpr int Ticks = 20;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        ExchangeSimulation fleet({.instances = 6, .dataCentres = 1, .instancesPerRunner = 2, .seed = seed});
        std::map<InstanceId, std::vector<InstanceId>> runnersAtFirstSend;
        for (int tick = 0; tick < Ticks; ++tick) {
            fleet.run(50ms, 0);
            for (auto const &instance : fleet.instances()) {
                if (instance.role == InstanceRole::Runner && instance.exchange && instance.exchange->areRunnersKnown(fleet.now()))
                    runnersAtFirstSend.try_emplace(instance.id, instance.peers->runners());
            }
        }
        for (auto const &[runner, runners] : runnersAtFirstSend)
            EXPECT_EQ(runners.size(), 3U) << runner.value() << ", seed " << seed;
        EXPECT_EQ(runnersAtFirstSend.size(), 3U) << "seed " << seed;
    }
}

/// The store may lose the responses to all watches at once. Guards against a fleet without a short watch, and against one in which each
/// instance pays for one.
TEST(PeerExchangeTest, OneInstanceOfADataCentreHoldsItsWatchesForAShortTime)
{
    ExchangeSimulation fleet({.instances = 100});
    fleet.run(1500ms, BusyChanges);
    std::map<DataCentreId, std::size_t> shortHolds;
    for (auto const &instance : fleet.instances())
        shortHolds[instance.dataCentre] += instance.exchange->watchHold() == WatchHold::Short ? 1 : 0;
    for (auto const &[dataCentre, count] : shortHolds)
        EXPECT_EQ(count, 1U) << dataCentre.value();
}

/// Only relays and instances without a relay watch the store, since each watcher costs calls. On coldline-kr-large trouble-3
/// (platform_down) all 295 instances tried to watch a store that was away for all, and listed it when it returned.
TEST(PeerExchangeTest, FewInstancesOfALargeFleetWatchTheStore)
{
    ExchangeSimulation fleet({.instances = 300});
    fleet.run(1500ms, BusyChanges);
    auto const now = Instant(std::chrono::hours(1)) + 1500ms;
    std::size_t watchers = 0;
    for (auto &instance : fleet.instances())
        watchers += instance.exchange->changeSource(now) == ChangeSource::Store ? 1 : 0;
    EXPECT_EQ(watchers, 10U) << "two relays in each of five data centres";
    fleet.setLostStore([](auto const &) { return true; });
    for (auto &instance : fleet.instances())
        static_cast<void>(instance.exchange->changeSource(now));
    fleet.run(1500ms, BusyChanges);
    watchers = 0;
    for (auto &instance : fleet.instances())
        watchers += instance.exchange->changeSource(now + 1500ms) == ChangeSource::Store ? 1 : 0;
    EXPECT_EQ(watchers, 10U) << "an outage for all does not make others try";
    auto const cutOff = fleet.instances().front().dataCentre;
    fleet.setLostStore([&](auto const &instance) { return instance.dataCentre == cutOff; });
    fleet.run(1500ms, BusyChanges);
    for (auto &instance : fleet.instances()) {
        bool const isStore = instance.exchange->changeSource(now + 3s) == ChangeSource::Store;
        EXPECT_TRUE(isStore || instance.dataCentre != cutOff) << "others reach the store";
    }
    ExchangeSimulation small({.instances = 20});
    small.run(1500ms, BusyChanges);
    for (auto &instance : small.instances())
        EXPECT_EQ(instance.exchange->changeSource(now), ChangeSource::Store);
}

namespace {

PromptPartId const crashingPart(7);

/// Lets the first entries of a fleet lose one server each to prompts with the part.
void loseServers(ExchangeSimulation &fleet)
{
    std::size_t lost = 0;
    for (auto &instance : fleet.instances()) {
        if (instance.role == InstanceRole::Entry && lost < PromptQuarantineOptions{}.serversToQuarantine)
            instance.prompts.onLost({.id = ServerId("lost-" + std::to_string(lost++))}, std::array{crashingPart}, fleet.wallTime());
    }
}

std::size_t instancesThatSend(ExchangeSimulation &fleet)
{
    std::size_t count = 0;
    for (auto const &instance : fleet.instances())
        count += instance.isAlive && !instance.prompts.find(std::array{crashingPart}, fleet.wallTime()) ? 1 : 0;
    return count;
}

/// Load changes a second of each entry while the messages about load are few.
constexpr double CalmChanges = 0.5;
/// Time in which the limits of hundreds of servers have reached all instances.
constexpr Duration SpreadTime = 6s;

/// Number of live instances that know this limit of the server; 0 for none.
std::size_t instancesThatKnow(ExchangeSimulation const &fleet, ServerProcess const &server, double rate)
{
    std::size_t count = 0;
    for (auto const &instance : fleet.instances())
        count += instance.isAlive && instance.limits.find(server).value_or(RequestRate(0)) == RequestRate(rate) ? 1 : 0;
    return count;
}

/// Lets one instance receive a response that states the limit; 0 for none.
void stateLimit(ExchangeSimulation &fleet, ServerProcess const &server, double rate, std::size_t instance)
{
    using Kind = StatedLimit::Kind;
    StatedLimit const stated{.kind = rate > 0 ? Kind::Limited : Kind::Unlimited, .rate = RequestRate(rate)};
    fleet.instances()[instance].limits.onResponse(server, stated, fleet.now(), fleet.now());
}

} // namespace

/// A prompt that crashes servers comes to other entries than the ones that lost servers to it. Guards against instances that do not know of
/// it within the time in which peers are considered reached, in a small and a large fleet, also if datagrams are lost.
TEST(PeerExchangeTest, EvidenceOfCrashingPromptsReachesAllInstances)
{
    for (std::size_t const size : {12, 83, 295}) {
        ExchangeSimulation fleet({.instances = size, .lossShare = 0.05});
        fleet.run(3s, BusyChanges);
        loseServers(fleet);
        EXPECT_EQ(instancesThatSend(fleet), size);
        fleet.run(2500ms, BusyChanges);
        EXPECT_EQ(instancesThatSend(fleet), 0U) << size;
    }
}

/// Guards against instances that forget the evidence with a restart, or never receive it because they were unreachable when it was new.
TEST(PeerExchangeTest, EvidenceOfCrashingPromptsReachesInstancesThatMissedIt)
{
    for (std::size_t const size : {12, 83}) {
        ExchangeSimulation fleet({.instances = size});
        fleet.run(3s, BusyChanges);
        auto &unreachable = fleet.instances()[size - 1];
        auto &restarted = fleet.instances()[size - 2];
        fleet.setCut([&](auto const &, auto const &to) { return &to == &unreachable; });
        loseServers(fleet);
        fleet.run(2500ms, BusyChanges);
        EXPECT_EQ(instancesThatSend(fleet), 1U) << size;
        fleet.setCut(nullptr);
        fleet.restart(restarted);
        fleet.run(2500ms, BusyChanges);
        EXPECT_EQ(instancesThatSend(fleet), 0U) << size;
    }
}

/// A server states a limit to one instance, changes it and ends it. Guards against instances that do not know of it within the time in
/// which peers are considered reached, in a small and a large fleet, also if datagrams are lost or instances start again.
TEST(PeerExchangeTest, LimitsOfServersReachAllInstances)
{
    ServerProcess const server{.id = ServerId("limited"), .startedAt = 10};
    for (std::size_t const size : {12, 83, 300}) {
        ExchangeSimulation fleet({.instances = size, .lossShare = 0.05});
        fleet.run(2s, CalmChanges);
        std::size_t stating = 0;
        for (double const rate : {2.5, 4.0, 0.0}) {
            stateLimit(fleet, server, rate, stating);
            fleet.run(2500ms, CalmChanges);
            EXPECT_EQ(instancesThatKnow(fleet, server, rate), size) << size << " instances, " << rate;
            // The instance that states the next one has it from others.
            stating = size - 1;
            if (rate == 2.5) {
                fleet.restart(fleet.instances()[size - 1]);
                fleet.run(2500ms, CalmChanges);
                EXPECT_EQ(instancesThatKnow(fleet, server, rate), size) << size << " instances, after a start";
            }
        }
    }
}

/// Hundreds of servers have limits in a large fleet for a while. Guards against news that grows with the square of the fleet.
TEST(PeerExchangeTest, MessagesWithLimitsStayFewInALargeFleet)
{
    auto const receivedIn = [](double rate) {
        ExchangeSimulation fleet({.instances = 300});
        fleet.run(2s, CalmChanges);
        for (int number = 0; rate > 0 && number < 600; ++number)
            stateLimit(fleet, {.id = ServerId("limited-" + std::to_string(number))}, rate, static_cast<std::size_t>(number) % 300);
        fleet.run(SpreadTime, CalmChanges);
        std::uint64_t before = 0;
        for (auto const &instance : fleet.instances())
            before += instance.received;
        fleet.run(2s, CalmChanges);
        std::uint64_t after = 0;
        for (auto const &instance : fleet.instances())
            after += instance.received;
        return static_cast<double>(after - before) / 2 / 300;
    };
    auto const without = receivedIn(0);
    auto const with = receivedIn(2.5);
    RecordProperty("messages_a_second_without", std::to_string(without));
    RecordProperty("messages_a_second_with", std::to_string(with));
    EXPECT_LE(with - without, 10) << "messages a second and instance";
}
