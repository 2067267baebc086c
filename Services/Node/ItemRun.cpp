#include "Services/Node/ItemRun.h"

#include "LibCore/Utf8.h"
#include "LibHttp/HttpError.h"
#include "LibObserve/Events.h"

namespace Anvilyard::Node {

using Jobs::SendEnd;

namespace {

constexpr int Ok = 200;
constexpr int UnprocessableContent = 422;
constexpr int InternalServerError = 500;
constexpr Duration ConnectTimeout = 250ms;
/// An item may wait for a slot behind online requests. After this time, another server is likely to start it sooner.
constexpr Duration HeadTimeout = 2s;
/// The same for an item that may be sent only few times again.
constexpr Duration CarefulHeadTimeout = 8s;
/// Events arrive some tens of milliseconds apart, a few hundred on a slow server.
constexpr Duration ProgressTimeout = 1s;
/// Upper limit for every run, about ten times the longest one.
constexpr Duration RunTimeout = 60s;

/// Negative if the first time is the later one.
std::string millisecondsBetween(Instant from, Instant until)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(until - from).count());
}

} // namespace

Serving::RequestSuspects suspectsOf(NodeContext const &context, Jobs::JobItem const &item, ItemOrigin const &origin)
{
    return {.parts = context.protocol.readPromptParts(item.headers),
            .request = context.protocol.fingerprintOf(item, origin.host, origin.customer)};
}

ItemRun::ItemRun(NodeContext &context, HealthProber &health, Serving::ServerRecord server, Jobs::ItemStart item, Hooks hooks)
    : context_(context)
    , health_(health)
    , server_(std::move(server))
    , item_(std::move(item))
    , hooks_(std::move(hooks))
    , sequence_(item_.lastEventId)
    , events_(sequence_)
    , startedAt_(readLocalClock())
{
}

void ItemRun::reserve()
{
    if (std::exchange(isReserved_, true))
        return;
    context_.health.onSent(server_.id, readLocalClock());
    context_.load.onStarted(server_.id, Serving::WorkClass::Batch);
}

void ItemRun::start(Jobs::JobItem const &item, ItemOrigin const &origin)
{
    itemId_ = item.id;
    suspects_ = suspectsOf(context_, item, origin);
    startedAt_ = readLocalClock();
    reserve();
    if (!context_.prompts.isTrial(suspects_))
        return send(item, origin);
    context_.reserveTrial(suspects_, [self = shared_from_this(), item, origin](std::optional<WallInstant> trialAt) {
        self->trialAt_ = trialAt;
        if (self->isEnded_)
            return self->returnTrial();
        if (!trialAt)
            return self->finish(SendEnd::Unserved);
        self->send(item, origin);
    });
}

void ItemRun::send(Jobs::JobItem const &item, ItemOrigin const &origin)
{
    context_.prompts.onPlaced(suspects_);
    Http::ClientRequest request{
        .server = server_.address,
        .request = context_.protocol.makeServerRequest(
            item, origin.host, {.server = server_.id, .lastEventId = item_.lastEventId, .customer = origin.customer}),
        .deadline = startedAt_ + RunTimeout,
        .connectTimeout = ConnectTimeout,
        .headTimeout = isSentWithCare() ? CarefulHeadTimeout : HeadTimeout,
        .progressTimeout = ProgressTimeout,
        // The server may have dropped an idle connection without notice.
        .connection = isSentWithCare() ? Http::ClientRequest::Connection::FreshOnly : Http::ClientRequest::Connection::AnyIdle,
        .framing = Http::ClientRequest::Framing::CloseMayEnd,
        .matchesRequest =
            [&protocol = context_.protocol, id = item.id](Http::ResponseHead const &head) {
                auto const answeredRequest = protocol.readResponseHead(head).answeredRequest;
                return !answeredRequest || answeredRequest->value() == id.value();
            },
        .identity = Http::identifyRequest(item.id.value()),
    };
    auto const self = shared_from_this();
    exchange_ = context_.serverClient->send(std::move(request),
                                            {
                                                .onHead = [self](Http::ResponseHead const &head) { self->onHead(head); },
                                                .onPiece = [self](std::string_view piece) { self->onPiece(piece); },
                                                .onEnd = [self] { self->onResponseEnd(); },
                                                .onFailure = [self](Http::ExchangeFailure const &failure) { self->onFailure(failure); },
                                                .onSending = [self] { self->onSending(); },
                                            });
}

