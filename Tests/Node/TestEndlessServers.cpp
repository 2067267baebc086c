#include "LibObserve/Events.h"
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
    using Script = std::function<void(ScriptedServer::Connection &)>;

    ~EndlessServersTest() override
    {
        // Nodes may still call the scripts.
        thread_.call([this] {
            nodes_.clear();
            servers_.clear();
        });
    }

    EndlessServersTest() = default;
    EndlessServersTest(EndlessServersTest const &) = delete;
    EndlessServersTest &operator=(EndlessServersTest const &) = delete;

    /// Adds servers that run the script for each request and serve probes.
    void addServers(std::size_t count, Script script)
    {
        for (std::size_t index = 0; index < count; ++index) {
            thread_.call([&] {
                servers_.push_back(ScriptedServer::create(thread_.loop(), [script](ScriptedServer::Connection &connection, std::size_t) {
                    connection.head().starts_with("GET") ? connection.send(soundResponse()) : script(connection);
                }));
            });
            putServer("s" + std::to_string(servers_.size()), servers_.back()->address());
        }
    }

    /// Responds to the first request with `first` and then with what the source returns, up to `MaxEndlessBytes` in all. Serves the later
    /// ones.
    Script firstEndless(std::string first, Source source)
    {
        endlessBytes_ = 0;
        // Each connection has a copy of the script.
        auto const isFirst = std::make_shared<bool>(true);
        return [this, first = std::move(first), source = std::move(source), isFirst](ScriptedServer::Connection &connection) {
            if (!std::exchange(*isFirst, false))
                return connection.send(soundResponse());
            connection.send(first);
            connection.sendFrom([this, source]() mutable {
                auto block = endlessBytes_ < MaxEndlessBytes ? source() : std::string();
                endlessBytes_ += block.size();
                return block;
            });
        };
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

    /// Bytes that, repeated, are no stream of events.
    static std::vector<std::string> endlessBodies()
    {
        return {"no event", "no event\n\n", "data: an event\n", ": a comment\n", "5;name=value\r\nhello\r\n"};
    }

    static std::vector<std::string> endlessComments()
    {
        return {": a comment\n\n", "\n"};
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

    std::vector<std::unique_ptr<ScriptedServer>> servers_;
    std::size_t endlessBytes_ = 0;
    /// For addServers().
    Script script_;
    std::size_t probes_ = 0;
};

} // namespace

/// Guards against an item whose output grows without limit: it would neither fit into the runner's memory, nor into an object of the store
/// or a page of results, so that its job would never end.
TEST_F(EndlessServersTest, AnItemWhoseEventsDoNotEndStartsAnew)
{
    putState(1);
    addServers(1, firstEndless(eventStream + "\r\n", endlessEvents()));
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    submitItem(entry, "job");
    // The first connection cannot be reused.
    waitUntil([&] { return servers_[0]->connections() > 1; });
    ASSERT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes);
    EXPECT_EQ(readOutput(entry, "job"), "t0\nt1\nt2");
}

/// Guards against relaying bytes that are no events, or waiting for the end of one until the deadline: another server runs the request.
TEST_F(EndlessServersTest, AStreamThatIsNoStreamIsServedByAnotherServer)
{
    putState(1);
    addServers(2, [&](ScriptedServer::Connection &connection) { script_(connection); });
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    for (std::string const framing : {"\r\n", "Transfer-Encoding: chunked\r\n\r\n"}) {
        for (auto const &bytes : endlessBodies()) {
            thread_.call([&] { script_ = firstEndless(eventStream + framing, repeat(bytes)); });
            auto const served = ask(node, requestOf("/s/1", "r"));
            ASSERT_TRUE(served) << framing << bytes;
            EXPECT_EQ(served->status, 200) << framing << bytes;
            EXPECT_EQ(served->body, eventTexts(0, 3)) << framing << bytes;
            EXPECT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes) << framing << bytes;
        }
    }
}

