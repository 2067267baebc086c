#include "Services/Node/PeerRelay.h"
#include "Tests/LibHttp/RawConnection.h"
#include "Tests/Node/NodeFixture.h"

#include <gmock/gmock.h>

using namespace Anvilyard;
using namespace Anvilyard::Tests;

namespace {

constexpr char const *TwoCustomers = R"([{"name":"north","apiKeys":["k1","k2"]},{"name":"south","apiKeys":["k3"]}])";
constexpr char const *OpenRoute = R"(,{"name":"open","host":"h.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":3000,)"
                                  R"("sloMs":1000,"priority":0,"attempts":2,"service":"p","public":true})";

class CustomersTest : public NodeTest
{
protected:
    CustomersTest()
        : server_(thread_, [](int, Http::HttpRequest const &request, FleetServer::Writer const &writer) {
            writer->respond({.status = 200, .headers = signedHeaders(request, "text/plain"), .body = "done"});
        })
    {
    }

    Node::NodeProgram &serveWith(std::string const &customers)
    {
        putVersion(1, customers);
        putServer("s1", server_.address());
        auto &node = startNode("entry-1");
        waitUntilReady(node);
        return node;
    }

    void putVersion(std::uint64_t version, std::string const &customers)
    {
        customers_ = customers;
        putState(version, OpenRoute);
    }

    /// Puts a version and waits until it is in force.
    void changeTo(Node::NodeProgram &node, std::uint64_t version, std::string const &customers)
    {
        putVersion(version, customers);
        while (metricsOf(node).find("\nanvilyard_node_state_version " + std::to_string(version) + "\n") == std::string::npos)
            waitUntil([] { return true; });
    }

    Http::HttpRequest requestWith(std::string const &target, std::vector<std::string> const &authorizations)
    {
        auto request = requestOf(target, "a" + std::to_string(++requests_));
        for (auto const &authorization : authorizations)
            request.headers.append({"Authorization", authorization});
        return request;
    }

    int statusOf(Node::NodeProgram &node, Http::HttpRequest request)
    {
        auto const answer = ask(node, std::move(request));
        return answer ? answer->status : 0;
    }

    [[nodiscard]] Http::Headers lastSeen() const
    {
        return server_.requests().back().headers;
    }

    FleetServer server_;
    int requests_ = 0;
};

} // namespace

/// Guards against servers that see a key, and against callers that name another customer.
TEST_F(CustomersTest, AServerIsToldTheHolderOfTheKey)
{
    auto &node = serveWith(TwoCustomers);
    auto request = requestWith("/i/1", {"Token k2"});
    request.headers.append({"Anvilyard-Tenant", "south"});
    request.headers.append({"anvilyard-tenant", "other"});
    ASSERT_EQ(statusOf(node, request), 200);
    EXPECT_FALSE(lastSeen().contains("Authorization"));
    EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "north");
    auto const fields = lastSeen().fields();
    EXPECT_EQ(std::ranges::count_if(fields, [](auto const &field) { return Http::equalsIgnoringCase(field.name, "Anvilyard-Tenant"); }), 1);
    EXPECT_THAT(metricsOf(node), testing::HasSubstr("anvilyard_node_authentications_total{outcome=\"accepted\"} 1"));
}

/// Guards against requests that run without a valid key, and against a Retry-After for a key that will not be accepted later either.
TEST_F(CustomersTest, ARequestWithoutAValidKeyIsRefused)
{
    auto &node = serveWith(TwoCustomers);
    std::vector<std::vector<std::string>> const refused = {
        {}, {"Token k4"}, {"Bearer k1"}, {"Token "}, {"k1"}, {"Token k1", "Token k1"}, {"Token k1", "Token k3"}};
    for (auto const &authorizations : refused) {
        for (auto const *target : {"/i/1", "/s/1", "/u/1", "/b/1"}) {
            auto const answer = ask(node, requestWith(target, authorizations));
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status, 401) << target;
            EXPECT_FALSE(answer->headers.contains("Retry-After"));
            EXPECT_EQ(answer->body.find("k4"), std::string::npos) << "no key in an answer";
        }
    }
    EXPECT_EQ(statusOf(node, requestWith("/none/1", {})), 404) << "the route comes before the key";
    EXPECT_TRUE(server_.requests().empty());
}

