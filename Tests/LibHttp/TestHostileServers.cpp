#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpError.h"
#include "Tests/Fakes/ScriptedServer.h"
#include "Tests/LibHttp/LoopThread.h"

#include <array>
#include <charconv>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Http;
using Anvilyard::Tests::ScriptedServer;

namespace {

using Answer = tl::expected<HttpResponse, ExchangeFailure>;

constexpr std::string_view CompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// Tests of the client with a server that sends scripted bytes.
class HostileServersTest : public ::testing::Test
{
protected:
    void serve(ScriptedServer::Script script)
    {
        thread_.call([&] {
            server_ = ScriptedServer::create(thread_.loop(), std::move(script));
            client_ = HttpClient::create(thread_.loop(), {.headLimitBytes = 2000});
        });
    }

    /// Sends the bytes in response to the first request of each connection and then closes it.
    void serveOnce(std::string bytes)
    {
        serve([bytes = std::move(bytes)](ScriptedServer::Connection &connection, std::size_t) {
            connection.send(bytes);
            connection.close();
        });
    }

    void TearDown() override
    {
        thread_.call([&] {
            client_.reset();
            server_.reset();
        });
    }

    /// Sends the bytes in response to the first request of each connection, and then the same bytes again and again until the client closes
    /// the connection or the stand-in has sent `MaxEndlessBytes`.
    void serveEndlessly(std::string first, std::string repeated)
    {
        serve([this, first = std::move(first), repeated = std::move(repeated)](ScriptedServer::Connection &connection, std::size_t) {
            connection.send(first);
            std::string block;
            while (block.size() < EndlessBlockBytes)
                block += repeated;
            connection.sendFrom([this, block] {
                auto const isOver = endlessBytes_ >= MaxEndlessBytes;
                endlessBytes_ += block.size();
                return isOver ? std::string() : block;
            });
        });
    }

    void waitUntilServerHasNoConnection()
    {
        while (thread_.call([this] { return server_->openConnections(); }) > 0)
            std::this_thread::yield();
    }

    std::future<Answer> start(std::string target = "/",
                              Duration timeout = 10s,
                              ClientRequest::Framing framing = ClientRequest::Framing::Delimited,
                              std::function<bool(ResponseHead const &)> matchesRequest = nullptr)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        thread_.call([&] {
            client_->fetch({.server = server_->address(),
                            .request = {.method = "GET", .target = target},
                            .deadline = readLocalClock() + timeout,
                            .headTimeout = headTimeout_.value_or(timeout),
                            .progressTimeout = timeout,
                            .bodyLimitBytes = bodyLimitBytes_,
                            .framing = framing,
                            .matchesRequest = std::move(matchesRequest)},
                           [promise](Answer answer) { promise->set_value(std::move(answer)); });
        });
        return promise->get_future();
    }

    Answer fetch(std::string target = "/", Duration timeout = 10s)
    {
        return start(std::move(target), timeout).get();
    }

    Tests::LoopThread thread_;
    std::unique_ptr<ScriptedServer> server_;
    std::unique_ptr<HttpClient> client_;
    std::size_t bodyLimitBytes_ = 1000;
    /// Defaults to the timeout of the exchange.
    std::optional<Duration> headTimeout_;
    /// What an endless response sends at a time, and in all. The socket buffers of both sides hold less than MaxTakenBytes.
    static constexpr std::size_t EndlessBlockBytes = 64 * 1024;
    static constexpr std::size_t MaxEndlessBytes = 64 * 1024 * 1024;
    static constexpr std::size_t MaxTakenBytes = 16 * 1024 * 1024;
    std::size_t endlessBytes_ = 0;
};

/// Like a server of the platform, a response names its request in a header; one that names none is accepted.
bool matchesThis(ResponseHead const &head)
{
    return head.headers.find("Id").value_or("this") == "this";
}

struct EndlessResponseCase {
    std::string name;
    std::string first;
    std::string repeated;
    HttpError error;
};

std::vector<EndlessResponseCase> endlessHeads()
{
    return {
        {"bytes that are no HTTP", "", "\x16\x03\x01\xff", HttpError::Malformed},
        {"lines that are no HTTP", "", "hello\r\n", HttpError::Malformed},
        {"line ends", "", "\r\n", HttpError::Malformed},
        {"status line", "HTTP/1.1 200 ", "OK", HttpError::HeadTooLarge},
        {"header name", "HTTP/1.1 200 OK\r\n", "name", HttpError::HeadTooLarge},
        {"header value", "HTTP/1.1 200 OK\r\nName: ", "value", HttpError::HeadTooLarge},
        {"header fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", HttpError::HeadTooLarge},
    };
}

