#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "Tests/LibHttp/LoopThread.h"

#include <atomic>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Http;

namespace {

/// A server and a client on one loop.
class HttpExchangeTest : public ::testing::Test
{
protected:
    void serve(RequestHandler handler, HttpServerOptions options = {})
    {
        options.listen = Address("127.0.0.1:0");
        thread_.call([&] {
            auto server = HttpServer::create(thread_.loop(), std::move(options), std::move(handler));
            ASSERT_TRUE(server) << server.error().toString();
            server_ = std::move(*server);
            client_ = HttpClient::create(thread_.loop(), {});
        });
    }

    void TearDown() override
    {
        thread_.call([&] {
            client_.reset();
            server_.reset();
        });
    }

    tl::expected<HttpResponse, ExchangeFailure> fetch(HttpRequest request)
    {
        std::promise<tl::expected<HttpResponse, ExchangeFailure>> promise;
        thread_.loop().post([&] {
            client_->fetch({.server = server_->address(), .request = std::move(request), .deadline = readLocalClock() + 10s},
                           [&](auto result) { promise.set_value(std::move(result)); });
        });
        return promise.get_future().get();
    }

    Tests::LoopThread thread_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<HttpClient> client_;
};

} // namespace

TEST_F(HttpExchangeTest, ReturnsTheHandlersResponse)
{
    serve([](HttpRequest request, auto writer) {
        writer->respond({.status = 201, .headers = {{"X-Method", request.method}}, .body = request.body});
    });
    for (int turn = 0; turn < 3; ++turn) {
        auto const response = fetch({.method = "POST", .target = "/echo?x=1", .body = "some text"});
        ASSERT_TRUE(response) << response.error().error.toString();
        EXPECT_EQ(response->status, 201);
        EXPECT_EQ(response->body, "some text");
        EXPECT_EQ(response->headers.find("x-method"), "POST");
    }
}

/// Guards against headers, and whole requests, that are smuggled into a connection by line ends in a target or a header.
TEST_F(HttpExchangeTest, ARequestThatWouldEndItsHeadEarlyIsNotSent)
{
    std::atomic<int> requests = 0;
    serve([&](HttpRequest, auto writer) {
        ++requests;
        writer->respond({.status = 200});
    });
    std::string const smuggled = "x\r\n\r\nPOST /other HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    for (auto const &request : {HttpRequest{.method = "GET", .target = "/" + smuggled},
                                HttpRequest{.method = "GET", .target = "/", .headers = {{"X-Note", smuggled}}},
                                HttpRequest{.method = "GET", .target = "/", .headers = {{smuggled, "x"}}}}) {
        auto const response = fetch(request);
        ASSERT_FALSE(response);
        EXPECT_EQ(response.error().error.code, HttpError::Malformed);
        EXPECT_EQ(response.error().reached, Reached::NothingSent);
    }
    EXPECT_TRUE(fetch({.method = "GET", .target = "/", .headers = {{"X-Note", "a\tb"}}}));
    EXPECT_EQ(requests, 1);
}

TEST_F(HttpExchangeTest, StreamsPiecesInOrder)
{
    serve([](HttpRequest, auto writer) {
        writer->start({.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
        for (int piece = 0; piece < 5; ++piece)
            writer->write("piece " + std::to_string(piece) + "\n", nullptr);
        writer->finish();
    });
    auto const response = fetch({.method = "GET", .target = "/"});
    ASSERT_TRUE(response) << response.error().error.toString();
    EXPECT_EQ(response->body, "piece 0\npiece 1\npiece 2\npiece 3\npiece 4\n");
}

/// A stream that is resumed for a caller that is still slow starts paused. Guards against taking the pause for a silent server.
TEST_F(HttpExchangeTest, AnExchangePausedBeforeItsResponseIsNotSilent)
{
    serve([](HttpRequest, auto writer) { writer->respond({.status = 200, .body = "whole"}); });
    std::string body;
    std::promise<std::string> ended;
    std::unique_ptr<Timer> timer;
    thread_.call([&] {
        auto const exchange = client_->send(
            {
                .server = server_->address(),
                .request = {.method = "GET", .target = "/"},
                .deadline = readLocalClock() + 10s,
                .progressTimeout = 100ms,
            },
            {
                .onPiece = [&](std::string_view piece) { body += piece; },
                .onEnd = [&] { ended.set_value(body); },
                .onFailure = [&](ExchangeFailure const &failure) { ended.set_value(failure.error.toString()); },
            });
        exchange->pause();
        timer = thread_.loop().at(readLocalClock() + 600ms, [exchange] { exchange->resume(); });
    });
    EXPECT_EQ(ended.get_future().get(), "whole");
    thread_.call([&] { timer.reset(); });
}

TEST_F(HttpExchangeTest, AbortedStreamIsReportedAsIncomplete)
{
    serve([](HttpRequest, auto writer) {
        writer->start({.status = 200, .headers = {}});
        writer->write("half", [writer](WriteOutcome) { writer->abort(); });
    });
    auto const response = fetch({.method = "GET", .target = "/"});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().error.code, HttpError::ClosedEarly);
    EXPECT_EQ(response.error().reached, Reached::ResponseStarted);
}

TEST_F(HttpExchangeTest, DroppedWriterClosesTheConnection)
{
    serve([](HttpRequest, auto) {});
    auto const response = fetch({.method = "GET", .target = "/"});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().reached, Reached::Sent);
}

