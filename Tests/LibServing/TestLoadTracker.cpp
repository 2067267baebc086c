#include "LibServing/LoadTracker.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
ServerId const server("s");

} // namespace

/// Guards against a server that fails each request within a millisecond and gets most requests of all instances, as it has the fewest in
/// flight.
TEST(LoadTrackerTest, AFailedRequestCountsAsInFlightForAWhile)
{
    LoadTracker load;
    load.onStarted(server, WorkClass::Online);
    load.onFailed(server, WorkClass::Online, Start + 2s);
    load.onFinished(server, WorkClass::Online);
    EXPECT_EQ(load.at(server).online, 1U);
    load.onTick(Start + 1s);
    EXPECT_EQ(load.at(server).online, 1U);
    auto const changes = load.changes();
    load.onTick(Start + 2s);
    EXPECT_EQ(load.at(server).online, 0U);
    EXPECT_GT(load.changes(), changes) << "the change is reported to peers";
    EXPECT_TRUE(load.all().empty());
}

/// Guards against a count that stays forever, or falls below that of the requests in flight.
TEST(LoadTrackerTest, FailedRequestsOfDifferentServersEndByThemselves)
{
    LoadTracker load;
    load.onStarted(server, WorkClass::Online);
    for (int number = 1; number <= 3; ++number)
        load.onFailed(ServerId("f" + std::to_string(number)), WorkClass::Online, Start + number * 1s);
    load.onTick(Start + 2s);
    EXPECT_EQ(load.all().size(), 2U);
    load.onTick(Start + 3s);
    EXPECT_EQ(load.all().size(), 1U);
    EXPECT_EQ(load.at(server).online, 1U);
}