std::vector<EndlessResponseCase> endlessBodies()
{
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"body of chunks", chunked, "5\r\nhello\r\n", HttpError::BodyTooLarge},
        {"body of chunks, status 500",
         "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n",
         "5\r\nhello\r\n",
         HttpError::BodyTooLarge},
        {"body until close", "HTTP/1.1 200 OK\r\n\r\n", "hello", HttpError::BodyTooLarge},
        {"body until close, status 500", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "hello", HttpError::BodyTooLarge},
        {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "hello", HttpError::BodyTooLarge},
    };
}

/// The parts of a chunked body that carry no byte of it.
std::vector<EndlessResponseCase> endlessFraming()
{
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"size of a chunk", chunked, "0", HttpError::Malformed},
        {"size of a chunk after a chunk", chunked + "5\r\nhello\r\n", "0", HttpError::Malformed},
        {"extension of a chunk", chunked + "5;name=", "value", HttpError::Malformed},
        {"extensions of a chunk", chunked + "5", ";name=value", HttpError::Malformed},
        {"extension of the last chunk", chunked + "0;name=", "value", HttpError::Malformed},
        {"trailer", chunked + "0\r\nName: ", "value", HttpError::Malformed},
        {"trailers", chunked + "5\r\nhello\r\n0\r\n", "Name: value\r\n", HttpError::Malformed},
    };
}

