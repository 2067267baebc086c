#include "LibServing/CustomerTokens.h"
#include "LibServing/PeerReport.h"
#include "LibServing/ServingError.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{1h};
CustomerId const north("north");
CustomerId const south("south");

CustomerTokensReport reportOf(std::string const &sender, std::uint64_t number, TokensByCustomer tokens)
{
    return {.sender = InstanceId(sender), .startedAt = 1, .number = number, .tokens = std::move(tokens)};
}

} // namespace

TEST(CustomerTokensTest, ReportsRoundTrip)
{
    auto report = reportOf("r1", 7, {{CustomerId(), 3}, {north, 1'000'000'000'000}});
    report.part = 1;
    report.parts = 2;
    report.recentJobs = {JobId("j1"), JobId("j2")};
    auto const text = encodeCustomerTokens(report);
    EXPECT_TRUE(isCustomerTokens(text));
    EXPECT_FALSE(isCustomerTokens(encodePeerReport({.sender = InstanceId("r1")})));
    auto const decoded = decodeCustomerTokens(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender, report.sender);
    EXPECT_EQ(decoded->startedAt, 1);
    EXPECT_EQ(decoded->number, 7U);
    EXPECT_EQ(decoded->part, 1U);
    EXPECT_EQ(decoded->parts, 2U);
    EXPECT_EQ(decoded->tokens, report.tokens);
    EXPECT_EQ(decoded->recentJobs, report.recentJobs);
    // An earlier build rejects it like any other datagram that it does not know.
    EXPECT_EQ(decodePeerReport(text).error().code, ServingError::BadPeerMessage);
    for (auto const *malformed : {R"({"customerTokens":)", R"({"customerTokens":[]})", R"({"customerTokens":[["n"]],"sender":"r"})"})
        EXPECT_EQ(decodeCustomerTokens(malformed).error().code, ServingError::BadPeerMessage) << malformed;
}

/// Guards against datagrams beyond the limit of the socket, which would arrive cut.
TEST(CustomerTokensTest, ManyCustomersAreDistributedOverReports)
{
    TokensByCustomer tokens;
    for (int number = 0; number < 2000; ++number)
        tokens[CustomerId("customer-with-a-long-name-" + std::to_string(number))] = 1'000'000;
    auto common = reportOf("r1", 1, {});
    common.recentJobs.assign(1000, JobId("job-with-a-long-name-0123456789abcdef"));
    TokensByCustomer joined;
    for (auto const &report : splitCustomerTokens(tokens, common)) {
        EXPECT_LT(encodeCustomerTokens(report).size(), 16U * 1024);
        joined.insert(report.tokens.begin(), report.tokens.end());
    }
    EXPECT_EQ(joined, tokens);
    EXPECT_EQ(splitCustomerTokens({}, reportOf("r1", 1, {})).size(), 1U) << "a last report says that nothing waits";
}

/// Guards against a customer that passes its limit because a report was lost or is old.
TEST(CustomerTokensTest, TokensThatNoReportAttributesCountForEachCustomer)
{
    CustomerTokenTable table;
    EXPECT_EQ(table.waiting(north, 100, Start), 100U);
    table.onReport(reportOf("r1", 1, {{north, 60}, {south, 40}}), Start);
    EXPECT_EQ(table.waiting(north, 100, Start), 60U);
    EXPECT_EQ(table.waiting(south, 130, Start), 70U);
    EXPECT_EQ(table.waiting(CustomerId("new"), 100, Start), 0U);
    table.onReport(reportOf("r2", 1, {{north, 5}}), Start + 1s);
    EXPECT_EQ(table.waiting(north, 105, Start + 1s), 65U);
    EXPECT_EQ(table.waiting(north, 105, Start + 3s), 105U) << "r1 is not heard any more";
    EXPECT_EQ(table.waiting(north, 80, Start + 1s), 65U);
}

/// Guards against a job that counts twice: as admitted, and as reported by its owner.
TEST(CustomerTokensTest, ReportsNameTheJobsThatTheyInclude)
{
    CustomerTokenTable table;
    auto report = reportOf("r1", 1, {{north, 60}});
    report.recentJobs = {JobId("j1")};
    table.onReport(report, Start);
    EXPECT_TRUE(table.isCounted(JobId("j1"), Start));
    EXPECT_FALSE(table.isCounted(JobId("j2"), Start));
    EXPECT_FALSE(table.isCounted(JobId("j1"), Start + 3s));
}

/// Datagrams are reordered and duplicated, and senders start anew.
TEST(CustomerTokensTest, TheNewestReportOfASenderHolds)
{
    CustomerTokenTable table;
    table.onReport(reportOf("r1", 2, {{north, 60}}), Start);
    table.onReport(reportOf("r1", 1, {{north, 10}}), Start);
    EXPECT_EQ(table.waiting(north, 60, Start), 60U);
    auto restarted = reportOf("r1", 1, {{north, 20}});
    restarted.startedAt = 2;
    table.onReport(restarted, Start);
    EXPECT_EQ(table.waiting(north, 20, Start), 20U);
    // Customers move to other parts when their number grows.
    restarted.number = 2;
    restarted.parts = 2;
    restarted.part = 1;
    table.onReport(restarted, Start);
    EXPECT_EQ(table.waiting(north, 20, Start), 20U);
}
