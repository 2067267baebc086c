#include "Tests/Entry/EntryFixture.h"
#include "Tests/Fakes/ScriptedServer.h"

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using ::testing::HasSubstr;

namespace {

using Writer = std::shared_ptr<Http::ResponseWriter>;

class EntryFaultTest : public EntryFixture
{
protected:
    /// Returns a script that accepts the request and closes the connection without an answer.
    static ScriptedBackend::Script closing()
    {
        return [](int, auto const &, Writer const &writer) { writer->abort(); };
    }

    static ScriptedBackend::Script refusing(int status, std::string const &body)
    {
        return [status, body](int, auto const &, Writer const &writer) { writer->respond({.status = status, .body = body}); };
    }

    static constexpr auto StatedNotRun = R"({"error":{"code":"busy","not_run":true}})";

    int sends() const
    {
        int count = 0;
        for (auto const &server : servers_)
            count += server->count();
        return count;
    }
};

struct SendCase {
    char const *name;
    Http::HttpRequest request;
    ScriptedBackend::Script first;
    int status;
    char const *code;
    bool notRun;
    /// Number of requests that reached the three servers, which all run the same script.
    int sends;
};

} // namespace

// Guards against unsafe retries, and against a refusal that misstates whether the request may have run. Covers the steps and run states
// of RetryPolicy.
TEST_F(EntryFaultTest, ReportsWhetherAFailedRequestMayHaveRun)
{
    Http::Headers const never = {{"Anvilyard-Repeat", "never"}};
    SendCase const cases[] = {
        {"never, closed", dispatchCall("POST", never), closing(), 502, "outcome_unknown", false, 1},
        {"never PUT, closed", dispatchCall("PUT", never), closing(), 502, "outcome_unknown", false, 1},
        {"never, refused", dispatchCall("POST", never), refusing(503, StatedNotRun), 503, "busy", true, 1},
        {"POST, closed", dispatchCall("POST"), closing(), 502, "outcome_unknown", false, 1},
        {"POST, 503 without not_run", dispatchCall("POST"), refusing(503, "{}"), 503, "", false, 1},
        {"POST, refused", dispatchCall("POST"), refusing(503, StatedNotRun), 503, "busy", true, 3},
        {"PUT, closed", dispatchCall("PUT"), closing(), 502, "outcome_unknown", false, 3},
        {"GET, 500", dispatchCall("GET"), refusing(500, "{}"), 500, "", false, 3},
    };
    for (auto const &one : cases) {
        servers_.clear();
        backends_.clear();
        for (int server = 0; server < 3; ++server)
            addPlainServer(one.first);
        startEntry();
        auto const answer = fetch(one.request);
        ASSERT_TRUE(answer) << one.name;
        EXPECT_EQ(answer->status, one.status) << one.name;
        EXPECT_EQ(codeOf(answer), one.code) << one.name;
        EXPECT_EQ(answer->body.find("\"not_run\":true") != std::string::npos, one.notRun) << one.name;
        EXPECT_EQ(sends(), one.sends) << one.name;
        service_.reset();
    }
}

// Guards against relaying a later server's "not run" when an earlier attempt may have run the request.
TEST_F(EntryFaultTest, NotRunFromASecondServerDoesNotHideTheFirstSend)
{
    std::atomic<int> asked = 0;
    for (int server = 0; server < 2; ++server) {
        addPlainServer([&asked](int, auto const &, Writer const &writer) {
            if (++asked == 1)
                return writer->abort();
            writer->respond({.status = 503, .body = StatedNotRun});
        });
    }
    startEntry();
    auto const answer = fetch(dispatchCall("PUT"));
    ASSERT_TRUE(answer);
    EXPECT_THAT(answer->body, HasSubstr("\"not_run\":false"));
    EXPECT_EQ(asked, 2);
}

TEST_F(EntryFaultTest, UnreachableServersAreReportedAsNotRun)
{
    addAddress("dispatch", unusedAddress());
    addAddress("dispatch", unusedAddress());
    startEntry();
    auto const answer = fetch(dispatchCall("POST", {{"Anvilyard-Repeat", "never"}}));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
    EXPECT_EQ(codeOf(answer), "no_server_available");
    EXPECT_THAT(answer->body, HasSubstr("\"not_run\":true"));
    EXPECT_TRUE(answer->headers.contains("Retry-After"));
}

TEST_F(EntryFaultTest, RequestsAreRoutedAroundAnUnreachableServer)
{
    addAddress("engines", unusedAddress());
    addEngine([](int, auto const &, Writer const &writer) { streamComplete(writer, {"one "}); });
    startEntry();
    for (int turn = 0; turn < 5; ++turn) {
        auto const answer = fetch(completion());
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, tokenEvent("one ") + "data: [DONE]\n\n");
    }
}

