#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>
#include <deque>
#include <map>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using Serving::InstanceRole;

namespace json = boost::json;

namespace {

/// Tests of batch items on connections that their server has kept from earlier requests.
class ItemConnectionsTest : public NodeTest
{
protected:
    ~ItemConnectionsTest() override
    {
        // Nodes may still call the script.
        thread_.call([this] {
            nodes_.clear();
            server_.reset();
        });
    }

    ItemConnectionsTest() = default;
    ItemConnectionsTest(ItemConnectionsTest const &) = delete;
    ItemConnectionsTest &operator=(ItemConnectionsTest const &) = delete;

    /// Starts an entry, a runner and a server that runs the script for each item. Items of the route "/c/" are due after a second.
    Node::NodeProgram &serve(ScriptedServer::Script script)
    {
        putState(1,
                 R"(,{"name":"c","host":"h.example","pathPrefix":"/c/","kind":"batch","timeoutMs":3000,"sloMs":1000,"priority":0,)"
                 R"("service":"p","attempts":3,"completionTargetMs":1000,"queueTtlS":5,"cap":100000})");
        thread_.call([&] {
            server_ = ScriptedServer::create(
                thread_.loop(), [script = std::move(script)](ScriptedServer::Connection &connection, std::size_t request) {
                    connection.head().starts_with("GET") ? connection.send(responseOf("", 200, "")) : script(connection, request);
                });
        });
        putServer("s1", server_->address());
        startNode("runner-1", InstanceRole::Runner);
        auto &entry = startNode("entry-1");
        waitUntilReady(entry);
        return entry;
    }

    static std::string responseOf(std::string const &item, int status, std::string const &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: text/event-stream\r\nAnvilyard-Response-Signature: sig\r\n"
            + (item.empty() ? "" : "Anvilyard-Attempt-Id: " + item + "\r\n") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    static std::string itemOf(ScriptedServer::Connection const &connection)
    {
        constexpr std::string_view Name = "Anvilyard-Attempt-Id: ";
        auto const &head = connection.head();
        auto const begin = head.find(Name) + Name.size();
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    void submit(Node::NodeProgram &entry, std::string const &job, int items)
    {
        json::array list;
        for (int index = 0; index < items; ++index) {
            list.push_back(json::object{{"id", job + "-" + std::to_string(index)},
                                        {"path", "/c/x"},
                                        {"headers", json::object{}},
                                        {"body", "aGVsbG8="},
                                        {"tokens", 1}});
        }
        auto const answer = ask(entry,
                                {.method = "POST",
                                 .target = "/c/1",
                                 .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                                 .body = json::serialize(json::object{{"items", std::move(list)}})});
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer->status, 202);
    }

    /// Reads until all items have results, and returns how many are completed.
    std::size_t countCompleted(Node::NodeProgram &entry, std::string const &job, std::size_t items)
    {
        for (;;) {
            auto const answer = ask(
                entry, {.method = "GET", .target = "/api/lots/" + job, .headers = {{"Host", "h.example"}, {"Anvilyard-Wait-Ms", "1000"}}});
            if (!answer || answer->status != 200)
                continue;
            auto const value = json::parse(answer->body);
            auto const &results = value.at("results").as_array();
            if (results.size() < items)
                continue;
            return static_cast<std::size_t>(
                std::ranges::count_if(results, [](json::value const &result) { return result.at("state").as_string() == "completed"; }));
        }
    }

    std::unique_ptr<ScriptedServer> server_;
};

} // namespace

/// A server drops idle connections without notice, so that a request on one of them is reset. Guards against an item that is never sent
/// again because each of its sends met such a connection.
TEST_F(ItemConnectionsTest, AnItemThatMetADroppedConnectionIsSentOnAFreshOne)
{
    constexpr int Connections = 5;
    std::vector<std::weak_ptr<ScriptedServer::Connection>> waiting;
    bool hasDroppedIdle = false;
    auto &entry = serve([&](ScriptedServer::Connection &connection, std::size_t request) {
        if (hasDroppedIdle && request > 0)
            return connection.reset();
        waiting.push_back(connection.handle());
        // The first items run at the same time, so that each has a connection of its own.
        if (!hasDroppedIdle && waiting.size() < Connections)
            return;
        for (auto const &handle : std::exchange(waiting, {})) {
            if (auto const open = handle.lock())
                open->send(responseOf(itemOf(*open), 200, eventTexts(0, 3)));
        }
    });
    submit(entry, "first", Connections);
    EXPECT_EQ(countCompleted(entry, "first", Connections), static_cast<std::size_t>(Connections));
    thread_.call([&] { hasDroppedIdle = true; });
    submit(entry, "second", 1);
    EXPECT_EQ(countCompleted(entry, "second", 1), 1U);
}

/// A server fails two runs of an item, and a copy of the first response comes late, in place of the next one on its connection. Guards
/// against counting the copy as a third failure, after which the item is given up although its next run would succeed.
TEST_F(ItemConnectionsTest, ALateCopyOfAFailureIsNotTakenForTheNextResponse)
{
    constexpr int FailingRuns = 2;
    int runs = 0;
    // Responses that are due on each connection. The oldest one is sent for each request.
    std::map<std::size_t, std::deque<std::string>> due;
    auto &entry = serve([&](ScriptedServer::Connection &connection, std::size_t) {
        auto const item = itemOf(connection);
        auto const isFailing = ++runs <= FailingRuns;
        auto const response = isFailing ? responseOf(item, 500, "failed") : responseOf(item, 200, eventTexts(0, 3));
        auto &responses = due[connection.index()];
        responses.push_back(response);
        if (runs == 1)
            responses.push_back(response);
        connection.send(responses.front());
        responses.pop_front();
    });
    submit(entry, "job", 1);
    EXPECT_EQ(countCompleted(entry, "job", 1), 1U);
    EXPECT_EQ(thread_.call([&] { return runs; }), FailingRuns + 1);
}
