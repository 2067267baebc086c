#include "LibServing/LimitMessages.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Serving;

// Guards against counts or grants that change on their way, and against datagrams that are taken for others.
TEST(LimitMessagesTest, ArriveAsTheyWereSent)
{
    AddressedLimitReport const report{
        .replyTo = Address("127.0.0.1:80"),
        .report = {.entry = InstanceId("e\"1"),
                   .startedAt = 17,
                   .sentAt = 1'700'000'000'000'001,
                   .usage = {{.customer = CustomerId("north"), .admitted = 12'345'678'901, .refused = 3}}},
    };
    auto const text = encodeLimitReport(report);
    EXPECT_TRUE(isLimitReport(text));
    EXPECT_FALSE(isLimitReply(text));
    auto const decoded = decodeLimitReport(text);
    ASSERT_TRUE(decoded) << decoded.error().toString();
    EXPECT_EQ(decoded->replyTo, report.replyTo);
    EXPECT_EQ(decoded->report, report.report);

    Routing::LimitReply const reply{
        .coordinator = InstanceId("r1"),
        .startedAt = 17,
        .reportSentAt = 1'700'000'000'000'001,
        .grants = {{.customer = CustomerId("north"), .fraction = 0.25, .sharePerSecond = 1.5, .counted = 7, .advance = 2.5}}};
    auto const replyText = encodeLimitReply(reply);
    EXPECT_TRUE(isLimitReply(replyText));
    EXPECT_FALSE(isLimitReport(replyText));
    auto const decodedReply = decodeLimitReply(replyText);
    ASSERT_TRUE(decodedReply) << decodedReply.error().toString();
    EXPECT_EQ(*decodedReply, reply);
}

// Guards against a datagram that ends a process or disturbs the accounting.
TEST(LimitMessagesTest, MalformedOnesAreRejected)
{
    for (auto const *text : {R"({"customerUsage":)",
                             R"({"customerUsage":[]})",
                             R"({"customerUsage":[["a",-1,0]],"entry":"e","startedAt":1,"sentAt":1,"replyTo":"x"})",
                             R"({"customerUsage":[["a"]],"entry":"e","startedAt":1,"sentAt":1,"replyTo":"x"})"})
        EXPECT_FALSE(decodeLimitReport(text)) << text;
    for (auto const *text : {R"({"customerGrants":3})",
                             R"({"customerGrants":[["a",1]],"coordinator":"r","startedAt":1,"sentAt":1})",
                             R"({"customerGrants":[["a",-1,0,0,0]],"coordinator":"r","startedAt":1,"sentAt":1})"})
        EXPECT_FALSE(decodeLimitReply(text)) << text;
}

// Guards against datagrams that are larger than the buffer of their receiver, 16 kB.
TEST(LimitMessagesTest, AFullMessageFitsADatagram)
{
    AddressedLimitReport report{.replyTo = Address("127.0.0.1:80"), .report = {.entry = InstanceId("e1")}};
    Routing::LimitReply reply{.coordinator = InstanceId("r1")};
    for (std::size_t number = 0; number < MaxCustomersPerMessage; ++number) {
        CustomerId const customer("customer-of-a-long-name-" + std::to_string(number));
        report.report.usage.push_back({.customer = customer, .admitted = 4'000'000'000, .refused = 4'000'000'000});
        reply.grants.push_back(
            {.customer = customer, .fraction = 0.123456, .sharePerSecond = 123.123456, .counted = 4'000'000'000, .advance = 12.123456});
    }
    EXPECT_LE(encodeLimitReport(report).size(), 16U * 1024);
    EXPECT_LE(encodeLimitReply(reply).size(), 16U * 1024);
}
