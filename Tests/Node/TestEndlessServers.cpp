#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/Node/NodeFixture.h"

#include <boost/json.hpp>

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using Serving::InstanceRole;

namespace json = boost::json;

namespace {

/// Tests of a node with a server that sends bytes without end until the node closes the connection.
class EndlessServersTest : public NodeTest
{
protected:
    using Source = std::function<std::string()>;

    ~EndlessServersTest() override
    {
        thread_.call([this] { endless_.reset(); });
    }

    /// Adds a server that responds to its first `requests` requests with `first` and what the source returns, up to `MaxEndlessBytes` in
    /// all. It serves later requests, and probes.
    void addEndlessServer(std::string const &id, std::size_t requests, std::string first, Source source)
    {
        thread_.call([&] {
            endless_ = ScriptedServer::create(
                thread_.loop(), [this, requests, first, source = std::move(source)](ScriptedServer::Connection &connection, std::size_t) {
                    if (connection.head().starts_with("GET") || endlessRequests_ >= requests)
                        return connection.send(soundResponse());
                    ++endlessRequests_;
                    connection.send(first);
                    connection.sendFrom([this, source] {
                        auto block = endlessBytes_ < MaxEndlessBytes ? source() : std::string();
                        endlessBytes_ += block.size();
                        return block;
                    });
                });
        });
        putServer(id, endless_->address());
    }

    static std::string soundResponse()
    {
        auto const events = eventTexts(0, 3);
        return eventStream + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
    }

    static Source repeat(std::string const &bytes)
    {
        std::string block;
        while (block.size() < BlockBytes)
            block += bytes;
        return [block = std::move(block)] { return block; };
    }

    /// Sound events with increasing ids.
    static Source endlessEvents()
    {
        return [next = std::uint64_t(0)]() mutable {
            std::string block;
            while (block.size() < BlockBytes)
                block += eventText(next++);
            return block;
        };
    }

    void submitItem(Node::NodeProgram &node, std::string const &job)
    {
        json::object const item{{"id", job + "-0"}, {"path", "/b/x/0"}, {"headers", json::object{}}, {"body", "aGVsbG8="}, {"tokens", 100}};
        auto const answer = ask(node,
                                {.method = "POST",
                                 .target = "/b/1",
                                 .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", job}},
                                 .body = json::serialize(json::object{{"items", json::array{item}}})});
        ASSERT_TRUE(answer);
        ASSERT_EQ(answer->status, 202);
    }

    /// Reads until the only item of the job has a result.
    std::string readOutput(Node::NodeProgram &node, std::string const &job)
    {
        while (true) {
            auto const answer = ask(
                node, {.method = "GET", .target = "/api/lots/" + job, .headers = {{"Host", "h.example"}, {"Anvilyard-Wait-Ms", "1000"}}});
            if (!answer || answer->status != 200)
                continue;
            auto const results = json::parse(answer->body).at("results").as_array();
            if (!results.empty())
                return std::string(results[0].at("output").as_string());
        }
    }

    static inline std::string const eventStream =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAnvilyard-Response-Signature: sig\r\n";
    static constexpr std::size_t BlockBytes = 64 * 1024;
    static constexpr std::size_t MaxEndlessBytes = 64 * 1024 * 1024;
    /// The socket buffers of both sides hold less.
    static constexpr std::size_t MaxTakenBytes = 16 * 1024 * 1024;

    std::unique_ptr<ScriptedServer> endless_;
    std::size_t endlessBytes_ = 0;
    std::size_t endlessRequests_ = 0;
};

} // namespace

/// Guards against an item whose output grows without limit: it would neither fit into the runner's memory, nor into an object of the store
/// or a page of results, so that its job would never end.
TEST_F(EndlessServersTest, AnItemWhoseEventsDoNotEndStartsAnew)
{
    putState(1);
    addEndlessServer("s1", 1, eventStream + "\r\n", endlessEvents());
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    submitItem(entry, "job");
    // The first connection cannot be reused.
    waitUntil([&] { return endless_->connections() > 1; });
    ASSERT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes);
    EXPECT_EQ(readOutput(entry, "job"), "t0\nt1\nt2");
}
