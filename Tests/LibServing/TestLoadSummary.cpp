#include "LibServing/LoadSummaryTable.h"
#include "LibServing/ServingError.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
DataCentreId const here("here");
DataCentreId const there("there");
DataCentreId const elsewhere("elsewhere");
ServerId const server("s");

LoadSummary summaryOf(std::string relay, std::uint64_t number, DataCentreId const &dataCentre, std::uint32_t online)
{
    return {.relay = InstanceId(std::move(relay)),
            .position = {.startedAt = 1, .number = number},
            .dataCentre = dataCentre,
            .near = {{server, {.online = online}}}};
}

LoadSummaryTable tableHere()
{
    return LoadSummaryTable({.dataCentre = here});
}

} // namespace

TEST(LoadSummaryTest, EncodingRoundTrips)
{
    auto summary = summaryOf("relay \"1\"\n", 7, here, 3);
    summary.stateVersion = StateVersion(12);
    summary.serversRevision = StoreRevision(345);
    summary.near[ServerId("t")] = {.batch = 4};
    summary.far = LoadByServer{{ServerId("u"), {.online = 1, .batch = 2}}};
    auto const encoded = encodeLoadSummary(summary);
    ASSERT_TRUE(isLoadSummary(encoded));
    auto const decoded = decodeLoadSummary(addIncludedReport(encoded, {.startedAt = -5, .number = 9}));
    ASSERT_TRUE(decoded) << decoded.error().toString();
    EXPECT_EQ(decoded->relay, summary.relay);
    EXPECT_EQ(decoded->position, summary.position);
    EXPECT_EQ(decoded->dataCentre, here);
    EXPECT_EQ(decoded->stateVersion, StateVersion(12));
    EXPECT_EQ(decoded->serversRevision, StoreRevision(345));
    EXPECT_EQ(decoded->near, summary.near);
    EXPECT_EQ(decoded->far, summary.far);
    EXPECT_EQ(decoded->included, (ReportPosition{.startedAt = -5, .number = 9}));
}

TEST(LoadSummaryTest, ReportsAndMalformedDatagramsAreRejected)
{
    EXPECT_FALSE(isLoadSummary(encodePeerReport({.sender = InstanceId("a")})));
    for (auto const *const text : {"", "{}", "[]", "nothing", "{\"relay\":1}", "\xff\xfe"})
        EXPECT_EQ(decodeLoadSummary(text).error().code, ServingError::BadPeerMessage) << text;
    auto const complete = encodeLoadSummary(summaryOf("r", 1, here, 1));
    for (std::size_t length = 0; length < complete.size(); ++length)
        EXPECT_FALSE(decodeLoadSummary(std::string_view(complete).substr(0, length)));
}

/// A summary includes the own requests as of an earlier report. Guards against counting own requests twice, or subtracting requests
/// that the summary does not include yet.
TEST(LoadSummaryTableTest, OwnRequestsAreSubtractedAsOfTheIncludedReport)
{
    auto table = tableHere();
    table.onOwnReport({.startedAt = 1, .number = 4}, {{server, {.online = 2}}});
    table.onOwnReport({.startedAt = 1, .number = 5}, {{server, {.online = 6}}});
    auto summary = summaryOf("r", 1, here, 7);
    summary.included = ReportPosition{.startedAt = 1, .number = 4};
    EXPECT_TRUE(table.onSummary(summary, Start));
    EXPECT_EQ(table.nearAt(server).online, 5U);
}

/// Guards against replacing a newer summary of a relay by a delayed or duplicated older one.
RC_GTEST_PROP(LoadSummaryTableProperty, LostDuplicatedAndReorderedSummariesKeepTheNewestLoad, ())
{
    auto table = tableHere();
    auto const order = *rc::gen::container<std::vector<std::uint32_t>>(20, rc::gen::inRange<std::uint32_t>(1, 10));
    std::uint32_t newest = 0;
    for (auto const number : order) {
        RC_ASSERT(table.onSummary(summaryOf("r", number, here, number), Start) == (number > newest));
        newest = std::max(newest, number);
        RC_ASSERT(table.nearAt(server).online == newest);
    }
}

TEST(LoadSummaryTableTest, ARestartedRelayIsAcceptedAlthoughItsNumbersRestart)
{
    auto table = tableHere();
    EXPECT_TRUE(table.onSummary(summaryOf("r", 100, here, 1), Start));
    auto restarted = summaryOf("r", 1, here, 2);
    restarted.position.startedAt = 2;
    EXPECT_TRUE(table.onSummary(restarted, Start));
    EXPECT_EQ(table.nearAt(server).online, 2U);
}

/// Both relays of a data centre are lost. Guards against placing requests by load that no longer changes.
TEST(LoadSummaryTableTest, ATimedOutSummaryCountsNoLonger)
{
    auto table = tableHere();
    table.onSummary(summaryOf("r", 1, here, 3), Start);
    table.onTick(Start + 999ms);
    EXPECT_TRUE(table.hasNear());
    table.onTick(Start + 1s);
    EXPECT_FALSE(table.hasNear());
    EXPECT_TRUE(table.onSummary(summaryOf("r", 2, here, 4), Start + 1s));
    EXPECT_TRUE(table.hasNear());
}

TEST(LoadSummaryTableTest, ARelayAddsUpTheOtherDataCentres)
{
    auto table = tableHere();
    table.onSummary(summaryOf("there-1", 1, there, 3), Start);
    table.onSummary(summaryOf("there-2", 1, there, 4), Start);
    table.onSummary(summaryOf("elsewhere-1", 1, elsewhere, 5), Start + 500ms);
    EXPECT_EQ(table.farAt(server).online, 9U) << "both relays of a data centre report the same requests";
    EXPECT_EQ(table.farFromRelays().at(server).online, 9U);
    table.onTick(Start + 1s);
    EXPECT_EQ(table.farAt(server).online, 5U);
}

TEST(LoadSummaryTableTest, OtherInstancesReceiveTheFarLoadFromTheirRelay)
{
    auto table = tableHere();
    auto withFar = summaryOf("r", 1, here, 1);
    withFar.far = LoadByServer{{server, {.online = 8}}};
    table.onSummary(withFar, Start);
    table.onSummary(summaryOf("r", 2, here, 2), Start + 50ms);
    EXPECT_EQ(table.nearAt(server).online, 2U);
    EXPECT_EQ(table.farAt(server).online, 8U);
}
