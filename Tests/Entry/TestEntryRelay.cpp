#include "Tests/Entry/EntryFixture.h"

using namespace Anvilyard;
using namespace Anvilyard::Tests;
using ::testing::HasSubstr;

namespace {

class EntryRelayTest : public EntryFixture
{
};

} // namespace

TEST_F(EntryRelayTest, StreamsACompletionWithTheModelNameFromTheRules)
{
    auto &engine = addEngine([](int, auto const &, auto writer) { streamComplete(writer, {"one ", "two "}); });
    startEntry();
    auto const answer =
        fetch(completion({{"X-Request-Id", "call-1"}, {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, tokenEvent("one ") + tokenEvent("two ") + "data: [DONE]\n\n");
    EXPECT_EQ(answer->headers.find("X-Request-Id"), "call-1");
    auto const seen = engine.requests().at(0);
    EXPECT_THAT(seen.body, HasSubstr(R"("model":"coldline-7b")"));
    EXPECT_EQ(seen.headers.find("X-Request-Id"), "call-1");
    EXPECT_FALSE(seen.headers.contains("Authorization"));
    EXPECT_THAT(std::string(seen.headers.find("traceparent").value_or("")), HasSubstr("0af7651916cd43dd8448eb211c80319c"));
}

TEST_F(EntryRelayTest, RelaysAPlainCallWithItsMethodPathAndBody)
{
    auto &server = addPlainServer([](int, auto const &, auto writer) {
        writer->respond({.status = 201, .headers = {{"X-Card", "7"}}, .body = "made"});
    });
    startEntry();
    auto const answer = fetch(dispatchCall("PUT"));
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->status, 201);
    EXPECT_EQ(answer->body, "made");
    EXPECT_EQ(answer->headers.find("X-Card"), "7");
    EXPECT_EQ(server.requests().at(0).method, "PUT");
    EXPECT_EQ(server.requests().at(0).target, "/cards?day=3");
    EXPECT_EQ(server.requests().at(0).body, "card");
}

TEST_F(EntryRelayTest, ListsTheModelsOfTheRules)
{
    startEntry();
    auto const answer = fetch({.method = "GET", .target = "/v1/models", .headers = {{"Authorization", std::string("Bearer ") + Key}}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, R"({"object":"list","data":[{"id":"fault-notes","object":"model","owned_by":"anvilyard"}]})");
}

namespace {

struct RefusalCase {
    char const *name;
    Http::HttpRequest request;
    int status;
    char const *code;
};

} // namespace

TEST_F(EntryRelayTest, RefusesInvalidRequestsAsNotRun)
{
    auto &engine = addEngine([](int, auto const &, auto writer) { streamComplete(writer, {"one "}); });
    startEntry();
    Http::Headers const bearer = {{"Authorization", std::string("Bearer ") + Key}};
    RefusalCase const cases[] = {
        {"no key", {.method = "POST", .target = "/v1/completions"}, 401, "invalid_api_key"},
        {"unknown key",
         {.method = "POST", .target = "/v1/completions", .headers = {{"Authorization", "Bearer other"}}},
         401,
         "invalid_api_key"},
        {"unknown path", {.method = "GET", .target = "/v2", .headers = bearer}, 404, "not_found"},
        {"wrong method", {.method = "GET", .target = "/v1/completions", .headers = bearer}, 405, "method_not_allowed"},
        {"no JSON", {.method = "POST", .target = "/v1/completions", .headers = bearer, .body = "{"}, 400, "malformed_body"},
        {"no object", {.method = "POST", .target = "/v1/completions", .headers = bearer, .body = "[]"}, 400, "malformed_body"},
        {"no model", {.method = "POST", .target = "/v1/completions", .headers = bearer, .body = "{}"}, 400, "malformed_body"},
        {"unknown model",
         {.method = "POST", .target = "/v1/completions", .headers = bearer, .body = R"({"model":"x"})"},
         404,
         "model_not_found"},
        {"a plain service as model",
         {.method = "POST", .target = "/v1/completions", .headers = bearer, .body = R"({"model":"dispatch"})"},
         404,
         "model_not_found"},
        {"unknown service", {.method = "GET", .target = "/services/x/", .headers = bearer}, 404, "service_not_found"},
        {"service without server", dispatchCall("GET"), 503, "no_server_available"},
        {"bad deadline", completion({{"Anvilyard-Timeout-Ms", "soon"}}), 400, "malformed_header"},
        {"bad repeat value", completion({{"Anvilyard-Repeat", "maybe"}}), 400, "malformed_header"},
        {"no batch handlers", {.method = "GET", .target = "/v1/batches", .headers = bearer}, 503, "jobs_unavailable"},
    };
    for (auto const &refusal : cases) {
        auto const answer = fetch(refusal.request);
        ASSERT_TRUE(answer) << refusal.name;
        EXPECT_EQ(answer->status, refusal.status) << refusal.name;
        EXPECT_THAT(answer->body, HasSubstr(std::string("\"code\":\"") + refusal.code + "\"")) << refusal.name;
        EXPECT_THAT(answer->body, HasSubstr("\"not_run\":true")) << refusal.name;
        EXPECT_TRUE(answer->headers.contains("X-Request-Id")) << refusal.name;
        EXPECT_EQ(answer->headers.contains("Retry-After"), answer->status == 503) << refusal.name;
    }
    EXPECT_EQ(engine.count(), 0);
    // The counter is updated when the request is destroyed, just after its answer.
    waitFor([&] { return metrics_.counter("anvilyard_entry_refusals_total", "").value() == std::size(cases); });
}

TEST_F(EntryRelayTest, RefusesCompletionsWithoutRules)
{
    rules_ = rules(0);
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 503);
    EXPECT_THAT(answer->body, HasSubstr("rules_not_in_force"));
}

// Guards against resuming at a wrong offset because events without a token are counted, and against relaying an incomplete event.
TEST_F(EntryRelayTest, ResumesABrokenStreamAfterTheLastRelayedToken)
{
    auto &engine = addEngine([](int number, auto const &, auto writer) {
        if (number == 1)
            streamAndBreak(writer, {"", "one ", "two "});
        else
            streamComplete(writer, {"three "});
    });
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, tokenEvent("") + tokenEvent("one ") + tokenEvent("two ") + tokenEvent("three ") + "data: [DONE]\n\n");
    EXPECT_EQ(engine.requests().at(1).target, "/v1/completions/cmpl-1/resume");
    EXPECT_EQ(engine.requests().at(1).body, R"({"offset":2})");
}

// Guards against breaking off a stream because its engine answered the first attempt to resume it with nothing, as a restarting one does.
TEST_F(EntryRelayTest, AResumeThatGetsNoAnswerIsRepeated)
{
    auto &engine = addEngine([](int number, auto const &, auto writer) {
        if (number == 1)
            return streamAndBreak(writer, {"one "});
        if (number == 2)
            return writer->abort();
        streamComplete(writer, {"two "});
    });
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, tokenEvent("one ") + tokenEvent("two ") + "data: [DONE]\n\n");
    EXPECT_EQ(engine.requests().at(2).body, R"({"offset":1})");
}