/// Responses that are read and discarded before the expected one.
std::vector<EndlessResponseCase> endlessOtherResponses()
{
    std::string const other = "HTTP/1.1 200 OK\r\nId: other\r\n";
    return {
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", HttpError::HeadTooLarge},
        {"interim responses with a header", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", HttpError::HeadTooLarge},
        {"responses to other requests", "", other + "Content-Length: 5\r\n\r\nhello", HttpError::BodyTooLarge},
        {"responses to other requests, in chunks",
         "",
         other + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
         HttpError::BodyTooLarge},
        {"responses to other requests, without a body", "", other + "Content-Length: 0\r\n\r\n", HttpError::BodyTooLarge},
        {"body of a response to another request",
         other + "Transfer-Encoding: chunked\r\n\r\n",
         "5;name=value\r\nhello\r\n",
         HttpError::BodyTooLarge},
    };
}

struct BadResponseCase {
    std::string name;
    std::string bytes;
    HttpError error;
    Reached reached;
};

std::vector<BadResponseCase> badResponses()
{
    std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string const longText(3000, 'x');
    std::vector<BadResponseCase> cases = {
        {"empty", "", HttpError::ClosedEarly, Reached::Sent},
        {"not HTTP", "hello\r\n\r\n", HttpError::Malformed, Reached::Sent},
        {"bad status", "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", HttpError::Malformed, Reached::Sent},
        {"bad version", "HTTP/9.1 200 OK\r\nContent-Length: 0\r\n\r\n", HttpError::Malformed, Reached::Sent},
        {"oversize head", "HTTP/1.1 200 OK\r\nA: " + longText + "\r\n\r\n", HttpError::HeadTooLarge, Reached::Sent},
        {"endless head", "HTTP/1.1 200 OK\r\nA: " + longText, HttpError::HeadTooLarge, Reached::Sent},
        {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", HttpError::Malformed, Reached::Sent},
        {"length and chunks",
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         HttpError::Malformed,
         Reached::Sent},
        {"unknown coding",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         HttpError::Malformed,
         Reached::ResponseStarted},
        {"body until close", "HTTP/1.1 200 OK\r\n\r\nhello", HttpError::Malformed, Reached::ResponseStarted},
        {"oversize body by length", "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n", HttpError::BodyTooLarge, Reached::Sent},
        {"oversize body by chunks", chunked + "bb8\r\n" + longText + "\r\n0\r\n\r\n", HttpError::BodyTooLarge, Reached::ResponseStarted},
        {"bad chunk size", chunked + "zz\r\nhello\r\n0\r\n\r\n", HttpError::Malformed, Reached::ResponseStarted},
        {"chunk longer than its size", chunked + "3\r\nhello\r\n0\r\n\r\n", HttpError::Malformed, Reached::ResponseStarted},
        {"length longer than the body",
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
         HttpError::ClosedEarly,
         Reached::ResponseStarted},
        {"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nhello", HttpError::Malformed, Reached::Sent},
        {"interim response only", "HTTP/1.1 103 Early Hints\r\n\r\n", HttpError::ClosedEarly, Reached::Sent},
    };
    for (std::string const field : {"A B: c", "A : b", "A\tB: c", "A\x01: b", "A\xc3: b", "\"A\": b", ": b", "A", "A: b\x01", "A: b\rc"}) {
        cases.push_back({.name = "header field " + field,
                         .bytes = "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 5\r\n\r\nhello",
                         .error = HttpError::Malformed,
                         .reached = Reached::Sent});
    }
    // The parser accepts any three digits, although a status begins with 1 to 5 (RFC 9110, section 15).
    for (std::string const status : {"000", "001", "042", "099", "600", "999"}) {
        cases.push_back({.name = "status " + status,
                         .bytes = "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nhello",
                         .error = HttpError::Malformed,
                         .reached = Reached::Sent});
    }
    return cases;
}

} // namespace

/// Guards against reading a head or a body without end: the client fails and closes the connection.
TEST_F(HostileServersTest, EndlessHeadsAndBodiesAreCutOff)
{
    auto cases = endlessHeads();
    for (auto &body : endlessBodies())
        cases.push_back(std::move(body));
    for (auto const &[name, first, repeated, error] : cases) {
        serveEndlessly(first, repeated);
        auto const answer = start("/", 10s, ClientRequest::Framing::CloseMayEnd).get();
        ASSERT_FALSE(answer) << name;
        EXPECT_EQ(answer.error().error.code, error) << name << ": " << answer.error().error.toString();
        waitUntilServerHasNoConnection();
        EXPECT_LT(std::exchange(endlessBytes_, 0), MaxTakenBytes) << name;
        TearDown();
    }
    serveOnce("");
}

/// Guards against buffering the framing of a chunked body without limit. The parser needs the complete line of a chunk, or all trailers,
/// and counts neither as part of the head or the body.
TEST_F(HostileServersTest, EndlessFramingOfChunksIsCutOff)
{
    for (auto const &[name, first, repeated, error] : endlessFraming()) {
        serveEndlessly(first, repeated);
        auto const answer = fetch("/", 3s);
        ASSERT_FALSE(answer) << name;
        EXPECT_EQ(answer.error().error.code, error) << name << ": " << answer.error().error.toString();
        waitUntilServerHasNoConnection();
        EXPECT_LT(std::exchange(endlessBytes_, 0), MaxTakenBytes) << name;
        TearDown();
    }
    serveOnce("");
}

/// Guards against reading and discarding other responses as fast as the server sends them, until the head timeout.
TEST_F(HostileServersTest, EndlessOtherResponsesAreCutOff)
{
    for (auto const &[name, first, repeated, error] : endlessOtherResponses()) {
        serveEndlessly(first, repeated);
        auto const answer = start("/", 3s, ClientRequest::Framing::CloseMayEnd, matchesThis).get();
        ASSERT_FALSE(answer) << name;
        EXPECT_EQ(answer.error().error.code, error) << name << ": " << answer.error().error.toString();
        EXPECT_EQ(answer.error().reached, Reached::Sent) << name;
        waitUntilServerHasNoConnection();
        EXPECT_LT(std::exchange(endlessBytes_, 0), MaxTakenBytes) << name;
        TearDown();
    }
    serveOnce("");
}

/// Invalid responses must be reported as failures. The parser alone accepts unknown transfer codings, a switch of protocols (101
/// looks like an interim response) and bodies that end with the connection, so ClientExchange has to check for them.
TEST_F(HostileServersTest, InvalidResponsesAreFailures)
{
    for (auto const &[name, bytes, error, reached] : badResponses()) {
        serveOnce(bytes);
        auto const answer = fetch();
        ASSERT_FALSE(answer) << name;
        EXPECT_EQ(answer.error().error.code, error) << name << ": " << answer.error().error.toString();
        EXPECT_EQ(answer.error().reached, reached) << name;
        TearDown();
    }
    serveOnce("");
}

/// A server answers an upload before it has read it, with a body that only the end of the connection ends, and resets the connection while
/// the rest is being written. Guards against taking the part that arrived for a complete response.
TEST_F(HostileServersTest, AResetDuringAnUploadIsAFailure)
{
    // The socket buffers of both sides hold less.
    constexpr std::size_t UploadBytes = 32UL * 1024 * 1024;
    for (std::string const body : {"", "part"}) {
        serve([body](ScriptedServer::Connection &connection, std::size_t) {
            connection.send("HTTP/1.1 200 OK\r\n\r\n" + body);
            connection.reset();
        });
        std::promise<Answer> promise;
        thread_.call([&] {
            client_->fetch({.server = server_->address(),
                            .request = {.method = "POST", .target = "/", .body = std::string(UploadBytes, 'x')},
                            .deadline = readLocalClock() + 10s,
                            .framing = ClientRequest::Framing::CloseMayEnd},
                           [&](Answer answer) { promise.set_value(std::move(answer)); });
        });
        EXPECT_FALSE(promise.get_future().get()) << body;
        TearDown();
    }
    serveOnce("");
}

/// A response truncated at any byte must be reported as a failure. It would be reported as complete if a close ended the body
/// before the parser is done.
TEST_F(HostileServersTest, ResponseTruncatedAtAnyByteIsAFailure)
{
    std::vector<std::string> const completeResponses = {
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    };
    std::string bytes;
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        connection.send(bytes);
        connection.close();
    });
    for (auto const &completeResponse : completeResponses) {
        for (std::size_t size = 0; size < completeResponse.size(); ++size) {
            thread_.call([&] { bytes = completeResponse.substr(0, size); });
            auto const answer = fetch();
            ASSERT_FALSE(answer) << completeResponse.substr(0, size);
            EXPECT_EQ(answer.error().error.code, HttpError::ClosedEarly) << completeResponse.substr(0, size);
        }
        thread_.call([&] { bytes = completeResponse; });
        EXPECT_TRUE(fetch()) << completeResponse;
    }
}

