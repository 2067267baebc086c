#include "Services/Entry/BackendCall.h"

#include "LibObserve/Events.h"
#include "Services/Entry/AnswerInspection.h"
#include "Services/Entry/ForwardedHeaders.h"
#include "Services/Entry/Refusals.h"

#include <algorithm>

namespace Anvilyard::Entry {

using Http::RunState;
using Routing::NextStep;

namespace {

constexpr int FirstErrorStatus = 400;
constexpr int Ok = 200;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

Http::HttpError httpErrorOf(std::error_code code)
{
    return static_cast<Http::HttpError>(code.value());
}

} // namespace

BackendCall::BackendCall(ThreadContext &context, OnlineRequestPointer request)
    : context_(context)
    , request_(std::move(request))
    , relay_(std::make_shared<AnswerRelay>(request_))
{
}

void BackendCall::start()
{
    request_->writer->onCallerGone([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->onCallerGone();
    });
    context_.abandonCallbacks.emplace(this, [weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->abandon();
    });
    context_.retryBudget.onFirstSend();
    sendToNextServer();
}

void BackendCall::sendToNextServer()
{
    auto const now = readLocalClock();
    auto *chooser = context_.choosers.find(request_->route.pool);
    auto const *prefix = request_->prefix ? &*request_->prefix : nullptr;
    auto const *server =
        chooser ? chooser->choose({.model = request_->engineModel, .prefix = prefix, .excluded = tried_}, now, context_.random) : nullptr;
    if (!server)
        return performStep(hasRelayableAnswer_ ? NextStep::RelayResponse : NextStep::Refuse);
    // A request that must run at most once is never sent on an idle connection. The connection may be dead, and then the outcome would
    // be unknown.
    bool const runsAtMostOnce = request_->repeatability == Routing::Repeatability::Never;
    send(*server, runsAtMostOnce ? Http::ClientRequest::Connection::FreshOnly : Http::ClientRequest::Connection::AnyIdle);
}

void BackendCall::send(Fleet::BackendServer const &server, Http::ClientRequest::Connection connection)
{
    auto const *prefix = request_->prefix ? &*request_->prefix : nullptr;
    auto inFlight = std::make_unique<InFlightGuard>(context_, request_->kind, server, prefix);
    if (std::find(tried_.begin(), tried_.end(), server.id) == tried_.end())
        tried_.push_back(server.id);
    attempt_ = {};
    attempt_.inFlight = std::move(inFlight);
    attempt_.span = context_.tracer.startSpan("backend-call", request_->span->traceparent());
    attempt_.span->tag("server", server.id.value());
    auto request = clientRequest(attempt_.inFlight->server(), toBackendRequest(*request_, attempt_.span->traceparent()));
    request.connection = connection;
    exchange(std::move(request));
}

void BackendCall::sendResume()
{
    auto inFlight = std::move(attempt_.inFlight);
    attempt_ = {};
    attempt_.inFlight = std::move(inFlight);
    attempt_.purpose = Attempt::Purpose::Resume;
    attempt_.span = context_.tracer.startSpan("backend-resume", request_->span->traceparent());
    attempt_.span->tag("server", attempt_.inFlight->server().id.value());
    Http::HttpRequest resume{
        .method = "POST",
        .target = "/v1/completions/" + progress_.completionId() + "/resume",
        .headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", request_->id.value()},
                    {"traceparent", attempt_.span->traceparent()}},
        .body = R"({"offset":)" + std::to_string(progress_.tokens()) + "}",
    };
    auto request = clientRequest(attempt_.inFlight->server(), std::move(resume));
    request.connection = Http::ClientRequest::Connection::FreshOnly;
    context_.metrics.resumes.add();
    exchange(std::move(request));
}

