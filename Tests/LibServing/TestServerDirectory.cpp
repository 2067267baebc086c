#include "LibServing/ServerDirectory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};

ServerRecord recordOf(std::string id, ServerRecord::State state = ServerRecord::State::Ready, std::int64_t startedAt = 1)
{
    return {
        .id = ServerId(id), .pool = PoolName("p"), .address = Address("127.0.0.1:1"), .slots = 8, .state = state, .startedAt = startedAt};
}

std::string useOf(ServerDirectory const &directory, std::string const &id, Instant now)
{
    auto const server = directory.find(ServerId(id), now);
    if (!server)
        return "none";
    return server->use == ServerUse::Usable ? "usable" : "last resort";
}

} // namespace

/// Guards against a draining server that stays usable.
TEST(ServerDirectoryTest, ADrainingServerIsALastResortForOneSecond)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    EXPECT_EQ(useOf(directory, "a", Start), "usable");
    directory.onRegistered(recordOf("a", ServerRecord::State::Draining), Start + 1s);
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "last resort");
    EXPECT_EQ(useOf(directory, "a", Start + 2s), "none");
    // A repeated draining registration does not extend the time.
    directory.onRegistered(recordOf("a", ServerRecord::State::Draining), Start + 1900ms);
    EXPECT_EQ(useOf(directory, "a", Start + 2s), "none");
}

TEST(ServerDirectoryTest, AnUnregisteredServerIsALastResortForOneSecond)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    directory.onUnregistered(ServerId("a"), Start);
    EXPECT_EQ(useOf(directory, "a", Start + 999ms), "last resort");
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "none");
}

/// A server states in its responses that it is leaving while the registry still shows it as ready, or shows it so again after an outage.
/// Guards against sending it requests until the registry catches up.
TEST(ServerDirectoryTest, AServerThatStatesThatItLeavesIsNotUsedWhateverItsRegistrationSays)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    EXPECT_TRUE(directory.onLeavingStated(recordOf("a"), Start));
    EXPECT_EQ(useOf(directory, "a", Start), "last resort");
    EXPECT_FALSE(directory.onLeavingStated(recordOf("a"), Start + 500ms)) << "a repeated statement does not extend the time";
    directory.onRegistered(recordOf("a"), Start + 900ms);
    EXPECT_EQ(useOf(directory, "a", Start + 900ms), "last resort");
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "none");
    directory.onUnregistered(ServerId("a"), Start + 2s);
    directory.onListed({recordOf("a")}, Start + 3s);
    EXPECT_EQ(useOf(directory, "a", Start + 3s), "none");
}

/// Guards against a lapse in an outage that keeps a leaving server usable.
TEST(ServerDirectoryTest, AServerWithALapsedRegistrationThatStatesThatItLeavesIsNotUsed)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    directory.onRegistryReturned(Start);
    directory.onListed({}, Start);
    EXPECT_TRUE(directory.onLeavingStated(recordOf("a"), Start));
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "none");
}

/// A server restarts under its id. Guards against excluding the new process for what the old one stated, also when that arrives late.
TEST(ServerDirectoryTest, AStatementToLeaveHoldsForItsProcessOnly)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    EXPECT_TRUE(directory.onLeavingStated(recordOf("a"), Start));
    directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start + 2s);
    EXPECT_EQ(useOf(directory, "a", Start + 2s), "usable");
    EXPECT_FALSE(directory.onLeavingStated(recordOf("a"), Start + 3s));
    EXPECT_EQ(useOf(directory, "a", Start + 5s), "usable");
}

/// A record may come from another writer and lack the start time, or come from a list that is older than the process. Guards against taking
/// such a record for a new process, which would make the server that stated that it is leaving usable again.
TEST(ServerDirectoryTest, AStatementToLeaveOutlastsARecordWithAnOlderStartTime)
{
    for (std::int64_t const olderStart : {0, 1}) {
        SCOPED_TRACE(olderStart);
        ServerDirectory directory({});
        directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start);
        EXPECT_TRUE(directory.onLeavingStated(recordOf("a", ServerRecord::State::Ready, 2), Start));
        directory.onRegistered(recordOf("a", ServerRecord::State::Ready, olderStart), Start + 2s);
        EXPECT_EQ(useOf(directory, "a", Start + 2s), "none");
        directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start + 3s);
        EXPECT_EQ(useOf(directory, "a", Start + 3s), "none");
        directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 3), Start + 4s);
        EXPECT_EQ(useOf(directory, "a", Start + 4s), "usable");
    }
}

