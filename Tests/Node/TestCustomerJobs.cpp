#include "LibJobs/JobCodec.h"
#include "Services/Node/PeerJobCalls.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using Serving::InstanceRole;

namespace json = boost::json;

namespace {

constexpr char const *TwoCustomers = R"([{"name":"north","apiKeys":["k1","k2"]},{"name":"south","apiKeys":["k3"]}])";
constexpr char const *PublicBatchRoute =
    R"(,{"name":"open","host":"open.example","pathPrefix":"/b/","kind":"batch","timeoutMs":3000,"sloMs":1000,"priority":0,)"
    R"("attempts":3,"completionTargetMs":18000,"queueTtlS":60,"cap":100000,"service":"p","public":true})";

/// Batch jobs of customers at an entry, with and without a runner that owns them.
class CustomerJobsTest : public NodeTest
{
protected:
    CustomerJobsTest()
    {
        customers_ = TwoCustomers;
        putState(1, PublicBatchRoute);
    }

    static Http::Headers headersOf(std::string const &key, std::string const &host = "h.example")
    {
        Http::Headers headers{{"Host", host}, {"Anvilyard-Wait-Ms", "100"}};
        if (!key.empty())
            headers.append({"Authorization", "Token " + key});
        return headers;
    }

    int submit(Node::NodeProgram &node,
               std::string const &job,
               std::string const &key,
               std::string const &host = "h.example",
               std::uint64_t tokens = 100)
    {
        json::object const item{{"id", job + "-0"},
                                {"path", "/b/x"},
                                {"headers", {{"Authorization", "Token k1"}, {"Anvilyard-Tenant", "other"}}},
                                {"body", "aGVsbG8="},
                                {"tokens", tokens}};
        auto headers = headersOf(key, host);
        headers.append({"Anvilyard-Attempt-Id", job});
        return status(node, {"POST", "/b/1", headers, json::serialize(json::object{{"items", json::array{item}}})});
    }

    int status(Node::NodeProgram &node, Http::HttpRequest request)
    {
        auto const answer = ask(node, std::move(request));
        return answer ? answer->status : 0;
    }

    int read(Node::NodeProgram &node, std::string const &job, std::string const &key, std::string const &host = "h.example")
    {
        return status(node, {"GET", "/api/lots/" + job, headersOf(key, host), ""});
    }

    int readBody(Node::NodeProgram &node, std::string const &job, std::string const &key)
    {
        return status(node, {"GET", "/api/items/" + job + "?id=" + job + "-0", headersOf(key), ""});
    }

    int end(Node::NodeProgram &node, std::string const &job, std::string const &key)
    {
        return status(node, {"DELETE", "/api/lots/" + job, headersOf(key), ""});
    }

    /// Calls with a key of another customer, an unknown one and none.
    void expectClosed(Node::NodeProgram &node, std::string const &job)
    {
        for (auto const &[key, expected] : std::map<std::string, int>{{"k3", 404}, {"k4", 401}, {"", 401}}) {
            EXPECT_EQ(read(node, job, key), expected) << key;
            EXPECT_EQ(readBody(node, job, key), expected) << key;
            EXPECT_EQ(end(node, job, key), expected) << key;
        }
        EXPECT_EQ(read(node, job, "", "open.example"), 404) << "a public route of another host opens no job";
    }
};

} // namespace

/// Guards against a job that another customer reads or ends, where the store answers because no runner is there.
TEST_F(CustomerJobsTest, AJobInTheStoreIsOpenToItsCustomer)
{
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    ASSERT_EQ(submit(entry, "j1", "k1"), 202);
    expectClosed(entry, "j1");
    EXPECT_EQ(read(entry, "j1", "k1"), 200);
    EXPECT_EQ(read(entry, "j1", "k2"), 200) << "any key of the customer will do";
    EXPECT_EQ(readBody(entry, "j1", "k2"), 200);
    EXPECT_EQ(end(entry, "j1", "k2"), 200);
}

/// The same where the runner answers that owns the job. Its answer must not need the store.
TEST_F(CustomerJobsTest, AJobOfARunnerIsOpenToItsCustomer)
{
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    waitUntilReady(runner);
    ASSERT_EQ(submit(entry, "j1", "k1"), 202);
    // No server runs the item, so that the job stays.
    while (metricsOf(runner).find("anvilyard_node_items{state=\"waiting\"} 1\n") == std::string::npos)
        waitUntil([] { return true; });
    auto const isOwnerAsked = [&] {
        auto const answer = sendTo(runner.peerAddress(),
                                   {.method = "GET",
                                    .target = Node::toTarget(Node::PeerJobAccess{.job = JobId("j1"), .caller = CustomerId("south")}),
                                    .headers = {{"Host", "r"}}})
                                .get();
        return answer && answer->status == Node::ForeignJobStatus && Node::isAccessChecked(*answer);
    };
    EXPECT_TRUE(isOwnerAsked());
    expectClosed(entry, "j1");
    EXPECT_EQ(read(entry, "j1", "k2"), 200);
    EXPECT_EQ(readBody(entry, "j1", "k2"), 200);
    EXPECT_EQ(end(entry, "j1", "k1"), 200);
}