Http::ClientRequest BackendCall::clientRequest(Fleet::BackendServer const &server, Http::HttpRequest request) const
{
    // The short timeout for reused connections applies only where a retry is safe and the head is expected at once. The head of a
    // completion that is not streamed arrives only at its end.
    bool const expectsPromptHead = request_->repeatability == Routing::Repeatability::Idempotent
        || (request_->repeatability == Routing::Repeatability::Generation && request_->answerForm == AnswerForm::EventStream);
    return {
        .server = server.address,
        .request = std::move(request),
        .deadline = request_->deadline,
        .connectTimeout = context_.limits.connect,
        .headTimeout = context_.limits.head,
        .reusedHeadTimeout = expectsPromptHead ? std::optional(std::min(context_.limits.head, context_.limits.reusedHead)) : std::nullopt,
        .progressTimeout = context_.limits.progress,
    };
}

void BackendCall::exchange(Http::ClientRequest request)
{
    attempt_.number = ++attempts_;
    // Handlers of an earlier attempt may still be called and are ignored.
    auto const guarded = [self = shared_from_this(), number = attempt_.number](auto action) {
        if (!self->isFinished_ && self->attempt_.number == number)
            action(*self);
    };
    attempt_.exchange = context_.client.send(
        std::move(request),
        {
            .onHead = [guarded](Http::ResponseHead head) { guarded([&](BackendCall &call) { call.onHead(std::move(head)); }); },
            .onPiece = [guarded](std::string_view piece) { guarded([&](BackendCall &call) { call.onPiece(piece); }); },
            .onEnd = [guarded] { guarded([](BackendCall &call) { call.onEnd(); }); },
            .onFailure = [guarded](Http::ExchangeFailure const &failure) { guarded([&](BackendCall &call) { call.onFailure(failure); }); },
        });
    relay_->setSource(attempt_.exchange);
}

bool BackendCall::isErrorAnswer() const
{
    return attempt_.head.status >= FirstErrorStatus;
}

bool BackendCall::isEventStream() const
{
    auto const type = attempt_.head.headers.find("Content-Type");
    return request_->answerForm == AnswerForm::EventStream && type && type->starts_with("text/event-stream");
}

void BackendCall::onHead(Http::ResponseHead head)
{
    attempt_.head = std::move(head);
    if (context_.hooks.onServerEvidence)
        context_.hooks.onServerEvidence(attempt_.inFlight->server().id, classifyStatus(attempt_.head.status));
}

void BackendCall::onPiece(std::string_view piece)
{
    if (attempt_.purpose == Attempt::Purpose::Resume && (attempt_.head.status != Ok || !isEventStream()))
        return;
    if (isEventStream() && !isErrorAnswer())
        relayEvents(piece);
    else
        relayPlain(piece);
}

void BackendCall::recordFirstPiece()
{
    auto const waited = std::chrono::duration<double>(readLocalClock() - request_->arrivedAt);
    context_.metrics.firstPieceSeconds.record(waited.count());
}

void BackendCall::startRelay()
{
    if (relay_->isStarted())
        return;
    recordFirstPiece();
    relay_->start(attempt_.head);
}

void BackendCall::relayEvents(std::string_view piece)
{
    auto events = attempt_.events.take(piece, [this](std::string_view event, std::string_view) { progress_.onEvent(event); });
    if (!events.empty()) {
        startRelay();
        context_.metrics.relayedEvents.add();
        relay_->write(std::move(events));
    }
    if (attempt_.events.unfinishedBytes() > MaxEventBytes) {
        attempt_.exchange->cancel();
        onAttemptEnd(Routing::ExchangeFailed{.error = Http::HttpError::BodyTooLarge,
                                             .reached = Http::Reached::ResponseStarted,
                                             .relayed = relay_->isStarted() ? Routing::Relayed::Part : Routing::Relayed::Nothing});
    }
}

/// Buffers a plain answer while it is small, so that a broken connection leaves the caller with nothing rather than with a part.
void BackendCall::relayPlain(std::string_view piece)
{
    if (relay_->isStarted())
        return relay_->write(std::string(piece));
    attempt_.body += piece;
    if (attempt_.body.size() <= MaxBufferedBytes)
        return;
    startRelay();
    relay_->write(std::move(attempt_.body));
    attempt_.body.clear();
}