void ItemRun::onSending()
{
    isSent_ = true;
    if (!trialAt_)
        trialAt_ = context_.prompts.onSent(suspects_);
}

void ItemRun::returnTrial()
{
    if (trialAt_ && !isSent_)
        context_.prompts.onTrialEnded(suspects_, *trialAt_, Serving::TrialOutcome::NotSent);
}

void ItemRun::onHead(Http::ResponseHead const &head)
{
    auto const traits = context_.protocol.readResponseHead(head);
    status_ = head.status;
    recordResponse(context_, server_, traits, startedAt_);
    reportIfLeaving(context_, server_, traits);
    if (trialAt_ && traits.isNotRun)
        context_.prompts.onTrialEnded(suspects_, *trialAt_, Serving::TrialOutcome::NotRun);
    bool const isInvalid = status_ == Ok && (!traits.isSigned || traits.isEncoded);
    if (isInvalid)
        fail({.code = Http::HttpError::Malformed});
}

void ItemRun::logRejection() const
{
    Observe::log(Observe::Events::NodeItemRejected,
                 {{"job", item_.job.value()},
                  {"item", itemId_.value()},
                  {"server", server_.id.value()},
                  {"status", std::to_string(status_)},
                  {"own_batch", std::to_string(context_.load.at(server_.id).batch)},
                  {"others_online", std::to_string(context_.peers.othersAt(server_.id).online)},
                  {"others_batch", std::to_string(context_.peers.othersAt(server_.id).batch)}});
}

void ItemRun::onPiece(std::string_view piece)
{
    if (status_ != Ok || isEnded_)
        return;
    auto const eventsBefore = sequence_.count();
    std::optional<Error> error;
    events_.take(piece, [&](std::string_view data) {
        if (error)
            return;
        // The store cannot hold it. The item goes on after the event before.
        if (!isUtf8(data))
            error = {.code = Http::HttpError::Malformed, .detail = "event data that is not UTF-8"};
        else if (!hooks_.onEvent(sequence_.lastId(), data))
            error = {.code = Http::HttpError::BodyTooLarge};
    });
    if (error)
        return fail(*error);
    if (eventsBefore == 0 && sequence_.count() > 0) {
        health_.onResponse(server_.id, status_, startedAt_);
        hooks_.onAnswered();
    }
    if (eventsBefore < Serving::EventsOfAnswer && sequence_.count() >= Serving::EventsOfAnswer)
        context_.prompts.onAnswered(suspects_);
    if (events_.isBroken())
        fail({.code = Http::HttpError::Malformed});
}

void ItemRun::onResponseEnd()
{
    if (status_ == Ok) {
        // An item has at least one event. Only a run that goes on after the last one has none.
        bool const hasNoEvent = sequence_.count() == 0 && !item_.lastEventId;
        if (events_.hasPartialEvent() || hasNoEvent) {
            Http::ExchangeFailure const failure{.error = {.code = Http::HttpError::ClosedEarly}, .reached = Http::Reached::ResponseStarted};
            recordLoss(failure);
            return fail(failure.error);
        }
        health_.onResponse(server_.id, status_, startedAt_);
        hooks_.onAnswered();
        context_.prompts.onAnswered(suspects_);
        return finish(SendEnd::Complete);
    }
    logRejection();
    health_.onResponse(server_.id, status_, startedAt_);
    if (status_ == InternalServerError || status_ == UnprocessableContent)
        context_.prompts.onAnswered({.request = suspects_.request});
    finish(status_ == InternalServerError ? SendEnd::Failed : status_ == UnprocessableContent ? SendEnd::Impossible : SendEnd::Unserved);
}

