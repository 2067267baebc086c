#include "LibServing/ReturnSchedule.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

Instant const start(1h);

} // namespace

/// Many callers are refused at once. Guards against sending all of them back at the same time.
TEST(ReturnScheduleTest, RefusedCallersReturnAtTheRateAtWhichTheyAreTaken)
{
    ReturnSchedule schedule;
    for (int number = 0; number < 8; ++number)
        EXPECT_EQ(schedule.next(Urgency::Highest, 200ms, RequestRate(2), start), 200ms + number * 500ms);
    EXPECT_EQ(schedule.next(Urgency::Highest, 200ms, RequestRate(2), start + 1h), 200ms) << "all have returned";
}

/// Callers of several urgencies are refused. Guards against less urgent ones that return first.
TEST(ReturnScheduleTest, MoreUrgentCallersReturnFirst)
{
    ReturnSchedule schedule;
    for (int number = 0; number < 4; ++number)
        schedule.next(Urgency::Normal, 100ms, RequestRate(4), start);
    EXPECT_EQ(schedule.next(Urgency::Highest, 100ms, RequestRate(4), start), 100ms);
    EXPECT_EQ(schedule.next(Urgency::Normal, 100ms, RequestRate(4), start), 100ms + 5 * 250ms);
}

/// Servers take nearly nothing for a long time. Guards against delays without bound and against intervals that do not fit their type.
TEST(ReturnScheduleTest, DelaysAreBounded)
{
    ReturnSchedule schedule(5s);
    for (int number = 0; number < 100; ++number)
        EXPECT_LE(schedule.next(Urgency::High, 100ms, RequestRate(1e-12), start), 5s);
    EXPECT_EQ(schedule.next(Urgency::High, 100ms, RequestRate(1e-12), start + 6s), 100ms);
}