// A server crashes after the last event of a stream, before the end of its framing. Guards against a resume that sends the last event
// again.
TEST_F(EntryRelayTest, StreamThatBreaksAfterItsLastEventIsComplete)
{
    auto &engine = addEngine([](int number, auto const &, auto writer) {
        if (number > 1)
            return streamComplete(writer, {});
        writer->start(streamHead());
        writer->write(tokenEvent("one ") + "data: [DONE]\n\n", [writer](auto) { writer->abort(); });
    });
    startEntry();
    auto const answer = fetch(completion());
    ASSERT_TRUE(answer) << answer.error().error.toString();
    EXPECT_EQ(answer->body, tokenEvent("one ") + "data: [DONE]\n\n");
    EXPECT_EQ(engine.count(), 1);
}

TEST_F(EntryRelayTest, StreamWithoutItsLastEventEndsWithAnError)
{
    addEngine([](int number, auto const &, auto writer) {
        if (number > 1)
            return writer->respond({.status = 404, .body = "{}"});
        writer->start(streamHead());
        writer->write(tokenEvent("one ") + "data: {\"half", nullptr);
        // The connection is closed cleanly, but the last event of the stream is missing.
        writer->finish();
    });
    startEntry();
    std::string body;
    std::promise<Http::ExchangeFailure> failed;
    thread_.loop().post([&] {
        client_->send({.server = service_->address(), .request = completion(), .deadline = readLocalClock() + 30s},
                      {
                          .onPiece = [&](std::string_view piece) { body += piece; },
                          .onEnd = [] { FAIL() << "the stream was treated as complete"; },
                          .onFailure = [&](Http::ExchangeFailure const &failure) { failed.set_value(failure); },
                      });
    });
    EXPECT_EQ(failed.get_future().get().error.code, Http::HttpError::ClosedEarly);
    EXPECT_TRUE(body.starts_with(tokenEvent("one ") + "data: {\"error\"")) << body;
    EXPECT_THAT(body, HasSubstr("stream_broken"));
}

