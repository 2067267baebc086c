#include "LibServing/ReportSchedule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
DataCentreId const here("here");
DataCentreId const there("there");

InstanceId peerNamed(std::size_t number)
{
    return InstanceId("p" + std::to_string(number));
}

/// Returns a schedule that has sent each of its peers one report. The first `near` peers are in its data centre; every fifth peer is a
/// runner.
ReportSchedule scheduleOf(std::size_t near, std::size_t far, InstanceRole ownRole = InstanceRole::Entry)
{
    ReportSchedule schedule({.self = InstanceId("self"), .ownRole = ownRole, .ownDataCentre = here});
    for (std::size_t number = 0; number < near + far; ++number) {
        auto const role = number % 5 == 0 ? InstanceRole::Runner : InstanceRole::Entry;
        schedule.add(peerNamed(number));
        schedule.setRoleAndDataCentre(peerNamed(number), role, number < near ? here : there);
    }
    static_cast<void>(schedule.takeDue(0, Start));
    return schedule;
}

std::size_t countOf(std::vector<ReportSchedule::ReportGroup> const &groups)
{
    std::size_t count = 0;
    for (auto const &group : groups)
        count += group.peers.size();
    return count;
}

/// Number of reports sent within a second in which the load changes every 8 ms.
std::size_t reportsInABusySecond(ReportSchedule schedule)
{
    std::size_t count = 0;
    for (auto now = Start; now < Start + 1s; now += 8ms)
        count += countOf(schedule.takeDue(static_cast<std::uint64_t>((now - Start) / 8ms) + 1, now));
    return count;
}

} // namespace

TEST(ReportScheduleTest, ASmallFleetReceivesEachChangeAtOnce)
{
    auto schedule = scheduleOf(4, 8);
    EXPECT_EQ(countOf(schedule.takeDue(0, Start + 8ms)), 0U);
    EXPECT_EQ(countOf(schedule.takeDue(1, Start + 8ms)), 12U);
    EXPECT_EQ(schedule.nearLoadAge(), Duration::zero());
    EXPECT_EQ(schedule.farLoadAge(), Duration::zero());
}

/// If each change were reported in a large fleet, the number of reports sent and received would grow with the square of its size.
TEST(ReportScheduleTest, ALargeFleetReceivesReportsAtABoundedRate)
{
    // At most 20 reports per second to each of the 28 near peers and one to each of the others.
    EXPECT_LE(reportsInABusySecond(scheduleOf(28, 55)), 28U * 20 + 55);
    EXPECT_LE(reportsInABusySecond(scheduleOf(28, 332)), 28U * 20 + 332);
    EXPECT_GT(scheduleOf(28, 55).nearLoadAge(), Duration::zero());
    EXPECT_GT(scheduleOf(28, 55).farLoadAge(), scheduleOf(28, 55).nearLoadAge());
}

/// A report sent later than announced would make peers consider the node dead.
TEST(ReportScheduleTest, EachPeerReceivesAReportWithinTheAnnouncedInterval)
{
    for (auto const role : {InstanceRole::Entry, InstanceRole::Runner}) {
        auto schedule = scheduleOf(28, 55, role);
        schedule.setRelays({peerNamed(5), peerNamed(10)});
        schedule.setLiveRunners({peerNamed(30), peerNamed(35), peerNamed(40)});
        std::map<InstanceId, Instant> until;
        for (auto now = Start; now < Start + 10s; now += 50ms) {
            for (auto const &group : schedule.takeDue(0, now)) {
                for (auto const &peer : group.peers) {
                    EXPECT_TRUE(now < Start + 1050ms || until.contains(peer)) << "every receiver gets its first report early";
                    bool const isLate = until.contains(peer) && now > until.at(peer);
                    EXPECT_FALSE(isLate) << peer.value();
                    until[peer] = now + group.nextWithin + 50ms;
                }
            }
            for (auto const &[peer, latest] : until)
                ASSERT_LE(now, latest) << peer.value();
        }
        EXPECT_GE(until.size(), 6U) << "at least the runners of the data centre";
    }
}

/// The loss of a runner moves its jobs. All runners and the entries of its data centre have to detect it within two seconds, which is
/// four missed reports. Entries elsewhere detect it through the runners of their own data centre.
TEST(ReportScheduleTest, AllRunnersAndNearEntriesReceiveARunnersReportsTwiceASecond)
{
    auto schedule = scheduleOf(28, 55, InstanceRole::Runner);
    std::set<InstanceId> receivers;
    for (auto const &group : schedule.takeDue(0, Start + 500ms)) {
        EXPECT_LE(group.nextWithin, 500ms);
        receivers.insert(group.peers.begin(), group.peers.end());
    }
    for (std::size_t number = 0; number < 83; ++number) {
        bool const isRunner = number % 5 == 0;
        EXPECT_EQ(receivers.contains(peerNamed(number)), isRunner || number < 28) << number;
    }
}