TEST_F(HostileServersTest, ResponseSentByteByByteIsComplete)
{
    std::string const completeResponse =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5;name=value\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\n";
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        for (auto const byte : completeResponse)
            connection.send(std::string(1, byte));
    });
    auto const answer = fetch();
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, "hello world");
    EXPECT_EQ(answer->status, 200);
}

/// Guards against an assertion of the parser, which ends the process, if the last chunk is the first one and arrives in certain pieces.
TEST_F(HostileServersTest, AnEmptyChunkedBodyMayArriveInAnyPieces)
{
    std::string const body = "0\r\n\r\n";
    for (std::size_t first = 0; first < body.size(); ++first) {
        for (std::size_t second = first; second < body.size(); ++second) {
            std::unique_ptr<Timer> timer;
            serve([&](ScriptedServer::Connection &connection, std::size_t) {
                connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body.substr(0, first));
                timer = thread_.loop().at(readLocalClock() + 5ms, [&, handle = connection.handle()] {
                    if (auto const started = handle.lock())
                        started->send(body.substr(first, second - first));
                    timer = thread_.loop().at(readLocalClock() + 5ms, [&, handle] {
                        if (auto const started = handle.lock())
                            started->send(body.substr(second));
                    });
                });
            });
            auto const answer = fetch();
            EXPECT_TRUE(answer) << first << " " << second;
            thread_.call([&] { timer.reset(); });
            TearDown();
        }
    }
    serveOnce("");
}

/// Guards against reading a connection again that was closed at the start of a chunked body, which would time out.
TEST_F(HostileServersTest, AChunkedBodyThatEndsAtItsStartIsClosedEarly)
{
    std::string const body = "0\r\n\r\n";
    for (std::size_t size = 0; size < body.size(); ++size) {
        std::unique_ptr<Timer> timer;
        serve([&](ScriptedServer::Connection &connection, std::size_t) {
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body.substr(0, size));
            timer = thread_.loop().at(readLocalClock() + 5ms, [handle = connection.handle()] {
                if (auto const started = handle.lock())
                    started->close();
            });
        });
        auto const answer = fetch();
        ASSERT_FALSE(answer) << size;
        EXPECT_EQ(answer.error().error.code, HttpError::ClosedEarly) << size;
        thread_.call([&] { timer.reset(); });
        TearDown();
    }
    serveOnce("");
}

/// Bytes after the end of a response must not be used for the next request. That would happen if a connection with surplus bytes
/// were reused, whether they arrive with the response or while the connection is idle.
TEST_F(HostileServersTest, SurplusBytesAreNeverUsedForTheNextRequest)
{
    std::string const foreign = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign";
    std::vector<std::string> const surplus = {foreign, "x", "\r\n", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n"};
    for (auto const &bytes : surplus) {
        serve([&, bytes](ScriptedServer::Connection &connection, std::size_t) {
            connection.send(connection.index() == 0 ? std::string(CompleteResponse) + bytes : std::string(CompleteResponse));
        });
        EXPECT_EQ(fetch()->body, "hello") << bytes;
        auto const next = fetch();
        ASSERT_TRUE(next) << bytes << next.error().error.toString();
        EXPECT_EQ(next->body, "hello") << bytes;
        EXPECT_EQ(thread_.call([&] { return server_->connections(); }), 2U) << bytes;
        TearDown();
    }
    serveOnce("");
}

/// Bytes that arrive on an idle connection just before the next request must prevent its reuse. The loop has not processed them
/// yet, so IdleConnections::take() has to check the socket itself.
TEST_F(HostileServersTest, StaleBytesOnAnIdleConnectionPreventItsReuse)
{
    ScriptedServer::Connection *first = nullptr;
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        if (connection.index() == 0)
            first = &connection;
        connection.send(std::string(CompleteResponse));
    });
    EXPECT_EQ(fetch()->body, "hello");
    std::promise<Answer> promise;
    thread_.call([&] {
        first->send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign");
        client_->fetch({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                       [&](Answer answer) { promise.set_value(std::move(answer)); });
    });
    EXPECT_EQ(promise.get_future().get()->body, "hello");
    EXPECT_EQ(thread_.call([&] { return server_->connections(); }), 2U);
}