void BackendCall::onEnd()
{
    if (attempt_.purpose == Attempt::Purpose::Resume && (attempt_.head.status != Ok || !isEventStream()))
        return breakOff();
    if (isErrorAnswer() && !relay_->isStarted())
        return onAttemptEnd(Routing::ServerErrorResponse{.status = attempt_.head.status, .evidence = parseNotRunEvidence(attempt_.body)});
    if (!isEventStream())
        return relayCompleteAnswer();
    // An event stream is complete only with its last event, even if its connection was closed cleanly.
    if (!progress_.isDone()) {
        return onAttemptEnd(Routing::ExchangeFailed{.error = Http::HttpError::ClosedEarly,
                                                    .reached = Http::Reached::ResponseStarted,
                                                    .relayed = relay_->isStarted() ? Routing::Relayed::Part : Routing::Relayed::Nothing});
    }
    end({.kind = CallResult::Kind::Answered}, [relay = relay_] { relay->finish(); });
}

void BackendCall::relayCompleteAnswer()
{
    if (relay_->isStarted())
        return end({.kind = CallResult::Kind::Answered}, [relay = relay_] { relay->finish(); });
    recordFirstPiece();
    Http::HttpResponse response{
        .status = attempt_.head.status, .headers = toCallerHeaders(*request_, attempt_.head.headers), .body = std::move(attempt_.body)};
    bool const isTemporary = response.status == TooManyRequests || response.status == ServiceUnavailable;
    if (isTemporary && !response.headers.contains("Retry-After")) {
        auto const wait = std::chrono::ceil<std::chrono::seconds>(Refusals::jitteredDelay(1s, context_.random));
        response.headers.set("Retry-After", std::to_string(wait.count()));
    }
    if (request_->kind == Rules::PoolKind::ModelEngine)
        request_->tokens = parseCompletionTokens(response.body);
    auto const runState = isErrorAnswer() ? runState_ : RunState::MayHaveRun;
    end({.kind = CallResult::Kind::Answered, .runState = runState, .response = response},
        [request = request_, response] { request->respond(response); });
}

void BackendCall::onFailure(Http::ExchangeFailure const &failure)
{
    auto const &server = attempt_.inFlight->server();
    bool const isFresh = failure.connection == Http::ConnectionUse::Fresh;
    // An exchange that ends because of the request's own deadline is no evidence against the server.
    bool const isOwnDeadline = readLocalClock() >= request_->deadline;
    if (!isOwnDeadline && context_.hooks.onServerEvidence)
        context_.hooks.onServerEvidence(
            server.id, isFresh ? Routing::ServerEvidence::FreshConnectionFailed : Routing::ServerEvidence::ReusedConnectionFailed);
    if (!isFresh)
        context_.client.dropIdle(server.address);
    Observe::log(Observe::Events::EntryAttemptFailed,
                 {{"request", request_->id.value()}, {"server", server.id.value()}, {"error", failure.error.toString()}});
    attempt_.span->tag("error", failure.error.code.message());
    onAttemptEnd(Routing::ExchangeFailed{
        .error = httpErrorOf(failure.error.code),
        .reached = failure.reached,
        .connection = failure.connection,
        .relayed = relay_->isStarted() ? Routing::Relayed::Part : Routing::Relayed::Nothing,
    });
}