TEST_F(EntryFaultTest, CompletionBrokenBeforeItsFirstTokenIsRetriedOnAnotherServer)
{
    std::atomic<int> asked = 0;
    for (int server = 0; server < 2; ++server) {
        addEngine([&asked](int, auto const &, Writer const &writer) {
            if (++asked == 1)
                return writer->abort();
            streamComplete(writer, {"one "});
        });
    }
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, tokenEvent("one ") + "data: [DONE]\n\n");
    EXPECT_EQ(asked, 2);
}

// A server crashes within the first event of a completion, and another one runs the request. Guards against relaying the part joined with
// the other server's first event.
TEST_F(EntryFaultTest, FirstEventCutShortIsNotJoinedWithTheNextAttempt)
{
    std::atomic<int> asked = 0;
    for (int server = 0; server < 2; ++server) {
        addEngine([&asked](int, auto const &, Writer const &writer) {
            if (++asked > 1)
                return streamComplete(writer, {"one "});
            writer->start({.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
            writer->write("data: {\"id\":", [writer](auto) { writer->abort(); });
        });
    }
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, tokenEvent("one ") + "data: [DONE]\n\n");
    EXPECT_EQ(asked, 2);
}

// Guards against a request that continues after the caller's deadline, and against a refusal with a code that does not reflect it.
TEST_F(EntryFaultTest, CallerDeadlineEndsTheRequest)
{
    std::vector<Writer> held;
    addEngine([&held](int, auto const &, Writer const &writer) { held.push_back(writer); });
    startEntry();
    auto const answer = fetch(completion({{"Anvilyard-Timeout-Ms", "60"}}));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 504);
    EXPECT_EQ(codeOf(answer), "outcome_unknown");
    EXPECT_THAT(answer->body, HasSubstr("\"not_run\":false"));
    thread_.call([&held] { held.clear(); });
}