TEST_F(HttpExchangeTest, OversizeBodyIsRefusedAsNotRun)
{
    bool handled = false;
    serve(
        [&](HttpRequest, auto writer) {
            handled = true;
            writer->respond({});
        },
        {.limits = {.bodyLimitBytes = 1000}});
    auto const response = fetch({.method = "POST", .target = "/", .body = std::string(5000, 'x')});
    ASSERT_TRUE(response) << response.error().error.toString();
    EXPECT_EQ(response->status, 413);
    EXPECT_THAT(response->body, ::testing::HasSubstr("\"not_run\":true"));
    EXPECT_FALSE(handled);
}

TEST_F(HttpExchangeTest, StreamedBodyIsCompleteUnderBackPressure)
{
    auto const received = std::make_shared<std::string>();
    HttpServerOptions options;
    options.streamedBody = [this, received](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) -> std::optional<BodySink> {
        return BodySink{
            .onPiece =
                [this, received](std::string_view piece, std::function<void()> next) {
                    received->append(piece);
                    thread_.loop().post(std::move(next));
                },
            .onEnd = [writer, received] { writer->respond({.body = std::to_string(received->size())}); },
            .onError = [](Error const &) {},
        };
    };
    serve([](HttpRequest, auto) {}, std::move(options));
    std::string body(3'000'000, 'x');
    auto const response = fetch({.method = "POST", .target = "/", .headers = {{"Expect", "100-continue"}}, .body = body});
    ASSERT_TRUE(response) << response.error().error.toString();
    EXPECT_EQ(response->body, "3000000");
    EXPECT_EQ(*received, body);
}

TEST_F(HttpExchangeTest, CancelFromWithinAHandlerIsSafe)
{
    serve([](HttpRequest, auto writer) {
        writer->start({.status = 200, .headers = {}});
        writer->write("one", [writer](WriteOutcome) {});
    });
    std::promise<std::string> received;
    thread_.loop().post([&] {
        auto const exchange = std::make_shared<std::shared_ptr<Exchange>>();
        // The state captured by the handler must outlive the cancel() call that the handler makes.
        auto const state = std::make_shared<std::string>("kept");
        *exchange =
            client_->send({.server = server_->address(), .request = {.method = "GET", .target = "/"}, .deadline = readLocalClock() + 10s},
                          {.onPiece = [&received, exchange, state](std::string_view piece) {
                              (*exchange)->cancel();
                              received.set_value(*state + " " + std::string(piece));
                          }});
    });
    EXPECT_EQ(received.get_future().get(), "kept one");
}

TEST_F(HttpExchangeTest, RefusingFromWithinABodyPieceIsSafe)
{
    HttpServerOptions options;
    options.streamedBody = [](HttpRequest const &, std::shared_ptr<ResponseWriter> const &writer) -> std::optional<BodySink> {
        auto const state = std::make_shared<std::string>("refused");
        return BodySink{
            .onPiece =
                [writer, state](std::string_view, std::function<void()>) {
                    writer->respond({.status = 422, .body = "x"});
                    EXPECT_EQ(*state, "refused");
                },
            .onEnd = [] {},
            .onError = [](Error const &) {},
        };
    };
    serve([](HttpRequest, auto) {}, std::move(options));
    auto const response = fetch({.method = "POST", .target = "/", .body = std::string(1'000'000, 'x')});
    ASSERT_TRUE(response) << response.error().error.toString();
    EXPECT_EQ(response->status, 422);
}

TEST_F(HttpExchangeTest, ConnectFailureReportsNothingSent)
{
    serve([](HttpRequest, auto) {});
    auto const address = server_->address();
    thread_.call([&] { server_->stopAccepting(); });
    auto const response = fetch({.method = "GET", .target = "/"});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().error.code, HttpError::ConnectFailed);
    EXPECT_EQ(response.error().reached, Reached::NothingSent);
}
