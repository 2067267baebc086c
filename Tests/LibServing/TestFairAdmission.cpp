#include "LibServing/FairAdmission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
using Outcome = FairAdmissionVerdict::Outcome;

/// Sends requests one at a time, 10 ms apart.
class FairAdmissionTest : public ::testing::Test
{
protected:
    FairAdmissionVerdict decide(std::string const &customer, Duration wait, Urgency urgency = Urgency::Highest)
    {
        now_ += 10ms;
        return admission_.decide(
            {.customer = CustomerId(customer), .urgency = urgency, .shortestWait = wait, .latencyTarget = 300ms}, now_, random_);
    }

    FairAdmission admission_;
    RandomSource random_{1};
    Instant now_ = Start;
};

} // namespace

/// Guards deployments without customers against any change.
RC_GTEST_PROP(FairAdmissionProperty, WithoutCustomersItDecidesAsAdmit, ())
{
    FairAdmission admission;
    RandomSource random(1);
    auto now = Start;
    for (auto const milliseconds : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
        now += 10ms;
        Duration const wait = std::chrono::milliseconds(milliseconds);
        auto const urgency = static_cast<Urgency>(milliseconds % static_cast<int>(UrgencyCount));
        auto const verdict = admission.decide(
            {.urgency = urgency, .shortestWait = wait, .latencyTarget = 300ms, .occupancy = 1.5, .meanRun = 300ms}, now, random);
        // One slot that is occupied with a mean run of the wait.
        std::vector<ServerLoad> const servers{{.slots = 1, .online = 1}};
        auto const old = admit(servers, wait, 300ms, {});
        RC_ASSERT((verdict.outcome == Outcome::Admitted) == old.isAdmitted);
        RC_ASSERT(verdict.retryAfter == old.retryAfter);
        RC_ASSERT(random == RandomSource(1));
    }
}

/// Guards customers that send equally often against refusals that admit() does not make.
RC_GTEST_PROP(FairAdmissionProperty, EqualCustomersOfOneUrgencyAreAdmittedAsByAdmit, ())
{
    FairAdmission admission;
    RandomSource random(1);
    auto now = Start;
    int next = 0;
    for (auto const milliseconds : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500))) {
        now += 10ms;
        Duration const wait = std::chrono::milliseconds(milliseconds);
        auto const verdict = admission.decide({.customer = CustomerId(std::to_string(++next % 5)),
                                               .urgency = Urgency::Normal,
                                               .shortestWait = wait,
                                               .latencyTarget = 300ms,
                                               .occupancy = 1.5,
                                               .meanRun = 300ms},
                                              now,
                                              random);
        RC_ASSERT((verdict.outcome == Outcome::Admitted) == (wait <= 210ms));
    }
}

TEST_F(FairAdmissionTest, NothingIsRefusedWhileSlotsAreFree)
{
    decide("other", 0ms);
    for (int request = 0; request < 500; ++request)
        ASSERT_EQ(decide("large", 0ms, Urgency::Normal).outcome, Outcome::Admitted);
}

/// The shortest wait is 0 as long as one server has a free slot, while requests at others wait.
TEST_F(FairAdmissionTest, OccupancyShowsShortageBeforeTheShortestWait)
{
    for (int other = 0; other < 10; ++other)
        decide("small-" + std::to_string(other), 0ms);
    auto const fractionAt = [this](double occupancy) {
        now_ += 10ms;
        FairAdmissionRequest const request{
            .customer = CustomerId("large"), .latencyTarget = 300ms, .occupancy = occupancy, .meanRun = 1500ms};
        return admission_.decide(request, now_, random_).admittedFraction;
    };
    for (int request = 0; request < 100; ++request)
        EXPECT_EQ(fractionAt(1.05), 1);
    EXPECT_LT(fractionAt(1.12), 1);
}

TEST_F(FairAdmissionTest, ACustomerOverItsSharePaysForItsExcessFirst)
{
    int refusedLarge = 0;
    int refusedOthers = 0;
    for (int request = 0; request < 1000; ++request) {
        refusedLarge += decide("large", 90ms).outcome == Outcome::OverShare ? 1 : 0;
        refusedOthers += decide("small-" + std::to_string(request % 10), 90ms).outcome == Outcome::Admitted ? 0 : 1;
    }
    EXPECT_EQ(refusedOthers, 0);
    EXPECT_GT(refusedLarge, 500);
    EXPECT_LT(refusedLarge, 800);
}