/// Load changes hundreds of times a second. Guards against sending each change to all instances, and against relays that receive it too
/// late to place the next request by it.
TEST(ReportScheduleTest, InALargeFleetLoadChangesGoToTheRelaysOnly)
{
    auto schedule = scheduleOf(28, 55);
    schedule.setRelays({peerNamed(5), peerNamed(10)});
    EXPECT_EQ(schedule.takeDue(0, Start + 1s).front().extent, ReportExtent::Full);
    auto const groups = schedule.takeDue(1, Start + 1020ms);
    ASSERT_EQ(groups.size(), 1U);
    EXPECT_EQ(groups.front().peers, (std::vector{peerNamed(10), peerNamed(5)}));
    EXPECT_TRUE(groups.front().wantsSummaries);
    EXPECT_EQ(groups.front().extent, ReportExtent::LoadOnly) << "the relays just received the rest";
    auto const later = schedule.takeDue(2, Start + 2s);
    EXPECT_TRUE(std::any_of(later.begin(), later.end(), [](auto const &group) {
        return group.extent == ReportExtent::Full && group.peers == std::vector{peerNamed(10), peerNamed(5)};
    }));
    schedule.setSummarySources(SummarySources::FirstRelay);
    for (auto const &group : schedule.takeDue(3, Start + 2020ms))
        EXPECT_EQ(group.wantsSummaries, group.peers == std::vector{peerNamed(5)});
}

/// Runners of two halves of a split no longer receive each other's reports. The links between entries and runners of different data
/// centres have to show them that the others are alive.
TEST(ReportScheduleTest, EntriesReportToRunnersOfEachOtherDataCentre)
{
    auto schedule = scheduleOf(28, 55);
    schedule.setLiveRunners({peerNamed(5), peerNamed(30), peerNamed(35), peerNamed(40)});
    std::size_t linked = 0;
    for (auto const &group : schedule.takeDue(0, Start + 1s)) {
        for (auto const &peer : group.peers) {
            bool const isFar = peer == peerNamed(30) || peer == peerNamed(35) || peer == peerNamed(40);
            linked += isFar ? 1 : 0;
            EXPECT_TRUE(!isFar || group.extent == ReportExtent::WithoutLoad);
        }
    }
    EXPECT_EQ(linked, 2U);
    auto runner = scheduleOf(28, 55, InstanceRole::Runner);
    runner.onReported(peerNamed(41), Start);
    bool isAnswered = false;
    for (auto const &group : runner.takeDue(0, Start + 1s))
        isAnswered = isAnswered || std::find(group.peers.begin(), group.peers.end(), peerNamed(41)) != group.peers.end();
    EXPECT_TRUE(isAnswered) << "the entry has to detect that the runner is alive";
}

/// An instance that started early knows only a few others, since later ones do not announce themselves to instances that they send no
/// reports to. Guards against half of a fleet treating it as small and the other half as large.
TEST(ReportScheduleTest, TheFleetIsLargeIfAPeerKnowsManyInstances)
{
    auto schedule = scheduleOf(2, 4);
    EXPECT_TRUE(schedule.isSmallFleet());
    schedule.setKnownInstances(26);
    EXPECT_FALSE(schedule.isSmallFleet());
    EXPECT_EQ(countOf(schedule.takeDue(0, Start + 1s)), 6U) << "near the limit, each peer has to learn of the size";
}

TEST(ReportScheduleTest, ANewPeerReceivesAReportAtOnceWithoutTheOthers)
{
    auto schedule = scheduleOf(28, 55);
    schedule.add(InstanceId("new"));
    auto const groups = schedule.takeDue(0, Start + 10ms);
    ASSERT_EQ(groups.size(), 1U);
    EXPECT_EQ(groups.front().peers, std::vector{InstanceId("new")});
    schedule.scheduleNow(peerNamed(5));
    EXPECT_EQ(countOf(schedule.takeDue(0, Start + 20ms)), 1U);
    schedule.scheduleAllNow();
    EXPECT_EQ(countOf(schedule.takeDue(0, Start + 30ms)), 7U) << "the runners of the data centre and the new peer";
}
