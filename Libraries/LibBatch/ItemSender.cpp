#include "LibBatch/ItemSender.h"

#include "LibBatch/LineSplitter.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace Anvilyard::Batch {

namespace {

constexpr std::size_t MaxResponseBytes = 4UL * 1024 * 1024;
constexpr Duration MaxRetryAfter = 60s;
constexpr std::uint32_t TokensPerSample = 8;
constexpr Duration MaxSampleDuration = 200ms;
constexpr int StatusOk = 200;

std::optional<Instant> retryAfter(Http::HttpResponse const &response, Instant now)
{
    auto const text = response.headers.find("Retry-After");
    std::int64_t seconds = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc() || seconds < 0)
        return std::nullopt;
    return now + std::min<Duration>(std::chrono::seconds(std::min<std::int64_t>(seconds, 3600)), MaxRetryAfter);
}

bool statesNotRun(Http::HttpResponse const &response)
{
    boost::system::error_code error;
    auto const body = boost::json::parse(response.body, error);
    if (error || !body.is_object())
        return false;
    auto const *refusal = body.get_object().if_contains("error");
    auto const *notRun = refusal && refusal->is_object() ? refusal->get_object().if_contains("not_run") : nullptr;
    return notRun && notRun->is_bool() && notRun->get_bool();
}

ItemResponse toItemResponse(Http::HttpResponse const &response)
{
    return {.status = response.status, .requestId = std::string(response.headers.find("X-Request-Id").value_or("")), .body = response.body};
}

/// Replaces all characters of a caller's text that could end a header value.
std::string toHeaderValue(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char letter) { return letter < ' ' || letter > '~'; }, '_');
    return text;
}

std::string requestIdOf(AttemptRef const &item)
{
    return item.chunk.job.value() + "-" + std::to_string(item.chunk.chunk.value()) + "-" + std::to_string(item.item) + "-"
        + std::to_string(item.run);
}

/// Plain services receive the path after "/services/{service}", as from the entry.
std::string targetFor(ItemSpec const &spec)
{
    static constexpr std::string_view Prefix = "/services/";
    if (!spec.url.starts_with(Prefix))
        return spec.url;
    auto const rest = std::string_view(spec.url).substr(Prefix.size() + spec.service.value().size());
    return rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
}

} // namespace

AttemptResult classifyResponse(Repeat repeat, Http::HttpResponse const &response, Instant now)
{
    auto const status = response.status;
    if (status >= 200 && status < 300)
        return {.kind = AttemptResult::Kind::Succeeded, .response = toItemResponse(response)};
    auto const reason = "the server answered with status " + std::to_string(status);
    if (status == 429 || status == 503) {
        // Without `not_run`, a 503 may have been sent by an intermediary after the server ran the item.
        if (repeat == Repeat::Allowed || status == 429 || statesNotRun(response))
            return {.kind = AttemptResult::Kind::NotRun, .reason = reason, .notBefore = retryAfter(response, now)};
        return {.kind = AttemptResult::Kind::Failed, .reason = reason};
    }
    if (status == 408 || status >= 500)
        return {.kind = AttemptResult::Kind::Failed, .reason = reason};
    return {.kind = AttemptResult::Kind::Rejected, .response = toItemResponse(response)};
}

struct ItemSender::Attempt {
    AttemptRef item;
    ServerId server;
    Repeat repeat = Repeat::Allowed;
    std::string requestId;
    Http::HttpResponse response;
    /// Splits this attempt's response, if it is streamed.
    LineSplitter lines{MaxResponseBytes};
    /// Set if the response is streamed. Unlike all else here, it outlives an attempt that is preempted.
    std::optional<CompletionAssembler> assembler;
    bool isResumed = false;
    std::uint32_t tokensSeen = 0;
    Instant sampleStart{};
    std::unique_ptr<Observe::Span> span;
    std::shared_ptr<Http::Exchange> exchange;

    [[nodiscard]] bool isStream() const
    {
        return assembler && response.status == StatusOk;
    }
};

ItemSender::ItemSender(ItemSenderOptions options)
    : options_(std::move(options))
    , client_(Http::HttpClient::create(options_.loop, {.idleConnectionsPerServer = 256}))
    , preemptedStreams_(options_.maxPreemptedBytes)
{
}

ItemSender::~ItemSender()
{
    for (auto const &[item, attempt] : attempts_)
        attempt->exchange->cancel();
}

void ItemSender::send(SendItem const &item)
{
    auto const route = options_.route(item.server, item.spec.service);
    if (!route) {
        options_.loop.post(
            [onEnd = options_.onEnd, ref = item.item] { onEnd(ref, {.kind = AttemptResult::Kind::NotRun, .reason = "no route"}); });
        return;
    }
    auto const attempt = std::make_shared<Attempt>(Attempt{.item = item.item, .server = item.server, .repeat = item.spec.repeat});
    attempt->requestId = requestIdOf(item.item);
    attempt->span = options_.tracer.startSpan("batch-item", std::nullopt);
    attempt->span->tag("job", item.item.chunk.job.value());
    attempt->span->tag("server", item.server.value());
    exchange(attempt, makeRequest(item, *route, *attempt));
}