/// Guards against a public route that needs a key, or whose server receives one, or a customer name that the caller chose.
TEST_F(CustomersTest, APublicRouteNeedsNoKey)
{
    auto &node = serveWith(TwoCustomers);
    for (auto const &authorizations : {std::vector<std::string>(), {"Token k4"}, {"Token k1", "Token k3"}}) {
        auto request = requestWith("/open/1", authorizations);
        request.headers.append({"Anvilyard-Tenant", "north"});
        EXPECT_EQ(statusOf(node, request), 200);
        EXPECT_FALSE(lastSeen().contains("Authorization"));
        EXPECT_FALSE(lastSeen().contains("Anvilyard-Tenant"));
    }
    EXPECT_EQ(statusOf(node, requestWith("/open/1", {"Token k3"})), 200);
    EXPECT_FALSE(lastSeen().contains("Authorization"));
    EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "south");
}

/// Guards against a connection that stays valid as its first request was. The answer on it that has begun goes on.
TEST_F(CustomersTest, EachRequestOnAConnectionIsCheckedAlone)
{
    auto &node = serveWith(TwoCustomers);
    RawConnection connection(thread_.call([&] { return node.callerAddress(); }));
    auto const send = [&](std::string const &id) {
        connection.send("POST /i/1 HTTP/1.1\r\nHost: h.example\r\nAnvilyard-Attempt-Id: " + id
                        + "\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    };
    send("a");
    EXPECT_THAT(connection.readUntil("done"), testing::StartsWith("HTTP/1.1 200"));
    changeTo(node, 2, R"([{"name":"north","apiKeys":["k2"]},{"name":"south","apiKeys":["k3"]}])");
    send("b");
    EXPECT_THAT(connection.readUntil("\r\n\r\n"), testing::StartsWith("HTTP/1.1 401"));
    EXPECT_EQ(server_.requests().size(), 1U);
    EXPECT_EQ(statusOf(node, requestWith("/i/1", {"Token k2"})), 200);
}

/// Guards against a deployment that is locked out when it gets customers, or whose callers are refused after it gave them up.
TEST_F(CustomersTest, CustomersComeAndGoWithTheDesiredState)
{
    auto &node = serveWith("");
    auto request = requestWith("/i/1", {"Token k9"});
    request.headers.append({"Anvilyard-Tenant", "mine"});
    for (std::uint64_t version = 1; version <= 3; version += 2) {
        if (version > 1)
            changeTo(node, version, "");
        EXPECT_EQ(statusOf(node, request), 200);
        EXPECT_EQ(lastSeen().find("Authorization"), "Token k9") << "as before";
        EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "mine") << "as before";
        changeTo(node, version + 1, TwoCustomers);
        EXPECT_EQ(statusOf(node, request), 401);
        EXPECT_EQ(statusOf(node, requestWith("/i/1", {"Token k1"})), 200);
    }
}

/// Another instance has checked the key. Guards against refusing its request, as it has none, and against a server that receives another
/// name. An instance of an earlier build passes the request on as the caller sent it.
TEST_F(CustomersTest, ARelayedRequestHasTheCustomerThatTheSenderFound)
{
    auto &node = serveWith(TwoCustomers);
    auto const peer = thread_.call([&] { return node.peerAddress(); });
    auto const relay = [&](Http::HttpRequest request, bool isAuthenticated) {
        Node::addRelayTerms(request, {.stateVersion = Serving::StateVersion(1), .pool = PoolName("p"), .isAuthenticated = isAuthenticated});
        auto const answer = sendTo(peer, std::move(request)).get();
        return answer ? answer->status : 0;
    };
    auto checked = requestWith("/i/1", {});
    checked.headers.append({"Anvilyard-Tenant", "south"});
    EXPECT_EQ(relay(checked, true), 200);
    EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "south");
    EXPECT_FALSE(lastSeen().contains("Relay-Authenticated"));
    EXPECT_EQ(relay(checked, false), 401) << "a caller may have sent the name to an earlier build";
    EXPECT_EQ(relay(requestWith("/i/1", {"Token k1"}), false), 200);
    EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "north");
    EXPECT_FALSE(lastSeen().contains("Authorization"));
    // The receiver may know a newer state, without customers.
    changeTo(node, 2, "");
    EXPECT_EQ(relay(checked, true), 200);
    EXPECT_EQ(lastSeen().find("Anvilyard-Tenant"), "south");
    EXPECT_EQ(relay(requestWith("/i/1", {"Token k1"}), false), 200);
    EXPECT_EQ(lastSeen().find("Authorization"), "Token k1");
}