/// Guards against servers that receive a key with an item, or a customer name that the submitter chose.
TEST_F(CustomerJobsTest, ItemsAreSentWithTheCustomerOfTheirJob)
{
    FleetServer server(thread_, [](int, auto const &request, auto const &writer) { answerEvents(request, writer, 3); });
    putServer("s1", server.address());
    auto &runner = startNode("runner-1", InstanceRole::Runner);
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    waitUntilReady(runner);
    ASSERT_EQ(submit(entry, "j1", "k2"), 202);
    waitUntil([&] { return server.requests().size() == 1; });
    ASSERT_EQ(submit(entry, "j2", "", "open.example"), 202);
    waitUntil([&] { return server.requests().size() == 2; });
    for (auto const &request : server.requests())
        EXPECT_FALSE(request.headers.contains("Authorization"));
    EXPECT_EQ(server.requests().front().headers.find("Anvilyard-Tenant"), "north");
    EXPECT_FALSE(server.requests().back().headers.contains("Anvilyard-Tenant"));
}

/// Guards against jobs of earlier builds that cannot be read any more once the desired state has customers.
TEST_F(CustomerJobsTest, AJobWithoutACustomerIsOpenToEveryKey)
{
    Jobs::JobRecord const job{
        .id = JobId("old"), .host = "h.example", .items = {{.id = Jobs::ItemId("old-0"), .target = "/b/x", .body = "hello"}}};
    thread_.call([&] { store_->put("batchjobs", "old", Jobs::encodeJob(job).spec); });
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    EXPECT_EQ(read(entry, "old", "k1"), 200);
    EXPECT_EQ(read(entry, "old", "k3"), 200);
    EXPECT_EQ(read(entry, "old", ""), 401);
    EXPECT_EQ(read(entry, "old", "", "open.example"), 404);
}

/// Guards against an acknowledged job that does not run, as another customer's has its id.
TEST_F(CustomerJobsTest, AnIdOfAnotherCustomersJobIsNotAcknowledged)
{
    auto &entry = startNode("entry-1");
    auto &other = startNode("entry-2");
    waitUntilReady(entry);
    waitUntilReady(other);
    ASSERT_EQ(submit(entry, "j1", "k1"), 202);
    EXPECT_EQ(submit(entry, "j1", "k2"), 202) << "a repeated submission";
    EXPECT_EQ(submit(other, "j1", "k1"), 202);
    EXPECT_EQ(submit(entry, "j1", "k3"), 409);
    EXPECT_EQ(submit(other, "j1", "k3"), 409);
}

/// Guards against job calls that need a key where submissions need none.
TEST_F(CustomerJobsTest, JobsOfAPublicRouteNeedNoKey)
{
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    ASSERT_EQ(submit(entry, "j1", "", "open.example"), 202);
    EXPECT_EQ(read(entry, "j1", "", "open.example"), 200);
}

/// Jobs of one customer fill the limit. Guards against refusing those of another, and against two runners that each admit up to the limit.
TEST_F(CustomerJobsTest, TheLimitOfWaitingTokensAppliesToEachCustomer)
{
    putState(2, PublicBatchRoute, 1000);
    auto &entry = startNode("entry-1");
    std::vector<Node::NodeProgram *> const runners = {&startNode("runner-1", InstanceRole::Runner),
                                                      &startNode("runner-2", InstanceRole::Runner)};
    waitUntilReady(entry);
    for (auto *runner : runners)
        waitUntilReady(*runner);
    waitUntil([&] {
        auto const hash = entry.runnersHash();
        return hash != 0 && hash == runners[0]->runnersHash() && hash == runners[1]->runnersHash();
    });
    auto submitTokens = [&, number = 0](std::string const &key, std::uint64_t tokens) mutable {
        return submit(entry, "j" + std::to_string(++number), key, "h.example", tokens);
    };
    for (int job = 0; job < 4; ++job)
        ASSERT_EQ(submitTokens("k1", 200), 202) << job;
    // Both runners know what the other one holds, so that nothing counts for every customer.
    auto const isSettled = [&] {
        std::size_t waiting = 0;
        for (auto *runner : runners) {
            std::string const sample = "\nanvilyard_node_items{state=\"waiting\"} ";
            auto const metrics = metricsOf(*runner);
            waiting += std::stoul(metrics.substr(metrics.find(sample) + sample.size()));
        }
        return waiting == 4;
    };
    while (!isSettled())
        waitUntil([] { return true; });
    auto const tokensReported = readLocalClock() + 400ms;
    waitUntil([&] { return readLocalClock() >= tokensReported; });
    EXPECT_EQ(submitTokens("k2", 300), 429) << "800 of 1000 wait";
    EXPECT_EQ(submitTokens("k3", 900), 202);
    EXPECT_EQ(submitTokens("k3", 200), 429);
    EXPECT_EQ(submitTokens("k2", 200), 202);
    EXPECT_EQ(submitTokens("k2", 100), 429);
}