/// A connection on which an exchange timed out must be closed. A late response on it would otherwise reach another request.
TEST_F(HostileServersTest, TimedOutConnectionIsNotReused)
{
    serve([](ScriptedServer::Connection &connection, std::size_t request) {
        // The first connection stops in the middle of its second response.
        if (connection.index() == 0 && request > 0)
            return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe");
        connection.send(std::string(CompleteResponse));
    });
    EXPECT_TRUE(fetch());
    auto const silent = fetch("/", 200ms);
    ASSERT_FALSE(silent);
    EXPECT_EQ(silent.error().error.code, HttpError::Silent);
    EXPECT_EQ(silent.error().connection, ConnectionUse::Reused);
    EXPECT_EQ(silent.error().reached, Reached::ResponseStarted);
    EXPECT_TRUE(fetch());
    EXPECT_EQ(thread_.call([&] { return server_->connections(); }), 2U);
}

TEST_F(HostileServersTest, FailureOnAClosedReusedConnectionReportsTheReuse)
{
    serve([](ScriptedServer::Connection &connection, std::size_t request) {
        if (request > 0)
            return connection.close();
        connection.send(std::string(CompleteResponse));
    });
    EXPECT_TRUE(fetch());
    auto const closed = fetch();
    ASSERT_FALSE(closed);
    EXPECT_EQ(closed.error().connection, ConnectionUse::Reused);
    EXPECT_EQ(closed.error().reached, Reached::Sent);
}

/// Interim responses must not extend the deadline of the exchange without limit.
TEST_F(HostileServersTest, EndlessInterimResponsesTimeOut)
{
    std::unique_ptr<Timer> timer;
    std::function<void(std::weak_ptr<ScriptedServer::Connection> const &)> hint = [&](auto const &handle) {
        auto const connection = handle.lock();
        if (!connection)
            return;
        connection->send("HTTP/1.1 103 Early Hints\r\n\r\n");
        timer = thread_.loop().at(readLocalClock() + 10ms, [&hint, handle] { hint(handle); });
    };
    serve([&](ScriptedServer::Connection &connection, std::size_t) { hint(connection.handle()); });
    auto const answer = fetch("/", 300ms);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().error.code, HttpError::Silent);
    thread_.call([&] { timer.reset(); });
}