/// The size of work counts, not only the number of requests.
TEST_F(FairAdmissionTest, ACustomerWithLargeRequestsIsOverItsShare)
{
    int refused = 0;
    for (int request = 0; request < 1000; ++request) {
        now_ += 10ms;
        bool const isLarge = request % 10 == 0;
        auto const verdict = admission_.decide({.customer = CustomerId(std::to_string(request % 10)),
                                                .work = WorkSize(isLarge ? 20'000 : 1'000),
                                                .shortestWait = 90ms,
                                                .latencyTarget = 300ms},
                                               now_,
                                               random_);
        EXPECT_TRUE(isLarge || verdict.outcome == Outcome::Admitted);
        refused += verdict.outcome == Outcome::OverShare ? 1 : 0;
    }
    EXPECT_GT(refused, 25);
    // Not more than the floor allows, or large requests would starve.
    EXPECT_LT(refused, 75);
}

TEST_F(FairAdmissionTest, RequestsInFlightCountTowardsTheShare)
{
    for (int request = 0; request < 50; ++request)
        admission_.onStarted(CustomerId("holder"), std::nullopt);
    for (int other = 0; other < 10; ++other)
        decide("small-" + std::to_string(other), 0ms);
    EXPECT_LT(decide("holder", 90ms).admittedFraction, 1);
    for (int request = 0; request < 50; ++request)
        admission_.onFinished(CustomerId("holder"), RequestWeight(1));
    EXPECT_EQ(decide("holder", 90ms).admittedFraction, 1);
}

TEST_F(FairAdmissionTest, LessUrgentRequestsAreRefusedEarlier)
{
    for (int request = 0; request < 20; ++request)
        decide(std::to_string(request % 5), 0ms, static_cast<Urgency>(request % 3));
    EXPECT_EQ(decide("1", 50ms, Urgency::Highest).admittedFraction, 1);
    auto const high = decide("2", 50ms, Urgency::High).admittedFraction;
    auto const normal = decide("3", 50ms, Urgency::Normal).admittedFraction;
    EXPECT_LT(high, 1);
    EXPECT_LT(normal, high);
    EXPECT_GT(normal, 0.25);
    EXPECT_EQ(decide("1", 200ms, Urgency::Highest).outcome, Outcome::Admitted);
}

/// A customer whose priority is the lowest must still be served while urgent requests fill the servers.
TEST_F(FairAdmissionTest, TheLeastUrgentAreServedAtLeastAQuarterAsOftenAsAll)
{
    int urgent = 0;
    int normal = 0;
    for (int request = 0; request < 1000; ++request) {
        urgent += decide(std::to_string(request % 7), 200ms, Urgency::Highest).outcome == Outcome::Admitted ? 1 : 0;
        normal += decide(std::to_string(7 + request % 7), 200ms, Urgency::Normal).outcome == Outcome::Admitted ? 1 : 0;
    }
    EXPECT_EQ(urgent, 1000);
    auto const all = (urgent + normal) / 2;
    EXPECT_GE(normal, all / 4);
}

TEST_F(FairAdmissionTest, RefusedCallersReturnOneAfterTheOtherAndUrgentOnesFirst)
{
    for (int request = 0; request < 100; ++request)
        decide(std::to_string(request % 5), 0ms, static_cast<Urgency>(request % 3));
    auto const first = decide("1", 250ms, Urgency::Normal).retryAfter;
    auto const second = decide("2", 250ms, Urgency::Normal).retryAfter;
    auto const urgent = decide("3", 250ms, Urgency::Highest).retryAfter;
    EXPECT_GE(first, 100ms);
    EXPECT_GT(second, first);
    EXPECT_LT(urgent, second);
    for (int request = 0; request < 1000; ++request)
        EXPECT_LE(decide("4", 250ms, Urgency::Normal).retryAfter, 1500ms);
}

/// A customer that stopped sending must not keep a share of the sum.
TEST_F(FairAdmissionTest, DemandOfThePastIsForgotten)
{
    for (int request = 0; request < 500; ++request)
        decide("large", 0ms);
    now_ += 30s;
    EXPECT_EQ(decide("1", 0ms).customerShare, 1);
}