/// Runners get no online requests, so their items are the only evidence that a server is unreachable from here.
void ItemRun::onFailure(Http::ExchangeFailure const &failure)
{
    if (failure.connection == Http::ConnectionUse::Fresh && status_ == 0) {
        health_.onEvidence(server_.id, Routing::ServerEvidence::FreshConnectionFailed);
        if (failure.reached == Http::Reached::NothingSent)
            health_.onEvidence(server_.id, Routing::ServerEvidence::FreshConnectionFailed);
    }
    if (failure.error.code == Http::HttpError::ConnectFailed || failure.error.code == Http::HttpError::ConnectTimeout)
        health_.onConnectFailed(server_.id);
    if (failure.isRefused)
        context_.prompts.onRefused(server_);
    recordLoss(failure);
    // The rest of an error response may have been lost, as the whole of one may.
    bool const mayHaveFailed = status_ == 0 || status_ == InternalServerError || status_ == UnprocessableContent;
    bool const isUnanswered = mayHaveFailed && failure.reached != Http::Reached::NothingSent;
    fail(failure.error, isUnanswered ? SendEnd::Unanswered : SendEnd::Unserved);
}

void ItemRun::recordLoss(Http::ExchangeFailure const &failure)
{
    bool const isRejected = status_ != 0 && status_ != Ok;
    bool const isLost = failure.error.code == Http::HttpError::ClosedEarly && failure.reached != Http::Reached::NothingSent && !isRejected
        && sequence_.count() < Serving::EventsOfAnswer;
    if (!isLost || !mayCrash(context_, server_))
        return;
    context_.prompts.onLost(server_, suspects_, startedAt_);
    health_.probeLostServers(readLocalClock());
}

void ItemRun::fail(Error const &error, SendEnd end)
{
    // A head alone is no answer of the server.
    if (error.code == Http::HttpError::Malformed && status_ != 0)
        health_.onEvidence(server_.id, Routing::ServerEvidence::FreshConnectionFailed);
    auto const answeredAt = context_.health.answeredAt(server_.id);
    Observe::log(Observe::Events::NodeItemAttemptFailed,
                 {{"job", item_.job.value()},
                  {"item", itemId_.value()},
                  {"server", server_.id.value()},
                  {"error", error.toString()},
                  {"after_event", item_.lastEventId ? std::to_string(*item_.lastEventId) : "none"},
                  {"events", std::to_string(sequence_.count())},
                  {"unfinished_bytes", std::to_string(events_.unfinishedBytes())},
                  {"status", status_ == 0 ? "none" : std::to_string(status_)},
                  {"unanswered", end == SendEnd::Unanswered ? "true" : "false"},
                  {"careful", isSentWithCare() ? "true" : "false"},
                  {"server_answered_before_ms", answeredAt ? millisecondsBetween(*answeredAt, startedAt_) : "none"},
                  {"prompt_parts", Serving::toString(suspects_.parts)},
                  {"fingerprint", suspects_.request ? Serving::toString(*suspects_.request) : "none"},
                  {"server_started_at", std::to_string(server_.startedAt)}});
    if (hooks_.onBroken)
        hooks_.onBroken();
    finish(end);
}

void ItemRun::finish(SendEnd end)
{
    if (isEnded_)
        return;
    auto const onEnd = hooks_.onEnd;
    cancel();
    onEnd(end);
}

void ItemRun::cancel()
{
    if (std::exchange(isEnded_, true))
        return;
    if (auto const exchange = std::exchange(exchange_, nullptr))
        exchange->cancel();
    context_.load.onFinished(server_.id, Serving::WorkClass::Batch);
    returnTrial();
    hooks_ = {};
}

Serving::ServerRecord const &ItemRun::server() const
{
    return server_;
}

Jobs::ItemStart const &ItemRun::item() const
{
    return item_;
}

Instant ItemRun::startedAt() const
{
    return startedAt_;
}

bool ItemRun::isSent() const
{
    return isSent_;
}

bool ItemRun::hasResponse() const
{
    return status_ != 0;
}

bool ItemRun::isSentWithCare() const
{
    return item_.unansweredAt.has_value();
}

} // namespace Anvilyard::Node