/// Guards against waiting for a head beyond its timeout while other responses arrive: interim responses, or those to other requests.
TEST_F(HostileServersTest, OtherResponsesDoNotExtendTheWaitForTheHead)
{
    constexpr Duration Interval = 30ms;
    constexpr std::size_t Repetitions = 100;
    headTimeout_ = 200ms;
    bodyLimitBytes_ = 100'000;
    std::vector<std::pair<std::string, std::string>> const cases = {
        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nhello"},
        {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
    };
    for (auto const &responses : cases) {
        auto const &first = responses.first;
        auto const &repeated = responses.second;
        std::unique_ptr<Timer> timer;
        std::size_t sent = 0;
        std::function<void(std::weak_ptr<ScriptedServer::Connection> const &)> repeat = [&](auto const &handle) {
            auto const connection = handle.lock();
            if (!connection)
                return;
            if (sent++ == Repetitions)
                return connection->send(std::string(CompleteResponse));
            connection->send(repeated);
            timer = thread_.loop().at(readLocalClock() + Interval, [&repeat, handle] { repeat(handle); });
        };
        serve([&](ScriptedServer::Connection &connection, std::size_t) {
            connection.send(first);
            repeat(connection.handle());
        });
        auto const answer = start("/", 20s, ClientRequest::Framing::CloseMayEnd, matchesThis).get();
        EXPECT_FALSE(answer) << first << repeated;
        if (!answer) {
            EXPECT_EQ(answer.error().error.code, HttpError::Silent) << first << repeated;
            EXPECT_EQ(answer.error().reached, Reached::Sent) << first << repeated;
        }
        thread_.call([&] { timer.reset(); });
        TearDown();
    }
    serveOnce("");
}

TEST_F(HostileServersTest, CancelledExchangeCallsNoHandler)
{
    serve([](ScriptedServer::Connection &connection, std::size_t) { connection.send(std::string(CompleteResponse)); });
    bool called = false;
    thread_.call([&] {
        auto const exchange =
            client_->send({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                          {.onHead = [&](auto const &) { called = true; },
                           .onPiece = [&](auto) { called = true; },
                           .onEnd = [&] { called = true; },
                           .onFailure = [&](auto const &) { called = true; }});
        exchange->cancel();
    });
    EXPECT_TRUE(fetch());
    EXPECT_FALSE(thread_.call([&] { return called; }));
}

/// A paused exchange must not deliver any bytes, so that the memory of a slow consumer stays bounded.
TEST_F(HostileServersTest, PausedExchangeDeliversNothing)
{
    std::string const body(900, 'x');
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + body);
    });
    std::string received;
    std::promise<void> headReceived;
    std::promise<void> ended;
    std::shared_ptr<Exchange> exchange;
    thread_.call([&] {
        exchange =
            client_->send({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                          {.onHead =
                               [&](auto const &) {
                                   exchange->pause();
                                   headReceived.set_value();
                               },
                           .onPiece = [&](std::string_view piece) { received += piece; },
                           .onEnd = [&] { ended.set_value(); }});
    });
    headReceived.get_future().wait();
    EXPECT_EQ(thread_.call([&] { return received; }), "");
    thread_.call([&] { exchange->resume(); });
    ended.get_future().wait();
    EXPECT_EQ(thread_.call([&] { return received; }), body);
}

/// Any response, in any pieces and truncated anywhere, is complete or a failure, and the client remains usable.
RC_GTEST_FIXTURE_PROP(HostileServersTest, AnyInputEndsTheExchangeOnce, ())
{
    auto const piece = rc::gen::element<std::string>("HTTP/1.1 200 OK\r\n",
                                                     "HTTP/1.1 100 Continue\r\n",
                                                     "HTTP/1.0 204 No\r\n",
                                                     "Content-Length: 3\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Connection: close\r\n",
                                                     "\r\n",
                                                     "3\r\nabc\r\n",
                                                     "0\r\n\r\n",
                                                     "\r",
                                                     "\n",
                                                     "abc",
                                                     std::string("\0\xff", 2));
    auto const pieces = *rc::gen::container<std::vector<std::string>>(piece);
    if (server_)
        TearDown();
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        if (connection.index() > 0)
            return connection.send(std::string(CompleteResponse));
        for (auto const &bytes : pieces)
            connection.send(bytes);
        connection.close();
    });
    auto const answer = fetch();
    if (!answer)
        RC_ASSERT(answer.error().error.code != HttpError::Silent);
    thread_.call([&] { client_->dropIdle(server_->address()); });
    auto const next = fetch();
    RC_ASSERT(next.has_value());
    RC_ASSERT(next->body == "hello");
}

/// A body without a length or chunks ends with an orderly close. Guards against taking a reset for its end: the response would look
/// complete although the server broke off.
TEST_F(HostileServersTest, OnlyAnOrderlyCloseEndsABodyWithoutALength)
{
    for (auto const isReset : {false, true}) {
        serve([isReset](ScriptedServer::Connection &connection, std::size_t) {
            connection.send("HTTP/1.1 200 OK\r\n\r\nhello");
            isReset ? connection.reset() : connection.close();
        });
        auto const answer = start("/", 10s, ClientRequest::Framing::CloseMayEnd).get();
        EXPECT_EQ(answer.has_value(), !isReset);
        if (answer)
            EXPECT_EQ(answer->body, "hello");
        else
            EXPECT_EQ(answer.error().error.code, HttpError::ClosedEarly);
        TearDown();
    }
    serveOnce("");
}

/// A body without a length is cut by a reset that arrives while the exchange is paused. Guards against taking the end of the connection at
/// the resume for the end of the body.
TEST_F(HostileServersTest, AResetWhileTheExchangeIsPausedIsAFailure)
{
    ScriptedServer::Connection *peer = nullptr;
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        peer = &connection;
        connection.send("HTTP/1.1 200 OK\r\n\r\nhello");
    });
    std::promise<void> pieceReceived;
    std::promise<bool> ended;
    std::shared_ptr<Exchange> exchange;
    thread_.call([&] {
        exchange = client_->send({.server = server_->address(),
                                  .request = {.method = "GET", .target = "/"},
                                  .deadline = readLocalClock() + 10s,
                                  .framing = ClientRequest::Framing::CloseMayEnd},
                                 {.onPiece =
                                      [&](std::string_view) {
                                          exchange->pause();
                                          pieceReceived.set_value();
                                      },
                                  .onEnd = [&] { ended.set_value(true); },
                                  .onFailure = [&](ExchangeFailure const &) { ended.set_value(false); }});
    });
    pieceReceived.get_future().wait();
    thread_.call([&] { peer->reset(); });
    thread_.call([&] { exchange->resume(); });
    EXPECT_FALSE(ended.get_future().get());
}