namespace {

std::string rawAnswer(std::string const &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against treating a dead reused connection as a failure of the server. The request has to be retried on a fresh connection to
// the same server, and the server must not be ejected.
TEST_F(EntryFaultTest, SilentReusedConnectionIsReplacedWithoutEjectingTheServer)
{
    auto const raw = thread_.call([this] {
        return Tests::ScriptedServer::create(thread_.loop(), [](Tests::ScriptedServer::Connection &connection, std::size_t request) {
            // Each connection answers one request and ignores the following ones.
            if (request == 0)
                connection.send(rawAnswer("whole"));
        });
    });
    addAddress("dispatch", raw->address());
    settings_.limits.reusedHead = 50ms;
    startEntry();
    for (int turn = 0; turn < 4; ++turn) {
        auto const answer = fetch(dispatchCall("GET"));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, "whole");
    }
    EXPECT_TRUE(service_->view()->ejected().empty());
    service_.reset();
    thread_.call([&] { const_cast<std::unique_ptr<Tests::ScriptedServer> &>(raw).reset(); });
}

namespace {

struct InvalidResponseCase {
    char const *name;
    char const *bytes;
};

} // namespace

TEST_F(EntryFaultTest, ResponseWithInvalidFramingIsNeverRelayedAsComplete)
{
    InvalidResponseCase const cases[] = {
        {"shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"},
        {"truncated head", "HTTP/1.1 200 OK\r\nContent-Le"},
        {"no length", "HTTP/1.1 200 OK\r\n\r\nperhaps whole"},
        {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf"},
        {"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
        {"not HTTP", "hello\r\n\r\n"},
    };
    for (auto const &invalid : cases) {
        backends_.clear();
        auto raw = thread_.call([this, &invalid] {
            return Tests::ScriptedServer::create(thread_.loop(), [&invalid](Tests::ScriptedServer::Connection &connection, std::size_t) {
                connection.send(invalid.bytes);
                connection.close();
            });
        });
        addAddress("dispatch", raw->address());
        startEntry();
        auto const answer = fetch(dispatchCall("POST"));
        ASSERT_TRUE(answer) << invalid.name;
        EXPECT_EQ(codeOf(answer), "outcome_unknown") << invalid.name;
        service_.reset();
        thread_.call([&raw] { raw.reset(); });
    }
}

// Guards against reusing a connection with surplus bytes (LibHttp). The next request on it would get them as its answer.
TEST_F(EntryFaultTest, SurplusBytesOnAConnectionReachNoCaller)
{
    auto raw = thread_.call([this] {
        return Tests::ScriptedServer::create(thread_.loop(), [](Tests::ScriptedServer::Connection &connection, std::size_t) {
            auto const own = "connection " + std::to_string(connection.index());
            // The second answer belongs to no request.
            connection.send(rawAnswer(own) + rawAnswer("foreign"));
        });
    });
    addAddress("dispatch", raw->address());
    startEntry();
    for (int turn = 0; turn < 5; ++turn) {
        auto const answer = fetch(dispatchCall("GET"));
        ASSERT_TRUE(answer);
        EXPECT_THAT(answer->body, ::testing::StartsWith("connection "));
    }
    service_.reset();
    thread_.call([&raw] { raw.reset(); });
}

TEST_F(EntryFaultTest, DeadServerIsEjectedAndRestoredByProbing)
{
    std::atomic<bool> isDead = true;
    addEngine([](int, auto const &, Writer const &writer) { streamComplete(writer, {"one "}); });
    addEngine([&isDead](int, Http::HttpRequest const &request, Writer const &writer) {
        if (isDead)
            return writer->abort();
        if (request.target == "/health")
            return writer->respond({.body = "{}"});
        streamComplete(writer, {"one "});
    });
    startEntry();
    for (int turn = 0; turn < 40 && service_->view()->ejected().empty(); ++turn)
        ASSERT_TRUE(fetch(completion()));
    waitFor([this] { return service_->view()->ejected() == std::set{ServerId("engines-1")}; });
    isDead = false;
    waitFor([this] { return service_->view()->ejected().empty(); });
}

// Guards against an unreachable server that stays in use because no request waits for it long enough. Failed load polls have to count as
// evidence against it.
TEST_F(EntryFaultTest, UnreachableServerIsEjectedByLoadPolls)
{
    addEngine([](int, auto const &, Writer const &writer) { streamComplete(writer, {"one "}); });
    addAddress("engines", unusedAddress());
    settings_.loadPollsPerSecond = 100;
    startEntry();
    waitFor([this] { return service_->view()->ejected() == std::set{ServerId("engines-1")}; });
}

// Guards against sending new requests to a server that a leaving rule names.
TEST_F(EntryFaultTest, ServerWithALeavingRuleGetsNoNewRequests)
{
    auto &first = addEngine([](int, auto const &, Writer const &writer) { streamComplete(writer, {"one "}); });
    addEngine([](int, auto const &, Writer const &writer) { streamComplete(writer, {"one "}); });
    startEntry();
    for (int turn = 0; turn < 4; ++turn)
        ASSERT_TRUE(fetch(completion()));
    auto leaving = rules(2);
    leaving.leaving = {{.server = ServerId("engines-0")}};
    publish(leaving);
    waitFor([this] { return service_->view()->fleet().rules->generation == Generation(2); });
    auto const before = first.count();
    for (int turn = 0; turn < 20; ++turn)
        ASSERT_TRUE(fetch(completion()));
    EXPECT_EQ(first.count(), before);
}

// Guards against a view with an older rules generation that replaces a newer one.
TEST_F(EntryFaultTest, OlderGenerationIsNeverPublished)
{
    rules_ = rules(7);
    startEntry();
    publish(rules(6));
    publish(rules(8));
    waitFor([this] { return service_->view()->fleet().rules->generation == Generation(8); });
    publish(rules(7));
    // The control thread handles this report after the views published before it.
    service_->onUsageReport({});
    EXPECT_EQ(service_->view()->fleet().rules->generation, Generation(8));
}

// Guards against buffering a stream without bound while its caller reads slowly. AnswerRelay has to pause the exchange with the engine.
TEST_F(EntryFaultTest, SlowCallerPausesTheEngineAndMemoryStaysBounded)
{
    std::atomic<std::size_t> written = 0;
    std::promise<void> started;
    auto const piece = tokenEvent(std::string(16 * 1024, 'x'));
    std::function<void(Writer)> writeOn = [&](Writer writer) {
        writer->write(piece, [&, writer](Http::WriteOutcome outcome) {
            if (outcome == Http::WriteOutcome::CallerGone)
                return;
            written += piece.size();
            writeOn(writer);
        });
    };
    addEngine([&](int, auto const &, Writer const &writer) {
        writer->start(streamHead());
        started.set_value();
        writeOn(writer);
    });
    startEntry();
    std::shared_ptr<Http::Exchange> exchange;
    std::promise<void> arrived;
    thread_.call([&] {
        exchange = client_->send({.server = service_->address(), .request = completion(), .deadline = readLocalClock() + 30s},
                                 {.onHead = [&](auto const &) {
                                     exchange->pause();
                                     arrived.set_value();
                                 }});
    });
    arrived.get_future().get();
    // The engine's writes stop once the socket buffers are full.
    std::size_t before = 0;
    waitFor([&] {
        auto const now = written.load();
        std::this_thread::sleep_for(100ms);
        return written == now && std::exchange(before, now) == now;
    });
    EXPECT_LT(written, 32U * 1024 * 1024);
    thread_.call([&] { exchange->cancel(); });
    service_.reset();
}
