#include "LibHttp/DeadlineSweep.h"
#include "LibHttp/HttpError.h"
#include "LibHttp/HttpServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "Tests/LibHttp/RawConnection.h"

#include <algorithm>
#include <future>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>

using namespace Anvilyard;
using namespace Anvilyard::Http;
using Anvilyard::Tests::RawConnection;
using ::testing::HasSubstr;
using ::testing::StartsWith;

namespace {

constexpr std::size_t HeadLimit = 2000;
constexpr std::size_t BodyLimit = 10'000;

/// A server that responds to each request with its method, target and body, and records the handled requests.
class HostileCallersTest : public ::testing::Test
{
protected:
    void serve(HttpServerOptions options = {})
    {
        options.listen = Address("127.0.0.1:0");
        options.limits.headLimitBytes = HeadLimit;
        options.limits.bodyLimitBytes = BodyLimit;
        serve(std::move(options), [this](HttpRequest const &request, std::shared_ptr<ResponseWriter> const &writer) {
            handled_.push_back(request);
            writer->respond({.body = request.method + " " + request.target + " " + request.body});
        });
    }

    void serve(HttpServerOptions options, RequestHandler handler)
    {
        options.listen = Address("127.0.0.1:0");
        thread_.call([&] { server_ = std::move(*HttpServer::create(thread_.loop(), std::move(options), std::move(handler))); });
    }

    void TearDown() override
    {
        thread_.call([&] { server_.reset(); });
    }

    /// Sends the bytes, shuts down the sending side and returns everything received.
    std::string exchange(std::string_view bytes)
    {
        RawConnection connection(server_->address());
        connection.send(bytes);
        connection.finishSending();
        return connection.readAll();
    }

    std::vector<HttpRequest> handled()
    {
        return thread_.call([&] { return std::exchange(handled_, {}); });
    }