/// Comments are relayed, as they keep a connection alive. Guards against relaying them until the deadline.
TEST_F(EndlessServersTest, AStreamOfCommentsIsResumedAtAnotherServer)
{
    putState(1);
    addServers(2, [&](ScriptedServer::Connection &connection) { script_(connection); });
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    for (auto const &bytes : endlessComments()) {
        thread_.call([&] { script_ = firstEndless(eventStream + "\r\n", repeat(bytes)); });
        auto const served = ask(node, requestOf("/s/1", "r"));
        ASSERT_TRUE(served) << bytes;
        EXPECT_TRUE(served->body.ends_with(eventTexts(0, 3))) << bytes;
        EXPECT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes) << bytes;
    }
}

/// Guards against an item whose output has bytes that are no events, and against a run that they keep busy.
TEST_F(EndlessServersTest, AnItemWhoseStreamIsNoStreamIsSentAgain)
{
    putState(1);
    addServers(2, [&](ScriptedServer::Connection &connection) { script_(connection); });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    int job = 0;
    auto bodies = endlessBodies();
    for (auto &comments : endlessComments())
        bodies.push_back(std::move(comments));
    for (auto const &bytes : bodies) {
        thread_.call([&] { script_ = firstEndless(eventStream + "\r\n", repeat(bytes)); });
        auto const id = "job-" + std::to_string(job++);
        submitItem(entry, id);
        EXPECT_EQ(readOutput(entry, id), "t0\nt1\nt2") << bytes;
        EXPECT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes) << bytes;
    }
}

/// A server sends heads of responses and then bytes that are no events. Guards against items that are sent to it again and again, as each
/// head counts as an answer.
TEST_F(EndlessServersTest, AServerWhoseStreamsAreNoneIsNotUsedForItems)
{
    putState(1);
    addServers(1, [](ScriptedServer::Connection &connection) {
        connection.send(eventStream + "\r\n");
        connection.sendFrom(repeat("no event"));
    });
    addServers(1, [](ScriptedServer::Connection &connection) { connection.send(soundResponse()); });
    auto &entry = startNode("entry-1");
    startNode("runner-1", InstanceRole::Runner);
    waitUntilReady(entry);
    std::atomic<bool> isEjected = false;
    Observe::setLogSink([&](Observe::EventDefinition const &event, std::initializer_list<Observe::Field>) {
        isEjected = isEjected || event.name == Observe::Events::NodeServerEjected.name;
    });
    constexpr int MaxJobs = 30;
    for (int job = 0; job < MaxJobs && !isEjected; ++job) {
        auto const id = "job-" + std::to_string(job);
        submitItem(entry, id);
        EXPECT_EQ(readOutput(entry, id), "t0\nt1\nt2");
    }
    thread_.call([] { Observe::setLogSink(nullptr); });
    EXPECT_TRUE(isEjected);
}

/// Guards against buffering the response to a probe without limit.
TEST_F(EndlessServersTest, AnEndlessResponseToAProbeIsCutOff)
{
    putState(1);
    auto const endless =
        firstEndless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat("1000\r\n" + std::string(0x1000, 'x') + "\r\n"));
    // One server alone is never ejected.
    for (std::string const id : {"s1", "s2"}) {
        thread_.call([&] {
            servers_.push_back(ScriptedServer::create(thread_.loop(), [&, endless](ScriptedServer::Connection &connection, std::size_t) {
                if (!connection.head().starts_with("GET"))
                    return connection.close();
                ++probes_;
                endless(connection);
            }));
        });
        putServer(id, servers_.back()->address());
    }
    auto &node = startNode("entry-1");
    waitUntilReady(node);
    for (int request = 0; request < 6; ++request)
        EXPECT_NE(ask(node, requestOf("/u/1", "r" + std::to_string(request)))->status, 200);
    waitUntil([&] { return probes_ > 1; });
    EXPECT_LT(thread_.call([&] { return endlessBytes_; }), MaxTakenBytes);
}