/// Surplus bytes may arrive in any pieces: with the response, while the connection is idle or before the next response. Guards against
/// handing them to the next request.
RC_GTEST_FIXTURE_PROP(HostileServersTest, SurplusBytesInAnyPiecesReachNoRequest, ())
{
    std::string const surplus = *rc::gen::element<std::string>("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 7\r\n\r\nforeign",
                                                               "HTTP/1.1 200 OK\r\nId: other\r\n\r\nforeign",
                                                               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: other\r\n\r\n",
                                                               "garbage\r\n\r\n");
    auto const withFirst = *rc::gen::inRange<std::size_t>(0, surplus.size() + 1);
    auto const whileIdle = *rc::gen::inRange<std::size_t>(withFirst, surplus.size() + 1);
    std::string const own = "HTTP/1.1 200 OK\r\nId: this\r\nContent-Length: 5\r\n\r\nhello";
    if (server_)
        TearDown();
    ScriptedServer::Connection *first = nullptr;
    serve([&](ScriptedServer::Connection &connection, std::size_t request) {
        if (connection.index() > 0)
            return connection.send(own);
        if (request > 0) {
            connection.send(surplus.substr(whileIdle) + own);
            return connection.close();
        }
        first = &connection;
        connection.send(own + surplus.substr(0, withFirst));
    });
    auto const answer = start("/", 10s, ClientRequest::Framing::CloseMayEnd, matchesThis).get();
    RC_ASSERT(answer.has_value());
    RC_ASSERT(answer->body == "hello");
    // Sent only if nothing came with the first response, because the connection is closed then.
    if (withFirst == 0 && whileIdle > 0)
        thread_.call([&] { first->send(surplus.substr(0, whileIdle)); });
    auto const next = start("/", 10s, ClientRequest::Framing::CloseMayEnd, matchesThis).get();
    if (next)
        RC_ASSERT(next->body == "hello");
    else
        RC_ASSERT(whileIdle < surplus.size());
}

/// A body of any size in chunks of any size must arrive unchanged, also where its end meets the end of the client's buffer, and bytes that
/// follow it in the same segment must not become part of it.
RC_GTEST_FIXTURE_PROP(HostileServersTest, BodiesOfAnySizeArriveUnchanged, ())
{
    auto const size = *rc::gen::element<std::size_t>(0, 1, 5, 16383, 16384, 16385, 32768, 40000);
    auto const chunkSize = *rc::gen::element<std::size_t>(0, 1000, 16383, 16384, 16385, 50000);
    auto const segment = *rc::gen::element<std::size_t>(777, 16384, 100000);
    std::string body;
    for (std::size_t index = 0; index < size; ++index)
        body += static_cast<char>('a' + index % 23);
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    if (chunkSize == 0) {
        bytes += "Content-Length: " + std::to_string(size) + "\r\n\r\n" + body;
    } else {
        bytes += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < size; at += chunkSize) {
            auto const chunk = body.substr(at, chunkSize);
            std::array<char, 20> hex{};
            auto const end = std::to_chars(hex.data(), hex.data() + hex.size(), chunk.size(), 16).ptr;
            bytes += std::string(hex.data(), end) + "\r\n" + chunk + "\r\n";
        }
        bytes += "0\r\nTrailer: x\r\n\r\n";
    }
    bytes += *rc::gen::element<std::string>("", "surplus", std::string(CompleteResponse));
    if (server_)
        TearDown();
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        for (std::size_t at = 0; at < bytes.size(); at += segment)
            connection.send(bytes.substr(at, segment));
    });
    bodyLimitBytes_ = 100'000;
    auto const answer = fetch();
    RC_ASSERT(answer.has_value());
    RC_ASSERT(answer->body == body);
}