/// Removing a key ends no job. Guards against a job that its customer cannot read with the key that replaced the one of its submission.
TEST_F(CustomerJobsTest, AJobOutlivesTheKeyOfItsSubmission)
{
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    ASSERT_EQ(submit(entry, "j1", "k1"), 202);
    customers_ = R"([{"name":"north","apiKeys":["k5"]},{"name":"south","apiKeys":["k3","k1"]}])";
    putState(2, PublicBatchRoute);
    while (read(entry, "j1", "k5") != 200)
        waitUntil([] { return true; });
    EXPECT_EQ(read(entry, "j1", "k1"), 404) << "the key belongs to another customer now";
    EXPECT_EQ(read(entry, "j1", "k2"), 401);
}

/// An instance that does not know yet whether there are customers. Guards against a job that it shows to anyone.
TEST_F(CustomerJobsTest, WithoutADesiredStateJobCallsAreRefused)
{
    thread_.call([&] { store_->remove("config", "main"); });
    auto &entry = startNode("entry-1");
    for (auto const *method : {"GET", "DELETE"}) {
        auto const answer = ask(entry, {method, "/api/lots/j1", headersOf("k1"), ""});
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 503);
        EXPECT_TRUE(answer->headers.contains("Retry-After"));
    }
}

/// A runner of an earlier build ignores the caller and shows the job. Guards against an entry that uses its answer.
TEST_F(CustomerJobsTest, AnUncheckedAnswerOfARunnerIsNotUsed)
{
    int calls = 0;
    FleetServer runner(thread_, [&](int, Http::HttpRequest const &, FleetServer::Writer const &writer) {
        ++calls;
        writer->respond({.status = 200, .body = "secret"});
    });
    auto &entry = startNode("entry-1");
    waitUntilReady(entry);
    ASSERT_EQ(submit(entry, "j1", "k1"), 202);
    Serving::PeerReport const report{.sender = InstanceId("runner-1"),
                                     .startedAt = 1,
                                     .number = 1,
                                     .nextWithin = 1h,
                                     .role = InstanceRole::Runner,
                                     .address = runner.address()};
    thread_.call([&] {
        auto const socket = Node::DatagramSocket::open(thread_.loop(), Address("127.0.0.1:0"), [](auto) {});
        (*socket)->send(entry.peerAddress(), Serving::encodePeerReport(report));
    });
    waitUntil([&] { return entry.runnersHash() != 0; });
    for (auto const *target : {"/api/lots/j1", "/api/items/j1?id=j1-0"}) {
        auto const answer = ask(entry, {"GET", target, headersOf("k3"), ""});
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 404);
        EXPECT_EQ(answer->body.find("secret"), std::string::npos);
    }
    EXPECT_EQ(end(entry, "j1", "k3"), 404);
    EXPECT_EQ(read(entry, "j1", "k1"), 200);
    EXPECT_GT(thread_.call([&] { return calls; }), 0);
}

TEST(PeerJobCallsTest, CallsStateTheirCaller)
{
    auto const roundTrip = [](auto const &call) {
        auto const parsed = Node::parsePeerJobCall({.method = "GET", .target = Node::toTarget(call)});
        return std::get<std::decay_t<decltype(call)>>(*parsed).caller;
    };
    for (Node::JobCaller const &caller : {Node::JobCaller(), Node::JobCaller(CustomerId()), Node::JobCaller(CustomerId("a&b=c %/ü"))}) {
        EXPECT_EQ(roundTrip(Node::PeerReadResults{.job = JobId("j"), .caller = caller}), caller);
        EXPECT_EQ(roundTrip(Node::PeerReadBody{.job = JobId("j"), .item = Jobs::ItemId("i"), .caller = caller}), caller);
        EXPECT_EQ(roundTrip(Node::PeerAdmission{.job = JobId("j"), .caller = caller}), caller);
        EXPECT_EQ(roundTrip(Node::PeerJobAccess{.job = JobId("j"), .caller = caller}), caller);
    }
}