    Tests::LoopThread thread_;
    std::unique_ptr<HttpServer> server_;
    std::vector<HttpRequest> handled_;
};

struct RefusedCase {
    std::string name;
    std::string bytes;
    /// Empty if the connection is closed without a response.
    std::string status;
};

std::vector<RefusedCase> refusedCases()
{
    std::string const longText(3 * HeadLimit, 'x');
    std::string const longBody(BodyLimit + 1, 'x');
    std::string const post = "POST / HTTP/1.1\r\nHost: h\r\n";
    return {
        {"not HTTP", "hello there\r\n\r\n", "400"},
        {"TLS hello", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11) + "\r\n\r\n", "400"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "400"},
        {"version 3.7", "GET / HTTP/3.7\r\nHost: h\r\n\r\n", "400"},
        {"no version", "GET /\r\n\r\n", "400"},
        {"no target", "GET  HTTP/1.1\r\n\r\n", "400"},
        {"space in target", "GET /a b HTTP/1.1\r\n\r\n", "400"},
        {"control byte in target", "GET /\x01 HTTP/1.1\r\n\r\n", "400"},
        {"bad method", "G@T / HTTP/1.1\r\n\r\n", "400"},
        {"header without colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", "400"},
        {"space before colon", "GET / HTTP/1.1\r\nHost : h\r\n\r\n", "400"},
        {"empty header name", "GET / HTTP/1.1\r\n: h\r\n\r\n", "400"},
        {"control byte in value", std::string("GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n", 29), "400"},
        {"bare line feeds in a value", "GET / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n", "400"},
        {"long request line", "GET /" + longText + " HTTP/1.1\r\n\r\n", "431"},
        {"long header", "GET / HTTP/1.1\r\nA: " + longText + "\r\n\r\n", "431"},
        {"endless head", "GET / HTTP/1.1\r\nA: " + longText, "431"},
        {"length not a number", post + "Content-Length: five\r\n\r\nhello", "400"},
        {"length negative", post + "Content-Length: -5\r\n\r\nhello", "400"},
        {"length signed", post + "Content-Length: +5\r\n\r\nhello", "400"},
        {"length out of range", post + "Content-Length: 99999999999999999999\r\n\r\n", "400"},
        {"two lengths", post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", "400"},
        {"length and chunks", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {"chunks and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "400"},
        {"unknown transfer coding", post + "Transfer-Encoding: gzip\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", "400"},
        {"chunked not last", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n", "400"},
        {"two transfer codings", post + "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n\r\nGET /x HTTP/1.1\r\n\r\n", "400"},
        {"chunk size not a number", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", "400"},
        {"chunk size out of range", post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n", "400"},
        {"chunk longer than its size", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n", "400"},
        {"body over the limit by length", post + "Content-Length: " + std::to_string(longBody.size()) + "\r\n\r\n" + longBody, "413"},
        {"body over the limit by chunks", post + "Transfer-Encoding: chunked\r\n\r\n4000\r\n" + longBody, "413"},
        {"truncated head", "GET / HTTP/1.1\r\nHos", ""},
        {"truncated body", post + "Content-Length: 5\r\n\r\nhel", ""},
        {"truncated chunk", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", ""},
        {"missing last chunk", post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ""},
        {"empty", "", ""},
    };
}

} // namespace

/// Malformed requests must be refused as not run. The parser alone accepts unknown transfer codings and codings in which chunked
/// is not the last: it treats such a request as having no body and its body as the next request (request smuggling), so
/// ServerConnection::onHead has to check the coding.
TEST_F(HostileCallersTest, MalformedRequestsReachNoHandler)
{
    serve();
    for (auto const &[name, bytes, status] : refusedCases()) {
        auto const answer = exchange(bytes);
        EXPECT_TRUE(handled().empty()) << name;
        if (status.empty()) {
            EXPECT_EQ(answer, "") << name;
            continue;
        }
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 " + status)) << name;
        EXPECT_THAT(answer, HasSubstr(R"("not_run":true)")) << name;
        EXPECT_THAT(answer, HasSubstr("Connection: close")) << name;
    }
    EXPECT_EQ(thread_.call([&] { return server_->openExchanges(); }), 0U);
}

TEST_F(HostileCallersTest, UnusualValidRequestsAreAccepted)
{
    serve();
    std::vector<std::pair<std::string, std::string>> const cases = {
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;name=value\r\nhello\r\n0\r\nTrailer: x\r\n\r\n", "POST / hello"},
        {"POST / HTTP/1.1\r\ntransfer-encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "POST / hello"},
        {"POST / HTTP/1.0\r\nContent-Length: 5\r\n\r\nhello", "POST / hello"},
        {"GET /?a=%20&b HTTP/1.1\r\n\r\n", "GET /?a=%20&b "},
        {"BREW /pot HTTP/1.1\r\n\r\n", "BREW /pot "},
    };
    for (auto const &[bytes, body] : cases) {
        EXPECT_THAT(exchange(bytes), ::testing::EndsWith("\r\n\r\n" + body)) << bytes;
        EXPECT_EQ(handled().size(), 1U) << bytes;
    }
}

TEST_F(HostileCallersTest, PipelinedRequestsAreAnsweredInOrder)
{
    serve();
    std::string requests;
    std::string expected;
    for (int number = 0; number < 50; ++number) {
        auto const text = std::to_string(number);
        requests += "POST /" + text + " HTTP/1.1\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }
    auto const answers = exchange(requests + "GET /end HTTP/1.1\r\nConnection: close\r\n\r\n");
    std::size_t at = 0;
    for (int number = 0; number < 50; ++number) {
        auto const text = "POST /" + std::to_string(number) + " " + std::to_string(number);
        at = answers.find(text, at);
        ASSERT_NE(at, std::string::npos) << text;
    }
    EXPECT_NE(answers.find("GET /end ", at), std::string::npos);
}

/// A refusal after a HEAD request must have a body, which is missing if readHead does not reset the state of the earlier request.
TEST_F(HostileCallersTest, MalformedRequestAfterAHeadRequestIsRefusedWithABody)
{
    serve();
    auto const answers = exchange("HEAD / HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
    EXPECT_THAT(answers, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(answers, HasSubstr("HTTP/1.1 400"));
    EXPECT_THAT(answers, HasSubstr(R"("not_run":true)"));
}

/// Incomplete requests must be refused with 408 and idle connections closed when their deadline expires, or slow callers could
/// hold connections without limit.
TEST_F(HostileCallersTest, IncompleteRequestsAreRefusedAtTheDeadline)
{
    serve({.limits = {.requestTimeout = 100ms, .idleTimeout = 100ms}});
    for (auto const *const half : {"G",
                                   "GET / HTTP/1.1\r\n",
                                   "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel",
                                   "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"}) {
        RawConnection connection(server_->address());
        connection.send(half);
        EXPECT_THAT(connection.readAll(), StartsWith("HTTP/1.1 408")) << half;
        EXPECT_TRUE(connection.isEnded()) << half;
    }
    RawConnection idle(server_->address());
    EXPECT_EQ(idle.readAll(), "");
    EXPECT_TRUE(idle.isEnded());
    EXPECT_TRUE(handled().empty());
}

/// Guards against a parser that takes trailers, or the line of a chunk, of any size, and against framing that is a multiple of the body.
TEST_F(HostileCallersTest, EndlessFramingIsRefused)
{
    serve();
    std::string const start = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string const longText(3 * HeadLimit + 10'000, 'x');
    std::string extensions;
    for (int count = 0; count < 100; ++count)
        extensions += "1;" + std::string(HeadLimit / 2, 'x') + "\r\nx\r\n";
    for (auto const &framing : {"1\r\nx\r\n0\r\nA: " + longText, "1;" + longText, extensions}) {
        RawConnection connection(server_->address());
        connection.send(start + framing);
        auto const answer = connection.readAll();
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 413")) << framing.substr(0, 10);
        EXPECT_THAT(answer, HasSubstr("framing_too_large"));
        EXPECT_THAT(answer, HasSubstr("Connection: close"));
    }
    EXPECT_TRUE(handled().empty());
}

/// Guards against bodies that hold a connection until the end of the time for a request although their callers stopped sending, or send
/// only framing.
TEST_F(HostileCallersTest, ABodyThatStallsIsRefused)
{
    serve({.limits = {.bodyStallTimeout = 100ms}});
    for (auto const *const part : {"Content-Length: 5\r\n\r\nhel", "Transfer-Encoding: chunked\r\n\r\n5\r\nhel"}) {
        RawConnection connection(server_->address());
        connection.send(std::string("POST / HTTP/1.1\r\n") + part);
        auto const answer = connection.readAll();
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 408")) << part;
        EXPECT_THAT(answer, HasSubstr("Connection: close")) << part;
    }
    EXPECT_TRUE(handled().empty());
}

/// Guards against refusing a caller that is slow but goes on: its body takes far longer than it may stall.
TEST_F(HostileCallersTest, ASlowBodyThatGoesOnIsServed)
{
    serve({.limits = {.bodyStallTimeout = 400ms}});
    constexpr int Pieces = 10;
    std::string const piece(MemoryBudget::MinProgressBytes, 'x');
    RawConnection connection(server_->address());
    connection.send("POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(Pieces * piece.size()) + "\r\n\r\n");
    for (int sent = 0; sent < Pieces; ++sent) {
        std::this_thread::sleep_for(100ms);
        connection.send(piece);
    }
    EXPECT_THAT(connection.readAll(), StartsWith("HTTP/1.1 200"));
}

/// Guards against cutting off a caller that reads slowly, but steadily, because all that is queued takes longer than the write timeout.
TEST_F(HostileCallersTest, ASlowReaderThatGoesOnGetsTheWholeResponse)
{
    constexpr std::size_t ResponseBytes = 12UL * 1024 * 1024;
    serve({.writeTimeout = 400ms}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        writer->respond({.body = std::string(ResponseBytes, 'x')});
    });
    RawConnection connection(server_->address());
    connection.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    // As long as the caller has not received this much, the rest cannot be in the buffers of the system.
    constexpr std::size_t SlowBytes = 4UL * 1024 * 1024;
    std::size_t received = 0;
    for (auto pauseAt = SlowBytes / 16; received < SlowBytes; pauseAt += SlowBytes / 16) {
        std::this_thread::sleep_for(80ms);
        while (received < pauseAt) {
            auto const piece = connection.readPiece();
            ASSERT_FALSE(piece.empty()) << received;
            received += piece.size();
        }
    }
    received += connection.readAll().size();
    EXPECT_GT(received, ResponseBytes);
}

/// Guards against a crowd that fills the memory and stalls: it gets refusals that are true, and another caller is served.
TEST_F(HostileCallersTest, StalledBodiesMakeRoomForOthers)
{
    auto const budget = ConnectionBudget::create(thread_.loop(), 120'000);
    serve({.budget = budget});
    std::vector<std::unique_ptr<RawConnection>> stalled;
    for (int count = 0; count < 8; ++count) {
        stalled.push_back(std::make_unique<RawConnection>(server_->address()));
        stalled.back()->send("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + std::string(8000, 'x'));
    }
    EXPECT_THAT(exchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"), HasSubstr("hello"));
    EXPECT_EQ(handled().size(), 1U);
    EXPECT_LE(thread_.call([&] { return budget->memory().heldBytes(); }), 120'000U);
    stalled.front()->finishSending();
    auto const refusal = stalled.front()->readAll();
    EXPECT_TRUE(refusal.empty() || refusal.starts_with("HTTP/1.1 503")) << refusal;
}

/// The memory is short while a response is written. Guards against an end that makes it look complete, or refuses a request that ran.
TEST_F(HostileCallersTest, AResponseThatIsEndedForItsMemoryLooksIncomplete)
{
    for (std::string const version : {"1.0", "1.1"}) {
        serve({.budget = ConnectionBudget::create(thread_.loop(), 20'000'000)},
              [](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
                  writer->start({.status = 200});
                  writer->write(std::string(21'000'000, 'x'), [writer](WriteOutcome) { writer->finish(); });
              });
        RawConnection connection(server_->address());
        connection.send("GET / HTTP/" + version + "\r\n\r\n");
        auto const received = connection.readAll();
        EXPECT_TRUE(connection.isEnded());
        EXPECT_EQ(received.find("503"), std::string::npos);
        EXPECT_TRUE(version == "1.1" ? !received.ends_with("\r\n0\r\n\r\n") : connection.isReset()) << version;
        TearDown();
    }
}

/// A connection was made, and its request arrived, before the server stops accepting, but the loop has not noticed yet. Guards against
/// resetting it together with the listening socket.
TEST_F(HostileCallersTest, ARequestThatArrivedBeforeTheStopIsAnswered)
{
    serve();
    RawConnection first(server_->address());
    std::vector<std::unique_ptr<RawConnection>> waiting;
    thread_.call([&] {
        for (int count = 0; count < 3; ++count) {
            waiting.push_back(std::make_unique<RawConnection>(server_->address()));
            waiting.back()->send("GET /waiting HTTP/1.1\r\nConnection: close\r\n\r\n");
        }
        server_->announceLeaving();
        server_->stopAccepting();
        server_->closeIdle();
    });
    for (auto const &connection : waiting)
        EXPECT_THAT(connection->readAll(), HasSubstr("/waiting"));
}

/// Guards against a server that applies no deadlines any more after one of its callbacks failed.
TEST_F(HostileCallersTest, DeadlinesApplyAfterAnExceptionInAnotherOne)
{
    struct Holder final : DeadlineHolder {
        [[nodiscard]] Instant deadline() const override
        {
            return due;
        }
        void onDeadline() override
        {
            due = Instant::max();
            onDue();
        }
        Instant due = Instant::min();
        std::function<void()> onDue;
    };
    boost::asio::io_context io;
    auto const sweep = std::make_shared<DeadlineSweep>(io);
    auto const failing = std::make_shared<Holder>();
    failing->onDue = [] { throw std::runtime_error("fails"); };
    sweep->add(failing);
    bool isCalled = false;
    auto const next = std::make_shared<Holder>();
    next->onDue = [&] { isCalled = true; };
    next->due = Instant::max();
    sweep->add(next);
    EXPECT_THROW(io.run_one(), std::runtime_error);
    next->due = Instant::min();
    io.run_for(3s);
    EXPECT_TRUE(isCalled);
}

/// A streamed body that stalls, is truncated or is invalid must be reported to its consumer, which otherwise would wait for more
/// pieces without limit.
TEST_F(HostileCallersTest, StalledOrInvalidStreamedBodyIsReportedToItsConsumer)
{
    std::vector<std::error_code> errors;
    HttpServerOptions options{.streamedBodyLimitBytes = BodyLimit, .bodyProgressTimeout = 100ms};
    options.streamedBody = [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        // The writer is captured like in a consumer that responds later.
        return std::optional(BodySink{
            .onPiece = [](std::string_view, std::function<void()> const &next) { next(); },
            .onEnd = [writer] { writer->respond({.body = "complete"}); },
            .onError = [&errors, writer](Error const &error) { errors.push_back(error.code); },
        });
    };
    serve(options, [](HttpRequest const &, std::shared_ptr<ResponseWriter> const &) {});
    std::string const post = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    {
        RawConnection stalled(server_->address());
        stalled.send(post + "5\r\nhel");
        EXPECT_EQ(stalled.readAll(), "");
        EXPECT_TRUE(stalled.isEnded());
    }
    EXPECT_EQ(exchange(post + "5\r\nhel"), "");
    (void)exchange(post + "zz\r\n");
    (void)exchange(post + "4000\r\n" + std::string(0x4000, 'x') + "\r\n0\r\n\r\n");
    EXPECT_THAT(exchange(post + "5\r\nhello\r\n0\r\n\r\n"), ::testing::EndsWith("complete"));
    thread_.call([&] {
        ASSERT_EQ(errors.size(), 4U);
        EXPECT_EQ(errors[2], HttpError::Malformed);
        EXPECT_EQ(errors[3], HttpError::BodyTooLarge);
    });
}

/// Guards against an assertion of the parser, which ends the process, if the last chunk is the first one and arrives in certain pieces.
TEST_F(HostileCallersTest, AnEmptyChunkedBodyMayArriveInAnyPieces)
{
    constexpr std::chrono::milliseconds Pause(5);
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string const body = "0\r\n\r\n";
    HttpServerOptions streamed;
    streamed.streamedBody = [](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        return std::optional(BodySink{
            .onPiece = [](std::string_view, std::function<void()> const &next) { next(); },
            .onEnd = [writer] { writer->respond({.body = "complete"}); },
            .onError = [](Error const &) {},
        });
    };
    for (auto const &options : {HttpServerOptions{}, streamed}) {
        serve(options);
        for (std::size_t first = 0; first < body.size(); ++first) {
            for (std::size_t second = first; second < body.size(); ++second) {
                RawConnection connection(server_->address());
                connection.send(head + body.substr(0, first));
                std::this_thread::sleep_for(Pause);
                connection.send(body.substr(first, second - first));
                std::this_thread::sleep_for(Pause);
                connection.send(body.substr(second));
                connection.finishSending();
                EXPECT_THAT(connection.readAll(), StartsWith("HTTP/1.1 200")) << first << " " << second;
            }
        }
        TearDown();
    }
}

/// Guards against reading a connection again that was closed at the start of a chunked body, which would time out.
TEST_F(HostileCallersTest, AChunkedBodyThatEndsAtItsStartEndsTheConnection)
{
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string const body = "0\r\n\r\n";
    std::vector<std::error_code> errors;
    HttpServerOptions streamed;
    streamed.streamedBody = [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        return std::optional(BodySink{
            .onPiece = [](std::string_view, std::function<void()> const &next) { next(); },
            .onEnd = [writer] { writer->respond({.body = "complete"}); },
            .onError = [&errors, writer](Error const &error) { errors.push_back(error.code); },
        });
    };
    for (auto const &options : {HttpServerOptions{}, streamed}) {
        serve(options);
        for (std::size_t size = 0; size < body.size(); ++size) {
            RawConnection connection(server_->address());
            connection.send(head + body.substr(0, size));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            connection.finishSending();
            EXPECT_EQ(connection.readAll(), "") << size;
            EXPECT_TRUE(connection.isEnded()) << size;
        }
        TearDown();
    }
    EXPECT_EQ(errors, std::vector<std::error_code>(body.size(), make_error_code(HttpError::ClosedEarly)));
}

/// A caller that does not read its response must be disconnected after the write timeout, and pendingBytes() must include the
/// bytes of the running write. Otherwise such callers could occupy connections and memory without limit.
TEST_F(HostileCallersTest, SlowReaderIsDisconnectedWithBoundedBuffering)
{
    std::size_t written = 0;
    std::size_t maxPending = 0;
    std::promise<void> disconnected;
    std::function<void(std::shared_ptr<ResponseWriter> const &)> writeNext;
    writeNext = [&](std::shared_ptr<ResponseWriter> const &writer) {
        writer->write(std::string(64 * 1024, 'x'), [&, writer](WriteOutcome outcome) {
            if (outcome == WriteOutcome::CallerGone)
                return disconnected.set_value();
            written += 64 * 1024;
            writeNext(writer);
        });
        maxPending = std::max(maxPending, writer->pendingBytes());
    };
    serve({.writeTimeout = 200ms}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        writer->start({.status = 200});
        writeNext(writer);
    });
    RawConnection connection(server_->address());
    connection.send("GET / HTTP/1.1\r\n\r\n");
    disconnected.get_future().wait();
    thread_.call([&] {
        EXPECT_GT(written, 0U);
        EXPECT_LT(maxPending, 70U * 1024);
        EXPECT_EQ(server_->openExchanges(), 0U);
    });
    // The bytes sent before the disconnect must not form a complete response.
    EXPECT_THAT(connection.readAll(), ::testing::Not(HasSubstr("\r\n0\r\n\r\n")));
}

TEST_F(HostileCallersTest, ConnectionsOverTheLimitAreClosedImmediately)
{
    serve({.connectionLimit = 2});
    RawConnection first(server_->address());
    RawConnection second(server_->address());
    first.send("GET / HTTP/1.1\r\n\r\n");
    second.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_THAT(first.readUntil("GET / "), HasSubstr("200"));
    EXPECT_THAT(second.readUntil("GET / "), HasSubstr("200"));
    RawConnection third(server_->address());
    EXPECT_EQ(third.readAll(), "");
    EXPECT_TRUE(third.isEnded());
}

/// For any input in any pieces, the server responds or closes the connection and continues to serve other connections.
RC_GTEST_FIXTURE_PROP(HostileCallersTest, ServerKeepsServingAfterAnyInput, ())
{
    if (!server_)
        serve();
    auto const piece = rc::gen::element<std::string>("GET / HTTP/1.1\r\n",
                                                     "POST /a HTTP/1.1\r\n",
                                                     "Content-Length: 3\r\n",
                                                     "Transfer-Encoding: chunked\r\n",
                                                     "Expect: 100-continue\r\n",
                                                     "Connection: close\r\n",
                                                     "\r\n",
                                                     "3\r\nabc\r\n",
                                                     "0\r\n\r\n",
                                                     "\r",
                                                     "\n",
                                                     " ",
                                                     ":",
                                                     "abc",
                                                     std::string("\0\xff", 2));
    auto const pieces = *rc::gen::container<std::vector<std::string>>(piece);
    RawConnection connection(server_->address());
    for (auto const &bytes : pieces) {
        if (!connection.send(bytes))
            break;
    }
    connection.finishSending();
    (void)connection.readAll();
    RC_ASSERT(connection.isEnded());
    auto const answer = exchange("GET /good HTTP/1.1\r\nConnection: close\r\n\r\n");
    RC_ASSERT(answer.find("GET /good ") != std::string::npos);
}

/// Pipelined requests in any pieces must each reach the handler once, in order, with exactly their own body.
RC_GTEST_FIXTURE_PROP(HostileCallersTest, PipelinedRequestsInAnyPiecesKeepTheirBodies, ())
{
    if (!server_)
        serve();
    (void)handled();
    auto const bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("", "a", "0\r\n\r\n", "GET /smuggled HTTP/1.1\r\n\r\n", std::string(500, 'x')));
    std::string bytes;
    for (auto const &body : bodies) {
        auto const isChunked = *rc::gen::arbitrary<bool>();
        if (!isChunked) {
            bytes += "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            continue;
        }
        bytes += "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (auto const byte : body.substr(0, 30))
            bytes += std::string("1\r\n") + byte + "\r\n";
        if (body.size() > 30)
            bytes += "1d6\r\n" + body.substr(30) + "\r\n";
        bytes += "0\r\nTrailer: x\r\n\r\n";
    }
    bytes += "GET /end HTTP/1.1\r\nConnection: close\r\n\r\n";
    auto const segment = *rc::gen::inRange<std::size_t>(1, 3000);
    RawConnection connection(server_->address());
    for (std::size_t at = 0; at < bytes.size(); at += segment)
        RC_ASSERT(connection.send(std::string_view(bytes).substr(at, segment)));
    (void)connection.readAll();
    auto const requests = handled();
    RC_ASSERT(requests.size() == bodies.size() + 1);
    for (std::size_t index = 0; index < bodies.size(); ++index)
        RC_ASSERT(requests[index].body == bodies[index]);
    RC_ASSERT(requests.back().target == "/end");
}

/// A caller resets its connection while a response is written. Every write must be reported once, and none after the first failure as
/// written. Otherwise a relay waits without end, or reads on from its server for a caller that is gone.
TEST_F(HostileCallersTest, AWriteThatFailsHalfwayFailsAllQueuedWrites)
{
    constexpr int Writes = 100;
    std::string const piece(400'000, 'x');
    std::vector<WriteOutcome> outcomes;
    std::promise<void> reported;
    serve({}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        writer->start({.status = 200});
        for (int count = 0; count < Writes; ++count) {
            writer->write(piece, [&, writer](WriteOutcome outcome) {
                outcomes.push_back(outcome);
                if (outcomes.size() == Writes)
                    reported.set_value();
            });
        }
    });
    {
        RawConnection connection(server_->address());
        connection.send("GET / HTTP/1.1\r\n\r\n");
        EXPECT_THAT(connection.readUntil("xx"), HasSubstr("200"));
    }
    reported.get_future().wait();
    thread_.call([&] {
        EXPECT_EQ(outcomes.size(), static_cast<std::size_t>(Writes));
        EXPECT_TRUE(std::is_partitioned(outcomes.begin(), outcomes.end(), [](auto outcome) { return outcome == WriteOutcome::Written; }));
        EXPECT_EQ(outcomes.back(), WriteOutcome::CallerGone);
        EXPECT_EQ(server_->openExchanges(), 0U);
    });
}

/// An aborted response must not look complete, however much of it is still queued: no last chunk, or a reset where only the connection's
/// end ends the body, as for a caller of HTTP/1.0.
TEST_F(HostileCallersTest, AnAbortedResponseNeverLooksComplete)
{
    std::string const piece(100'000, 'x');
    for (auto const isQueued : {false, true}) {
        for (std::string const version : {"1.0", "1.1"}) {
            std::promise<void> aborted;
            serve({}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
                writer->start({.status = 200});
                auto const abort = [&, writer](WriteOutcome) {
                    writer->abort();
                    aborted.set_value();
                };
                writer->write("some", isQueued ? std::function<void(WriteOutcome)>() : abort);
                if (!isQueued)
                    return;
                for (int count = 0; count < 20; ++count)
                    writer->write(piece, nullptr);
                abort(WriteOutcome::Written);
            });
            RawConnection connection(server_->address());
            connection.send("GET / HTTP/" + version + "\r\n\r\n");
            aborted.get_future().wait();
            auto const received = connection.readAll();
            EXPECT_TRUE(connection.isEnded());
            EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos);
            EXPECT_TRUE(version == "1.1" || connection.isReset()) << (isQueued ? "queued" : "written");
            TearDown();
        }
    }
}

/// A handler starts a response before it has read the body. Guards against reading the rest of that body as the caller's next request.
TEST_F(HostileCallersTest, AResponseStartedWithinTheBodyLeavesNoRequest)
{
    std::vector<std::string> handled;
    HttpServerOptions options;
    options.streamedBody = [&](HttpRequest const &head, std::shared_ptr<ResponseWriter> const &writer) {
        handled.push_back(head.target);
        return std::optional(BodySink{
            .onPiece =
                [writer](std::string_view, std::function<void()> const &) {
                    writer->start({.status = 200});
                    writer->write("early", nullptr);
                    writer->finish();
                },
            .onEnd = [] {},
            .onError = [](Error const &) {},
        });
    };
    serve(options, [](HttpRequest const &, std::shared_ptr<ResponseWriter> const &) {});
    RawConnection connection(server_->address());
    connection.send("POST /first HTTP/1.1\r\nContent-Length: 1000\r\n\r\nx");
    auto received = connection.readUntil("0\r\n\r\n");
    connection.send("GET /smuggled HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    connection.finishSending();
    received += connection.readAll();
    EXPECT_THAT(received, HasSubstr("early"));
    EXPECT_TRUE(connection.isEnded());
    EXPECT_THAT(thread_.call([&] { return handled; }), ::testing::ElementsAre("/first"));
}

/// Responses without a body must not be followed by bytes that the caller reads as its next response.
TEST_F(HostileCallersTest, AResponseWithoutABodyIsFollowedByTheNextResponse)
{
    for (auto const status : {204, 304}) {
        for (auto const isStreamed : {false, true}) {
            serve({}, [&](HttpRequest const &request, std::shared_ptr<ResponseWriter> const &writer) {
                if (request.target == "/next")
                    return writer->respond({.body = "next"});
                if (!isStreamed)
                    return writer->respond({.status = status, .body = "surplus"});
                writer->start({.status = status});
                writer->write("surplus", nullptr);
                writer->finish();
            });
            RawConnection connection(server_->address());
            connection.send("GET / HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\nConnection: close\r\n\r\n");
            auto const received = connection.readAll();
            auto const end = received.find("\r\n\r\n");
            ASSERT_NE(end, std::string::npos);
            EXPECT_THAT(received.substr(end + 4), StartsWith("HTTP/1.1 200")) << status << isStreamed;
            TearDown();
        }
    }
}

/// Guards against an exit that cannot be explained because the state of the requests on its connections was not recorded.
TEST_F(HostileCallersTest, ConnectionsAreCountedByStateAndTheirEndsReported)
{
    std::promise<std::shared_ptr<ResponseWriter>> arrived;
    std::promise<std::pair<ConnectionState, CloseReason>> closed;
    serve({.onClosed =
               [&](ConnectionClose close) {
                   closed.set_value({close.state, close.reason});
               }},
          [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) { arrived.set_value(writer); });
    RawConnection connection(server_->address());
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto writer = arrived.get_future().get();
    using Counts = std::map<ConnectionState, std::size_t>;
    EXPECT_EQ(thread_.call([&] { return server_->connections(); }), (Counts{{ConnectionState::Handling, 1}}));
    thread_.call([&] { writer.reset(); });
    EXPECT_EQ(closed.get_future().get(), std::pair(ConnectionState::Handling, CloseReason::Aborted));
    EXPECT_EQ(thread_.call([&] { return server_->connections(); }), Counts{});
}

/// A stopping program waits until no exchange is open. Guards against an exit that drops a request of which a part has been read: its
/// caller gets no response, although the rest may already have arrived.
TEST_F(HostileCallersTest, ARequestIsOpenFromItsFirstByte)
{
    serve();
    auto const countOf = [&](ConnectionState state) { return thread_.call([&] { return server_->connections()[state]; }); };
    auto const open = [&] { return thread_.call([&] { return server_->openExchanges(); }); };
    std::string const head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n";
    RawConnection withinHead(server_->address());
    withinHead.send(head.substr(0, 20));
    RawConnection withinBody(server_->address());
    withinBody.send(head + "hel");
    while (countOf(ConnectionState::ReadingRequest) < 2)
        continue;
    EXPECT_EQ(open(), 2U);
    thread_.call([&] { server_->closeIdle(); });
    withinHead.send(head.substr(20) + "hello");
    withinBody.send("lo");
    EXPECT_THAT(withinHead.readUntil("hello"), StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(withinBody.readUntil("hello"), StartsWith("HTTP/1.1 200"));
    while (thread_.call([&] { return !server_->connections().empty(); }))
        continue;
    EXPECT_EQ(open(), 0U);
}

/// A connection whose last response is sent stays open until its caller has closed it, because a reset may destroy that response. Guards
/// against closing it together with the idle connections while bytes of its caller are unread.
TEST_F(HostileCallersTest, AResponseThatIsStillReadIsNotResetWithIdleConnections)
{
    serve();
    RawConnection connection(server_->address());
    connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(BodyLimit + 1) + "\r\n\r\n");
    EXPECT_THAT(connection.readUntil("}"), StartsWith("HTTP/1.1 413"));
    using Counts = std::map<ConnectionState, std::size_t>;
    while (thread_.call([&] { return server_->connections(); }) != Counts{{ConnectionState::Draining, 1}})
        continue;
    thread_.call([&] { server_->closeIdle(); });
    EXPECT_EQ(thread_.call([&] { return server_->connections(); }), (Counts{{ConnectionState::Draining, 1}}));
}

/// A stopping program has closed its idle connections. Guards against one that becomes idle afterwards and takes a request that the
/// program has no time left to finish.
TEST_F(HostileCallersTest, AConnectionThatBecomesIdleAfterIdleOnesWereClosedTakesNoRequest)
{
    std::promise<std::shared_ptr<ResponseWriter>> arrived;
    int handled = 0;
    serve({}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        if (++handled > 1)
            return writer->respond({.body = "second"});
        writer->start({});
        arrived.set_value(writer);
    });
    RawConnection connection(server_->address());
    connection.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const writer = arrived.get_future().get();
    thread_.call([&] {
        server_->closeIdle();
        writer->finish();
    });
    EXPECT_THAT(connection.readUntil("0\r\n\r\n"), HasSubstr("0\r\n\r\n"));
    while (thread_.call([&] { return server_->openExchanges(); }) > 0)
        continue;
    connection.send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(connection.readUntil("second"), "");
    EXPECT_TRUE(connection.isEnded());
    EXPECT_EQ(thread_.call([&] { return handled; }), 1);
}

/// A request that arrived before the response to the previous one ended. Guards against dropping it unanswered, or losing that response
/// by a reset, when the connection is about to be closed.
TEST_F(HostileCallersTest, APipelinedRequestIsAnsweredAfterIdleConnectionsWereClosed)
{
    std::promise<std::shared_ptr<ResponseWriter>> arrived;
    int handled = 0;
    serve({}, [&](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) {
        if (++handled > 1)
            return writer->respond({.body = "second"});
        writer->start({});
        arrived.set_value(writer);
    });
    RawConnection connection(server_->address());
    connection.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const writer = arrived.get_future().get();
    thread_.call([&] {
        server_->announceLeaving();
        server_->closeIdle();
        writer->finish();
    });
    auto const received = connection.readAll();
    EXPECT_THAT(received, HasSubstr("0\r\n\r\nHTTP/1.1 200"));
    EXPECT_THAT(received, HasSubstr("Connection: close\r\n"));
    EXPECT_THAT(received, ::testing::EndsWith("second"));
}