/// Trailers that look like framing or name another request must neither end the response differently nor change its head.
TEST_F(HostileServersTest, TrailersChangeNeitherHeadNorFraming)
{
    for (std::string const trailer : {"Content-Length: 3", "Transfer-Encoding: chunked", "Id: other", "Connection: close", "x"}) {
        serve([&](ScriptedServer::Connection &connection, std::size_t) {
            connection.send("HTTP/1.1 200 OK\r\nId: this\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + trailer + "\r\n\r\n");
            connection.close();
        });
        auto const answer = start("/", 10s, ClientRequest::Framing::Delimited, matchesThis).get();
        if (answer) {
            EXPECT_EQ(answer->body, "hello") << trailer;
            EXPECT_EQ(answer->headers.find("Id"), "this") << trailer;
            EXPECT_FALSE(answer->headers.contains("Content-Length")) << trailer;
        } else {
            EXPECT_EQ(answer.error().error.code, HttpError::Malformed) << trailer;
        }
        TearDown();
    }
    serveOnce("");
}

/// Guards against an end that is reported while the exchange is paused, and against bytes that are lost, repeated or reordered when it is
/// paused and resumed while a read is pending.
TEST_F(HostileServersTest, PauseAndResumeWhileAReadIsPendingKeepTheOrder)
{
    ScriptedServer::Connection *peer = nullptr;
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        peer = &connection;
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    });
    std::string received;
    bool isEnded = false;
    bool isPaused = false;
    std::promise<void> headReceived;
    std::promise<void> ended;
    std::shared_ptr<Exchange> exchange;
    thread_.call([&] {
        exchange =
            client_->send({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                          {.onHead = [&](ResponseHead const &) { headReceived.set_value(); },
                           .onPiece = [&](std::string_view piece) { received += piece; },
                           .onEnd =
                               [&] {
                                   EXPECT_FALSE(isPaused);
                                   isEnded = true;
                                   ended.set_value();
                               }});
    });
    headReceived.get_future().wait();
    // The read of the body is pending from now on.
    thread_.call([&] {
        exchange->pause();
        exchange->resume();
        exchange->pause();
        isPaused = true;
        peer->send("01234");
    });
    thread_.call([&] { peer->send("56789"); });
    thread_.call([&] { EXPECT_FALSE(isEnded); });
    thread_.call([&] {
        isPaused = false;
        exchange->resume();
        exchange->resume();
    });
    ended.get_future().wait();
    EXPECT_EQ(thread_.call([&] { return received; }), "0123456789");
}

/// A part of a surplus response stands before the expected one. Guards against a head made of both: a status line that is cut within its
/// reason, or a header that is cut within its value, leaves a valid head with the status of the one and the headers of the other.
TEST_F(HostileServersTest, AResponseIsNeverJoinedWithAPartOfAnotherOne)
{
    std::vector<std::string> const surpluses = {
        "HTTP/1.1 200 OK\r\nServer: s\r\nId: other\r\nContent-Length: 7\r\n\r\nforeign",
        "HTTP/1.1 200 OK\r\nServer: s\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 7\r\n\r\nforeign",
    };
    std::vector<std::string> const expected = {
        "HTTP/1.1 503 Service Unavailable\r\nId: this\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 503 Service Unavailable\r\nId: this\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    };
    std::string bytes;
    serve([&](ScriptedServer::Connection &connection, std::size_t) {
        connection.send(bytes);
        connection.close();
    });
    for (auto const &surplus : surpluses) {
        for (auto const &own : expected) {
            for (std::size_t size = 0; size <= surplus.size(); ++size) {
                thread_.call([&] { bytes = surplus.substr(0, size) + own; });
                auto const answer = start("/", 10s, ClientRequest::Framing::CloseMayEnd, matchesThis).get();
                if (!answer) {
                    EXPECT_GT(size, 0U);
                    EXPECT_LT(size, surplus.size());
                    continue;
                }
                EXPECT_EQ(answer->status, 503) << bytes;
                EXPECT_EQ(answer->body, "hello") << bytes;
                EXPECT_FALSE(answer->headers.contains("Server")) << bytes;
            }
        }
    }
}

/// Guards against a handler whose captures are moved away while it runs. std::function keeps small captures in itself, so a handler that
/// cancels its exchange would read what the next assignment left there.
TEST_F(HostileServersTest, SmallCapturesOutliveACancelFromWithinTheirHandler)
{
    struct Context {
        std::shared_ptr<Exchange> exchange;
        std::promise<std::string> received;
    };
    Context context;
    serve([](ScriptedServer::Connection &connection, std::size_t) { connection.send(std::string(CompleteResponse)); });
    thread_.call([&] {
        context.exchange =
            client_->send({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                          {.onPiece = [&context](std::string_view piece) {
                              context.exchange->cancel();
                              context.received.set_value(std::string(piece));
                          }});
    });
    EXPECT_EQ(context.received.get_future().get(), "hello");
}