/// Guards against ignoring a statement because a record of another writer, or an older one, arrived while the request ran.
TEST(ServerDirectoryTest, AStatementToLeaveCountsAlthoughTheRecordHasAnOlderStartTimeSince)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start);
    directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 0), Start);
    EXPECT_TRUE(directory.onLeavingStated(recordOf("a", ServerRecord::State::Ready, 2), Start));
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "none");
    directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start + 2s);
    EXPECT_EQ(useOf(directory, "a", Start + 2s), "none");
}

/// Guards against treating registrations that lapsed in an outage as departures.
TEST(ServerDirectoryTest, RegistrationsLapsedInAnOutageStayUsableForTheReregistrationTime)
{
    ServerDirectory directory({});
    directory.onListed({recordOf("a"), recordOf("b")}, Start);
    directory.onRegistryReturned(Start + 10s);
    directory.onListed({}, Start + 10s);
    EXPECT_EQ(useOf(directory, "a", Start + 11900ms), "usable");
    directory.onRegistered(recordOf("a"), Start + 11900ms);
    EXPECT_EQ(useOf(directory, "a", Start + 20s), "usable");
    EXPECT_EQ(useOf(directory, "b", Start + 12s), "none");
}

TEST(ServerDirectoryTest, AnOutageGivesADrainingServerNoMoreTime)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a", ServerRecord::State::Draining), Start);
    directory.onRegistryReturned(Start + 500ms);
    directory.onListed({}, Start + 500ms);
    EXPECT_EQ(useOf(directory, "a", Start + 1s), "none");
}

TEST(ServerDirectoryTest, ADrainedServerIsUsableAgainAfterItsRestart)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a", ServerRecord::State::Draining, 1), Start);
    directory.onRegistered(recordOf("a", ServerRecord::State::Ready, 2), Start + 5s);
    EXPECT_EQ(useOf(directory, "a", Start + 5s), "usable");
    directory.onRegistered(recordOf("a", ServerRecord::State::Draining, 2), Start + 6s);
    EXPECT_EQ(useOf(directory, "a", Start + 6500ms), "last resort");
}

TEST(ServerDirectoryTest, NextChangeIsTheEndOfTheLastResortTime)
{
    ServerDirectory directory({});
    directory.onRegistered(recordOf("a"), Start);
    EXPECT_FALSE(directory.nextChange(Start));
    directory.onUnregistered(ServerId("a"), Start);
    EXPECT_EQ(directory.nextChange(Start), Start + 1s);
}

/// For any order of events, a server is not used beyond its last-resort time after it left, unless it has registered as ready
/// since.
RC_GTEST_PROP(ServerDirectoryProperty, ADepartedServerIsNotUsedAfterItsLastResortTime, ())
{
    ServerDirectory directory({});
    auto now = Start;
    auto leftAt = Instant::max();
    auto graceUntil = Instant::min();
    bool isRegistered = false;
    // The registration lapsed in an outage. This is not a departure if the server registers again.
    bool isLapsed = false;
    auto const leave = [&] {
        if (!isRegistered)
            return;
        isLapsed = isLapsed || (leftAt == Instant::max() && now < graceUntil);
        leftAt = std::min(leftAt, now);
    };
    auto const steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (auto const step : steps) {
        now += *rc::gen::inRange(0, 1500) * 1ms;
        switch (step) {
        case 0:
            directory.onRegistered(recordOf("a"), now);
            isRegistered = true;
            leftAt = Instant::max();
            isLapsed = false;
            break;
        case 1:
            if (!isRegistered)
                break;
            directory.onRegistered(recordOf("a", ServerRecord::State::Draining), now);
            leftAt = std::exchange(isLapsed, false) && now < graceUntil ? now : std::min(leftAt, now);
            break;
        case 2:
            directory.onUnregistered(ServerId("a"), now);
            leave();
            break;
        case 3:
            directory.onListed({}, now);
            leave();
            break;
        case 4:
            directory.onRegistryReturned(now);
            graceUntil = now + 2s;
            break;
        default:
            break;
        }
        // The longest time for which a departed server stays usable is the reregistration time after an outage.
        if (leftAt != Instant::max() && now - leftAt >= 2s)
            RC_ASSERT(useOf(directory, "a", now) == "none");
        if (isRegistered && leftAt == Instant::max())
            RC_ASSERT(useOf(directory, "a", now) == "usable");
    }
}