Http::ClientRequest ItemSender::makeRequest(SendItem const &item, ServerRoute const &route, Attempt &attempt)
{
    Http::ClientRequest request{
        .server = route.address,
        .request = {.method = "POST",
                    .target = targetFor(item.spec),
                    .headers = {{"Content-Type", "application/json"},
                                {"X-Request-Id", attempt.requestId},
                                {"Anvilyard-Custom-Id", toHeaderValue(item.spec.customId)},
                                {"traceparent", attempt.span->traceparent()}}},
        .deadline = readLocalClock() + options_.attemptTimeout,
        .headTimeout = options_.attemptTimeout,
        .bodyLimitBytes = MaxResponseBytes,
    };
    if (item.spec.repeat == Repeat::Never) {
        request.connection = Http::ClientRequest::Connection::FreshOnly;
        request.request.headers.set("Anvilyard-Repeat", "never");
    }
    request.request.body = item.spec.body;
    if (route.model.empty())
        return request;
    if (auto preempted = preemptedStreams_.take({.chunk = item.item.chunk, .item = item.item.item}, item.server)) {
        request.request.target = "/v1/completions/" + preempted->assembler.id() + "/resume";
        request.request.body = R"({"offset":)" + std::to_string(preempted->assembler.tokens()) + "}";
        attempt.assembler = std::move(preempted->assembler);
        attempt.tokensSeen = attempt.assembler->tokens();
        attempt.isResumed = true;
        return request;
    }
    boost::system::error_code error;
    auto body = boost::json::parse(item.spec.body, error);
    if (error || !body.is_object())
        return request;
    auto &object = body.get_object();
    object["model"] = route.model;
    object.erase("stream");
    object.erase("stream_options");
    if (item.spec.repeat == Repeat::Allowed && isWorthStreaming(body)) {
        object["stream"] = true;
        object["stream_options"] = {{"include_usage", true}};
        attempt.assembler.emplace();
    }
    request.request.body = boost::json::serialize(body);
    return request;
}

void ItemSender::exchange(AttemptPointer const &attempt, Http::ClientRequest request)
{
    attempts_[attempt->item] = attempt;
    Http::ExchangeHandlers handlers;
    handlers.onHead = [attempt](Http::ResponseHead head) {
        attempt->response.status = head.status;
        attempt->response.headers = std::move(head.headers);
    };
    handlers.onPiece = [this, attempt](std::string_view piece) { onPiece(*attempt, piece); };
    handlers.onEnd = [this, attempt] { onComplete(*attempt); };
    handlers.onFailure = [this, attempt](Http::ExchangeFailure const &failure) {
        auto const kind = failure.reached == Http::Reached::NothingSent ? AttemptResult::Kind::NotRun : AttemptResult::Kind::Failed;
        end(attempt->item, {.kind = kind, .reason = failure.error.toString()});
    };
    attempt->exchange = client_->send(std::move(request), std::move(handlers));
}

void ItemSender::onPiece(Attempt &attempt, std::string_view piece)
{
    if (!attempt.isStream()) {
        attempt.response.body.append(piece);
        return;
    }
    attempt.lines.feed(piece, [&](std::string_view line) { attempt.assembler->takeLine(line); });
    countTokens(attempt, readLocalClock());
}

void ItemSender::countTokens(Attempt &attempt, Instant now)
{
    auto const tokens = attempt.assembler->tokens();
    if (attempt.sampleStart == Instant{}) {
        // The time to the first token depends on the queue and the prompt, so it is not a token interval.
        attempt.sampleStart = tokens > attempt.tokensSeen ? now : Instant{};
        attempt.tokensSeen = tokens;
        return;
    }
    auto const newTokens = tokens - attempt.tokensSeen;
    // Single intervals only show when the event loop read the data, so several are averaged.
    if (newTokens == 0 || (newTokens < TokensPerSample && now < attempt.sampleStart + MaxSampleDuration))
        return;
    if (options_.onTokenInterval)
        options_.onTokenInterval(attempt.server, (now - attempt.sampleStart) / newTokens);
    attempt.sampleStart = now;
    attempt.tokensSeen = tokens;
}

void ItemSender::onComplete(Attempt &attempt)
{
    auto const item = attempt.item;
    if (attempt.isStream()) {
        // A stream without its end marker is incomplete.
        if (!attempt.assembler->isComplete()) {
            end(item, {.kind = AttemptResult::Kind::Failed, .reason = "the stream broke off"});
            return;
        }
        attempt.response.body = attempt.assembler->assembledResponse();
    } else if (attempt.isResumed) {
        // The server has discarded the stream, so the item starts again from the beginning.
        end(item, {.kind = AttemptResult::Kind::NotRun, .reason = "the stream cannot be resumed"});
        return;
    }
    if (!attempt.response.headers.contains("X-Request-Id"))
        attempt.response.headers.set("X-Request-Id", attempt.requestId);
    end(item, classifyResponse(attempt.repeat, attempt.response, readLocalClock()));
}

void ItemSender::stop(StopItem const &item)
{
    auto const found = attempts_.find(item.item);
    if (found == attempts_.end())
        return;
    auto const attempt = found->second;
    attempts_.erase(found);
    attempt->exchange->cancel();
    attempt->span->tag("end", "stopped");
    if (item.reason == StopItem::Reason::Preempted && attempt->assembler && attempt->assembler->tokens() > 0)
        preemptedStreams_.keep({.chunk = item.item.chunk, .item = item.item.item},
                               {.server = attempt->server, .assembler = std::move(*attempt->assembler)});
}

void ItemSender::end(AttemptRef const &item, AttemptResult result)
{
    auto const found = attempts_.find(item);
    if (found == attempts_.end())
        return;
    auto const attempt = found->second;
    attempts_.erase(found);
    attempt->span->tag("status", std::to_string(attempt->response.status));
    attempt->span->finish();
    options_.onEnd(item, std::move(result));
}

} // namespace Anvilyard::Batch