TEST_F(EntryRelayTest, DisconnectedCallerCancelsTheBackendRequest)
{
    std::promise<void> started;
    std::promise<void> cancelled;
    addEngine([&](int, auto const &, auto writer) {
        writer->start(streamHead());
        writer->write(tokenEvent("one "), nullptr);
        writer->onCallerGone([&, writer] { cancelled.set_value(); });
        started.set_value();
    });
    startEntry();
    std::shared_ptr<Http::Exchange> exchange;
    thread_.call([&] {
        exchange = client_->send({.server = service_->address(), .request = completion(), .deadline = readLocalClock() + 30s}, {});
    });
    started.get_future().get();
    thread_.call([&] { exchange->cancel(); });
    cancelled.get_future().get();
}

TEST_F(EntryRelayTest, DrainingWaitsForRunningRequests)
{
    std::shared_ptr<Http::ResponseWriter> held;
    std::promise<void> arrived;
    addEngine([&](int, auto const &, auto writer) {
        held = std::move(writer);
        arrived.set_value();
    });
    startEntry();
    auto answer = fetchAsync(completion());
    arrived.get_future().get();
    auto drained = std::async(std::launch::async, [&] { service_->drain(); });
    // Draining runs on its own thread. The headers of further answers show when it has been announced; the entry still serves these
    // requests.
    std::optional<std::string_view> announced;
    while (announced != "close") {
        auto const other =
            fetchAsync({.method = "GET", .target = "/v1/models", .headers = {{"Authorization", std::string("Bearer ") + Key}}}).get();
        ASSERT_TRUE(other) << other.error().error.toString();
        announced = other->headers.find("Connection") == "close" ? "close" : "";
    }
    while (service_->openExchanges() != 1)
        std::this_thread::yield();
    thread_.call([&] { streamComplete(std::exchange(held, nullptr), {"late "}); });
    auto const completeAnswer = answer.get();
    ASSERT_TRUE(completeAnswer) << completeAnswer.error().error.toString();
    EXPECT_THAT(completeAnswer->body, HasSubstr("[DONE]"));
    EXPECT_EQ(completeAnswer->headers.find("Connection"), "close");
    drained.get();
    EXPECT_EQ(service_->openExchanges(), 0U);
}

/// Guards against an entry that has finished draining, and is about to exit, but takes requests on connections that its callers kept.
TEST_F(EntryRelayTest, AfterDrainingNoRequestIsTakenOnAKeptConnection)
{
    addEngine([](int, auto const &, auto writer) { streamComplete(writer, {"one "}); });
    startEntry();
    Http::HttpRequest const models{.method = "GET", .target = "/v1/models", .headers = {{"Authorization", std::string("Bearer ") + Key}}};
    auto const before = fetchAsync(models).get();
    ASSERT_TRUE(before) << before.error().error.toString();
    service_->drain();
    EXPECT_FALSE(fetchAsync(models).get());
}