void BackendCall::onAttemptEnd(Routing::AttemptEnd const &end)
{
    // The caller has the last event of the stream; a resume would send it again.
    if (progress_.isDone())
        return this->end({.kind = CallResult::Kind::Answered}, [relay = relay_] { relay->finish(); });
    // A failed resume is not a run of its own. The run that it resumes is already counted.
    if (Routing::runStateAfter(end) == RunState::MayHaveRun)
        runState_ = RunState::MayHaveRun;
    auto const *errorResponse = std::get_if<Routing::ServerErrorResponse>(&end);
    // A server's "not run" applies to its own attempt only. It must not reach the caller after another attempt that may have run.
    hasRelayableAnswer_ = errorResponse && (errorResponse->evidence == Routing::NotRunEvidence::None || runState_ == RunState::NotRun);
    auto const step = affordableStep(Routing::nextStepAfter(end, request_->repeatability));
    if (step != NextStep::Refuse && step != NextStep::RelayResponse)
        return performStep(step);
    performStep(hasRelayableAnswer_ ? NextStep::RelayResponse : NextStep::Refuse);
}

/// Returns the step itself, or a step without a retry if the deadline has passed or the attempts or the retry budget are used up.
NextStep BackendCall::affordableStep(NextStep step)
{
    if (!Routing::isRetry(step))
        return step;
    auto const now = readLocalClock();
    bool const isAffordable = now < request_->deadline && attempts_ < MaxAttempts && context_.retryBudget.tryTake(now);
    if (step == NextStep::ResumeStream)
        return isAffordable && !progress_.completionId().empty() ? step : NextStep::AbortResponse;
    return isAffordable ? step : NextStep::Refuse;
}

void BackendCall::performStep(NextStep step)
{
    switch (step) {
    case NextStep::SendOnFreshConnection: {
        context_.metrics.retries.add();
        auto const server = attempt_.inFlight->server();
        return send(server, Http::ClientRequest::Connection::FreshOnly);
    }
    case NextStep::SendToOtherServer:
        context_.metrics.retries.add();
        return sendToNextServer();
    case NextStep::ResumeStream:
        return sendResume();
    case NextStep::RelayResponse:
        return relayCompleteAnswer();
    case NextStep::Refuse:
        return refuse();
    case NextStep::AbortResponse:
        return breakOff();
    }
}

void BackendCall::refuse()
{
    auto const now = readLocalClock();
    auto const retryAfter = Refusals::jitteredDelay(1s, context_.random);
    auto const refusal = now >= request_->deadline ? Refusals::deadlinePassed(runState_)
                                                   : Refusals::afterAttempts(request_->repeatability, runState_, retryAfter);
    end({.kind = CallResult::Kind::Refused, .runState = runState_}, [request = request_, refusal] { request->refuse(refusal); });
}

void BackendCall::breakOff()
{
    context_.metrics.brokenStreams.add();
    Observe::log(Observe::Events::EntryStreamBroken,
                 {{"request", request_->id.value()}, {"server", attempt_.inFlight->server().id.value()}});
    bool const isEvents = request_->answerForm == AnswerForm::EventStream;
    end({.kind = CallResult::Kind::BrokenOff}, [relay = relay_, isEvents] {
        if (isEvents)
            relay->breakOffWithEvent(Refusals::streamBroken());
        else
            relay->abort();
    });
}

void BackendCall::abandon()
{
    if (isFinished_)
        return;
    end({.kind = CallResult::Kind::BrokenOff}, [relay = relay_] { relay->abort(); });
}

void BackendCall::onCallerGone()
{
    if (isFinished_)
        return;
    context_.metrics.callersGone.add();
    end({.kind = CallResult::Kind::BrokenOff}, [] {});
}

void BackendCall::end(CallResult result, std::function<void()> answer)
{
    isFinished_ = true;
    context_.abandonCallbacks.erase(this);
    request_->tokens = std::max(request_->tokens, progress_.tokens());
    if (attempt_.exchange)
        attempt_.exchange->cancel();
    relay_->setSource(nullptr);
    attempt_.span.reset();
    attempt_.inFlight.reset();
    if (auto const callback = std::exchange(request_->onCallResult, nullptr))
        callback(std::move(result), std::move(answer));
    else
        answer();
}

} // namespace Anvilyard::Entry
