#include "Tests/Node/NodeFixture.h"

#include <gmock/gmock.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using ::testing::HasSubstr;
using ::testing::Not;

namespace {

/// Requests that a customer of 5 requests a second may send in 5 s by the agreement with operators.
constexpr int AllowedInWindow = 47;

class CustomerLimitsTest : public NodeTest
{
protected:
    CustomerLimitsTest()
        : server_(thread_, [](int, auto const &request, auto const &writer) {
            writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "done"});
        })
    {
        putServer("s1", server_.address());
    }

    /// Puts a desired state with the customers, given as a JSON array.
    void putCustomers(std::string const &customers)
    {
        // Closes the list of services before the new field.
        putState(1, "", 100'000, R"(],"tenants":)" + customers.substr(0, customers.size() - 1));
    }

    int statusOf(Node::NodeProgram &node, std::string const &key)
    {
        auto request = requestOf("/i/x", "r" + std::to_string(++requests_));
        request.headers.set("Authorization", "Token " + key);
        auto const answer = ask(node, std::move(request));
        if (!answer)
            return 0;
        EXPECT_EQ(answer->status == 429, answer->headers.find("Retry-After").has_value()) << "callers must know when to come back";
        return answer->status;
    }

    FleetServer server_;
    int requests_ = 0;
};

char const *const customers = R"([{"name":"north","apiKeys":["k1"],"ratePerS":5,"burst":0},{"name":"south","apiKeys":["k2"]}])";

} // namespace

// Guards against a limit that each entry applies by itself, so that a customer gets it several times.
TEST_F(CustomerLimitsTest, ALimitHoldsOverAllEntries)
{
    putCustomers(customers);
    startNode("runner", Serving::InstanceRole::Runner);
    std::vector<Node::NodeProgram *> entries;
    for (auto const *name : {"e1", "e2", "e3"})
        entries.push_back(&startNode(name));
    for (auto *entry : entries)
        waitUntilReady(*entry);
    auto const start = readLocalClock();
    int admitted = 0;
    int refused = 0;
    for (int number = 0; number < 300; ++number) {
        auto const status = statusOf(*entries[static_cast<std::size_t>(number) % entries.size()], "k1");
        admitted += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
    }
    auto const elapsed = std::chrono::duration<double>(readLocalClock() - start).count();
    EXPECT_EQ(admitted + refused, 300);
    EXPECT_LE(admitted, AllowedInWindow + 5 * elapsed);
    EXPECT_EQ(server_.requests().size(), static_cast<std::size_t>(admitted)) << "a refused request must not reach a server";
    for (int number = 0; number < 50; ++number)
        EXPECT_EQ(statusOf(*entries[0], "k2"), 200) << "a customer without a limit";
    auto const metrics = metricsOf(*entries[0]);
    EXPECT_THAT(metrics, HasSubstr(R"(anvilyard_node_customer_requests_total{customer="north",decision="refused"})"));
    EXPECT_THAT(metrics, Not(HasSubstr("k1"))) << "keys are secrets";
}

// Guards against entries that never get a grant, as when a datagram is not recognized, and use equal shares only.
TEST_F(CustomerLimitsTest, EntriesGetGrants)
{
    putCustomers(R"([{"name":"north","apiKeys":["k1"],"ratePerS":1000000,"burst":0}])");
    startNode("runner", Serving::InstanceRole::Runner);
    auto &entry = startNode("e1");
    waitUntilReady(entry);
    waitUntil([&] { return entry.runnersHash() != 0; });
    for (;;) {
        EXPECT_EQ(statusOf(entry, "k1"), 200);
        if (metricsOf(entry).find(R"(anvilyard_node_customer_admission_fraction{customer="north"} 1)") != std::string::npos)
            break;
    }
}

// Guards against any effect where the desired state has no customers.
TEST_F(CustomerLimitsTest, NothingIsLimitedWithoutCustomers)
{
    putState(1);
    startNode("runner", Serving::InstanceRole::Runner);
    auto &entry = startNode("e1");
    waitUntilReady(entry);
    for (int number = 0; number < 100; ++number)
        EXPECT_EQ(statusOf(entry, "k1"), 200);
    EXPECT_THAT(metricsOf(entry), Not(HasSubstr("anvilyard_node_customer_requests_total")));
}
