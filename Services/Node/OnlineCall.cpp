#include "Services/Node/OnlineCall.h"

#include "LibObserve/Events.h"
#include "LibServing/ResumePlacement.h"
#include "Services/Node/NodeRefusals.h"
#include "Services/Node/PlacementLog.h"

#include <algorithm>

namespace Anvilyard::Node {

using Http::HttpError;
using Routing::NextStep;
using Routing::Repeatability;
using Serving::RouteKind;

namespace {

constexpr int Ok = 200;
constexpr int FirstNonSuccess = 300;
/// A connection within a region is established in a few milliseconds.
constexpr Duration ConnectTimeout = 250ms;
/// Responses other than streams are buffered until they are complete.
constexpr std::size_t MaxBufferedResponseBytes = 8 * 1024 * 1024;
/// Reading from the server is paused while more bytes than this wait for a slow caller.
constexpr std::size_t MaxUnreadBytes = 256 * 1024;
/// Share of the route's event gap target after which a silent stream may be resumed at another server. The rest is left for the resume.
constexpr double SilenceShareOfGapTarget = 0.6;
/// Silence, in multiples of the gap target, after which a stream that no other server may run is resumed where it ran. The stream is
/// late by then; a shorter silence is more often a busy server than a dead connection.
constexpr double SilenceGapTargetsAtLastServer = 2;
/// Interval at which a request without a server looks whether the servers are out of reach. That takes a quarter of a second at most.
constexpr Duration ReachCheckDelay = 10ms;
/// Number of instances that are asked to take a request whose servers are out of reach. Then it is sent from here.
constexpr std::size_t MaxRelayRefusals = 4;
/// Number of permits that are requested for one request. Each takes some milliseconds.
constexpr std::size_t MaxPermitRequests = 8;
/// Time for which a request counts as in flight at the server that failed it, in mean run times of the pool. While most servers are busy,
/// one that fails its requests gets a quarter of what a sound one gets.
constexpr int FailedRequestRuns = 4;

Repeatability repeatabilityOf(Serving::Route const &route)
{
    switch (route.kind) {
    case RouteKind::Idempotent:
        return Repeatability::Idempotent;
    case RouteKind::Streaming:
        return route.isResumable ? Repeatability::Generation : Repeatability::Unsafe;
    case RouteKind::AtMostOnce:
    case RouteKind::Batch:
        break;
    }
    return Repeatability::Unsafe;
}

/// Whether the status guarantees to the caller that the request did not run and never will.
bool guaranteesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether the status says that the request is at fault.
bool isRequestError(int status)
{
    constexpr int FirstRequestError = 400;
    constexpr int FirstServerError = 500;
    return status >= FirstRequestError && status < FirstServerError;
}

/// Whether the status says that the server is at fault.
bool isServerError(int status)
{
    constexpr int FirstServerError = 500;
    return status >= FirstServerError;
}

bool isEventStream(Http::Headers const &headers)
{
    return headers.find("Content-Type").value_or("").starts_with("text/event-stream");
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string eventIdText(std::optional<std::uint64_t> id)
{
    return id ? std::to_string(*id) : "none";
}

char const *nameOf(Http::Reached reached)
{
    switch (reached) {
    case Http::Reached::NothingSent:
        return "nothing-sent";
    case Http::Reached::Sent:
        return "sent";
    case Http::Reached::ResponseStarted:
        return "response-started";
    }
    return "unknown";
}

std::string join(std::set<Serving::SoftwareVersion> const &versions)
{
    std::string text;
    for (auto const &version : versions)
        text += (text.empty() ? "" : ",") + version.value();
    return text;
}

std::string millisecondsSince(Instant since, Instant now)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
}

} // namespace

OnlineCall::OnlineCall(Parts parts)
    : parts_(std::move(parts))
    // A stream goes on in the pool in which its first attempt began it.
    , pool_(parts_.relay && !parts_.relay->pool.value().empty()
                ? parts_.relay->pool
                : Serving::poolFor(parts_.route, parts_.head.resumes.value().empty() ? parts_.head.id : parts_.head.resumes))
    , routeMetrics_(parts_.metrics.route(parts_.route.name))
    , startedAt_(readLocalClock())
    , deadline_(startedAt_ + std::min(parts_.route.timeout, parts_.head.timeLeft.value_or(parts_.route.timeout)))
    , admission_({.context = parts_.context,
                  .metrics = parts_.metrics,
                  .request = parts_.head.id,
                  .urgency = Serving::urgencyOf(parts_.route.priority),
                  .customer = parts_.customer})
    , plan_({
          .repeatability = repeatabilityOf(parts_.route),
          // The instance that passed the request on counts it as one server.
          .maxServers = parts_.relay ? 1 : parts_.route.maxServers,
          .latencyTarget = parts_.route.latencyTarget,
          .deadline = deadline_,
      })
    , events_(parts_.head.lastEventId)
{
}

void OnlineCall::start()
{
    if (parts_.relay) {
        streamVersion_ = parts_.relay->version;
        ++parts_.context.relayedCalls;
        parts_.metrics.relayedRequests.add();
    } else {
        parts_.metrics.requests.add();
    }
    parts_.context.moveBudget.onFirstSend();
    parts_.writer->onCallerGone([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->onCallerGone();
    });
    parts_.writer->onKeptTooMuch([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->dropResponse();
    });
    if (isResumable() && parts_.head.lastEventId && !streamVersion_)
        findOrigin();
    else
        placeAndSend();
}

bool OnlineCall::isStream() const
{
    return parts_.route.kind == RouteKind::Streaming;
}

bool OnlineCall::isResumable() const
{
    return isStream() && parts_.route.isResumable;
}

void OnlineCall::findOrigin()
{
    parts_.origins.find(
        parts_.head.resumes, pool_, [self = shared_from_this()](StreamOriginClient::Finding finding, Serving::StreamOrigin const &origin) {
            if (!self->isFinished_)
                self->onOrigin(finding, origin);
        });
}

void OnlineCall::onOrigin(StreamOriginClient::Finding finding, Serving::StreamOrigin const &origin)
{
    switch (finding) {
    case StreamOriginClient::Finding::Known:
        break;
    case StreamOriginClient::Finding::Unknown:
        return refuse(Refusals::originUnknown());
    case StreamOriginClient::Finding::Unreachable:
        return refuse(Refusals::originUnreachable());
    }
    auto const &pools = parts_.route.pools;
    bool const isRouted = std::ranges::any_of(pools, [&](Serving::WeightedPool const &pool) { return pool.pool == origin.pool; });
    // The desired state no longer allows the pool in which the stream began.
    if (!isRouted)
        return refuse(Refusals::versionGone());
    pool_ = origin.pool;
    streamVersion_ = origin.version;
    placeAndSend();
}

void OnlineCall::onStreamBegins()
{
    if (!isResumable() || streamVersion_)
        return;
    streamVersion_ = attempt_->server.softwareVersion;
    if (attempt_->isVersionKnown)
        parts_.origins.onBegun(parts_.head.id, {.pool = pool_, .version = *streamVersion_});
}

/// A stream goes on only at the version that began it. A new one begins only at a version in the record, or it would not be known later
/// that this version may have begun it.
bool OnlineCall::acceptsVersion(Serving::SoftwareVersion const &version) const
{
    return streamVersion_ ? version == *streamVersion_ : parts_.context.versions.isRecorded(pool_, version);
}

bool OnlineCall::isVersionGone() const
{
    return streamVersion_ && !parts_.context.versions.inUse(pool_).contains(*streamVersion_);
}

/// Silence after which the current stream may be resumed; `std::nullopt` if it cannot be.
std::optional<Duration> OnlineCall::silenceLimit() const
{
    if (!isStream() || !parts_.route.isResumable || !parts_.route.eventGapTarget)
        return std::nullopt;
    // The other instance moves the stream away from a silent server. Only if it is silent itself is it left.
    auto const factor =
        !attempt_->helper && plan_.mayMoveFrom(attempt_->server.id) ? SilenceShareOfGapTarget : SilenceGapTargetsAtLastServer;
    return std::chrono::duration_cast<Duration>(*parts_.route.eventGapTarget * factor);
}

void OnlineCall::placeAndSend()
{
    if (!reservedTrial_ && refuseIfQuarantined())
        return;
    if (auto const helper = chooseHelper())
        return sendToHelper(*helper);
    if (!reservedTrial_ && !isAnswered_ && parts_.context.prompts.isTrial(suspects()))
        return reserveTrial();
    // A stream that may run at no further server is resumed at a server where it ran.
    if (auto only = plan_.onlyServers(); !only.empty()) {
        auto const server =
            Serving::findResumeServer(parts_.context.directory,
                                      {.candidates = std::move(only),
                                       .ejected = parts_.context.health.ejected(),
                                       .acceptsVersion = [this](auto const &version) { return !isResumable() || acceptsVersion(version); }},
                                      readLocalClock());
        return server ? sendWithPermit(*server, false, Connection::Fresh) : abortStream("only-server-gone");
    }
    // A request that may already have run is not refused because of load, nor is a stream that its caller resumes: it may go on only at the
    // servers of its version, which may be few.
    bool const mayBeRefusedForLoad = attempts_ == 0 && !streamVersion_;
    auto const latencyTarget = mayBeRefusedForLoad ? parts_.route.latencyTarget : Duration::max() / 4;
    using LimitedServers = Serving::PlacementRequest::LimitedServers;
    auto const placement = findPlacement(latencyTarget, permitRequests_ < MaxPermitRequests ? LimitedServers::Use : LimitedServers::Avoid);
    if (attempts_ == 0)
        parts_.metrics.expectedWaitSeconds.record(toSeconds(placement.shortestWait));
    if (auto const refusal = admission_.refusalOf(pool_, placement, latencyTarget, readLocalClock()))
        return refuse(*refusal);
    switch (placement.outcome) {
    case Serving::Placement::Outcome::Chosen:
        // A kept connection may be stale, and a trial is not repeated.
        return sendWithPermit(placement.server, placement.hasFreeSlot, reservedTrial_ ? Connection::Fresh : Connection::Any);
    case Serving::Placement::Outcome::Full:
        logNoPlacement(placement, latencyTarget);
        return refuse(Refusals::overloaded(returnDelay(placement)));
    case Serving::Placement::Outcome::LimitsReached:
        logNoPlacement(placement, latencyTarget);
        return refuseAtLimits(placement);
    case Serving::Placement::Outcome::NoServer:
        if (!isRelaying_ && waitForReachCheck())
            return;
        logNoPlacement(placement, latencyTarget);
        if (isRelaying_)
            return resumeLater("no-server");
        return isVersionGone() && !plan_.mayHaveRun() ? refuse(Refusals::versionGone()) : refuseAfterAttempts();
    }
}

void OnlineCall::reserveTrial()
{
    parts_.context.reserveTrial(suspects(), [self = shared_from_this()](std::optional<WallInstant> trialAt) {
        self->reservedTrial_ = trialAt;
        if (self->isFinished_)
            return self->returnTrial();
        // Without the trial it is refused, unless the suspect was answered meanwhile.
        self->placeAndSend();
    });
}

void OnlineCall::returnTrial()
{
    if (auto const trialAt = std::exchange(reservedTrial_, std::nullopt))
        parts_.context.prompts.onTrialEnded(suspects(), *trialAt, Serving::TrialOutcome::NotSent);
}

void OnlineCall::sendWithPermit(Serving::ServerRecord const &server, bool hasFreeSlot, Connection connection)
{
    if (!parts_.context.limits.isLimited(server))
        return send(server, hasFreeSlot, connection);
    ++permitRequests_;
    parts_.permits.request(
        server, Serving::urgencyOf(parts_.route.priority), [self = shared_from_this(), server, hasFreeSlot, connection](bool isGranted) {
            if (self->isFinished_)
                return;
            if (isGranted)
                self->send(server, hasFreeSlot, connection);
            else
                self->onPermitDenied();
        });
}

void OnlineCall::onPermitDenied()
{
    if (plan_.onlyServers().empty())
        return placeAndSend();
    if (isRelaying_)
        return resumeLater("limits-reached");
    refuse(Refusals::outcomeUnknown());
}

void OnlineCall::refuseAtLimits(Serving::Placement const &placement)
{
    if (isRelaying_)
        return resumeLater("limits-reached");
    if (plan_.mayHaveRun())
        return refuse(Refusals::outcomeUnknown());
    refuse(Refusals::limitsReached(returnDelay(placement)));
}

Duration OnlineCall::returnDelay(Serving::Placement const &placement)
{
    if (!placement.limitedRate)
        return placement.retryAfter;
    auto &context = parts_.context;
    // Entries are assumed to refuse equally often.
    Serving::RequestRate const share(placement.limitedRate->value() / static_cast<double>(std::max<std::size_t>(1, context.fleetSize)));
    auto const urgency = Serving::urgencyOf(parts_.route.priority);
    return context.returns[pool_].next(urgency, placement.retryAfter, share, readLocalClock());
}

Serving::Placement OnlineCall::findPlacement(Duration latencyTarget, Serving::PlacementRequest::LimitedServers limitedServers)
{
    auto &context = parts_.context;
    auto const now = readLocalClock();
    auto const tried = plan_.excluded();
    auto excluded = context.health.avoided(plan_.sendsLeft(), now);
    bool const areAnyAvoided = !excluded.empty();
    excluded.insert(excluded.end(), tried.begin(), tried.end());
    Serving::PlacementRequest request{
        .pool = pool_,
        .latencyTarget = latencyTarget,
        .prefix = &parts_.head.prefix,
        .excluded = excluded,
        .loadAge = context.loadAge,
        .allowances = context.limits.limitedServers() > 0 ? &context.limits.allowances() : nullptr,
        .limitedServers = limitedServers,
        .urgency = Serving::urgencyOf(parts_.route.priority),
        .acceptsVersion = isResumable() ? [this](Serving::SoftwareVersion const &version) { return acceptsVersion(version); }
                                        : std::function<bool(Serving::SoftwareVersion const &)>(),
        .reserveServers =
            streamVersion_ ? Serving::PlacementRequest::ReserveServers::Use : Serving::PlacementRequest::ReserveServers::Avoid,
    };
    auto const placement = context.placement.place(request, context.load, context.peers, now, context.random);
    if (!areAnyAvoided || placement.outcome == Serving::Placement::Outcome::Chosen)
        return placement;
    // A server that may fail the request is better than none.
    request.excluded = tried;
    return context.placement.place(request, context.load, context.peers, now, context.random);
}

void OnlineCall::logNoPlacement(Serving::Placement const &placement, Duration latencyTarget) const
{
    UnplacedRequest const unplaced{
        .request = parts_.head.id, .pool = pool_, .triedServers = plan_.excluded().size(), .latencyTarget = latencyTarget};
    Node::logNoPlacement(parts_.context, unplaced, placement);
}

void OnlineCall::send(Serving::ServerRecord const &server, bool hasFreeSlot, Connection connection)
{
    auto const now = readLocalClock();
    auto &context = parts_.context;
    ++attempts_;
    parts_.metrics.sends.add();
    if (context.limits.isLimited(server))
        parts_.metrics.limitedSends.add();
    plan_.onSent(server.id);
    if (!isAnswered_)
        context.prompts.onPlaced(suspects());
    attempt_ = std::make_shared<Attempt>(
        Attempt{.server = server, .sentAt = now, .events = Serving::EventReader(events_), .earlierEvents = events_.count()});
    context.health.onSent(server.id, now);
    context.load.onStarted(server.id, Serving::WorkClass::Online);
    context.placement.onStarted(server, &parts_.head.prefix);
    // If the server has no free slot or no other server is allowed, the request can only wait.
    auto const responseTimeout = this->responseTimeout(now);
    if (auto const slowStartTimeout = plan_.responseTimeout(true, now); hasFreeSlot && slowStartTimeout < responseTimeout)
        scheduleSlowStartCheck(now + slowStartTimeout);
    bool const mayRunOnlyOnce = repeatabilityOf(parts_.route) == Repeatability::Unsafe;
    Http::ClientRequest request{
        .server = server.address,
        .request = context.protocol.makeServerRequest(
            parts_.request,
            {.server = server.id, .timeLeft = deadline_ - now, .lastEventId = events_.lastId(), .customer = parts_.customer}),
        .deadline = deadline_,
        .connectTimeout = ConnectTimeout,
        .headTimeout = responseTimeout,
        .progressTimeout = std::max(Duration::zero(), deadline_ - now),
        // An idle connection may be dead, and a request that may run only once cannot be retried.
        .connection = mayRunOnlyOnce || connection == Connection::Fresh ? Http::ClientRequest::Connection::FreshOnly
                                                                        : Http::ClientRequest::Connection::AnyIdle,
        .framing = Http::ClientRequest::Framing::CloseMayEnd,
    };
    startExchange(*context.serverClient, std::move(request));
}

bool OnlineCall::mayRelay() const
{
    bool const mayRunAgain = repeatabilityOf(parts_.route) != Repeatability::Unsafe || !plan_.mayHaveRun();
    return !parts_.relay && relayRefusals_ < MaxRelayRefusals && mayRunAgain && plan_.mayUseAnotherServer()
        && readLocalClock() + Serving::MinTimeForSend < deadline_;
}

std::optional<Serving::RelayHelper> OnlineCall::chooseHelper()
{
    auto &context = parts_.context;
    if (!mayRelay() || !context.reach.isOutOfReach(pool_))
        return std::nullopt;
    return context.helpers.choose(pool_, context.otherEntries(), readLocalClock(), context.random);
}

bool OnlineCall::waitForReachCheck()
{
    if (!mayRelay() || !parts_.context.reach.isBeingChecked(pool_))
        return false;
    callAt(readLocalClock() + ReachCheckDelay, &OnlineCall::refuseAfterAttempts);
    return true;
}

void OnlineCall::sendToHelper(Serving::RelayHelper const &helper)
{
    auto const now = readLocalClock();
    auto &context = parts_.context;
    ++attempts_;
    parts_.metrics.relayedSends.add();
    // The other instance reserves a trial of its own.
    returnTrial();
    // Each send counts as one server, as the other instance sends the request to one.
    Serving::ServerRecord server{
        .id = ServerId(helper.id.value() + "/" + std::to_string(attempts_)), .pool = pool_, .address = helper.address};
    plan_.onSent(server.id);
    attempt_ = std::make_shared<Attempt>(Attempt{.server = std::move(server),
                                                 .helper = helper.id,
                                                 .isVersionKnown = false,
                                                 .sentAt = now,
                                                 .events = Serving::EventReader(events_),
                                                 .earlierEvents = events_.count()});
    auto request = context.protocol.makeServerRequest(
        parts_.request, {.timeLeft = deadline_ - now, .lastEventId = events_.lastId(), .customer = parts_.customer});
    addRelayTerms(request,
                  {.stateVersion = context.routes->state().version,
                   .pool = pool_,
                   .version = streamVersion_,
                   .isAuthenticated = parts_.customer.has_value()});
    Http::ClientRequest call{
        .server = helper.address,
        .request = std::move(request),
        .deadline = deadline_,
        .connectTimeout = ConnectTimeout,
        .headTimeout = responseTimeout(now),
        .progressTimeout = std::max(Duration::zero(), deadline_ - now),
        .connection = Http::ClientRequest::Connection::FreshOnly,
    };
    startExchange(*context.peerClient, std::move(call));
}

void OnlineCall::startExchange(Http::HttpClient &client, Http::ClientRequest request)
{
    request.matchesRequest = [&protocol = parts_.context.protocol, id = parts_.head.id](Http::ResponseHead const &head) {
        auto const answeredRequest = protocol.readResponseHead(head).answeredRequest;
        return !answeredRequest || *answeredRequest == id;
    };
    request.identity = Http::identifyRequest(parts_.head.id.value());
    // Handlers of an earlier attempt are ignored.
    auto const guarded = [self = shared_from_this(), attempt = attempt_](auto action) {
        if (self->attempt_ == attempt && attempt->exchange)
            action(*self);
    };
    attempt_->exchange = client.send(
        std::move(request),
        {
            .onHead = [guarded](Http::ResponseHead head) { guarded([&](OnlineCall &call) { call.onHead(std::move(head)); }); },
            .onPiece = [guarded](std::string_view piece) { guarded([&](OnlineCall &call) { call.onPiece(piece); }); },
            .onEnd = [guarded] { guarded([](OnlineCall &call) { call.onEnd(); }); },
            .onFailure = [guarded](Http::ExchangeFailure const &failure) { guarded([&](OnlineCall &call) { call.onFailure(failure); }); },
            .onSending = [guarded] { guarded([](OnlineCall &call) { call.onSending(); }); },
        });
}

void OnlineCall::onSending()
{
    // The other instance records what it sends to a server.
    if (!isAnswered_ && !attempt_->helper)
        attempt_->trialAt = reservedTrial_ ? std::exchange(reservedTrial_, std::nullopt) : parts_.context.prompts.onSent(suspects());
}

void OnlineCall::onHead(Http::ResponseHead head)
{
    attempt_->head = std::move(head);
    attempt_->traits = parts_.context.protocol.readResponseHead(attempt_->head);
    attempt_->progressTimer.reset();
    if (attempt_->helper) {
        recordRelayedHead();
    } else {
        reportIfLeaving(parts_.context, attempt_->server, attempt_->traits);
        recordResponse(parts_.context, attempt_->server, attempt_->traits, attempt_->sentAt);
    }
    bool const isSuccess = attempt_->head.status >= Ok && attempt_->head.status < FirstNonSuccess;
    // A success without the server's signature is not a valid response of that server.
    if (isSuccess && (!attempt_->traits.isSigned || attempt_->traits.isEncoded))
        return abortAttempt(HttpError::Malformed);
    attempt_->isEventStream = isSuccess && isStream() && isEventStream(attempt_->head.headers);
    if (attempt_->isEventStream) {
        attempt_->lastPieceAt = readLocalClock();
        scheduleSilenceCheck();
    }
    // A resumed response must be an event stream, too.
    if (isRelaying_ && !attempt_->isEventStream && isSuccess)
        abortAttempt(HttpError::Malformed);
}

void OnlineCall::recordRelayedHead()
{
    auto &context = parts_.context;
    auto const &traits = attempt_->traits;
    auto const source = traits.server ? context.directory.find(*traits.server, readLocalClock()) : std::nullopt;
    if (!source)
        return;
    reportIfLeaving(context, source->record, traits);
    context.limits.onResponse(source->record, traits.limit, attempt_->sentAt);
    attempt_->server.softwareVersion = source->record.softwareVersion;
    attempt_->isVersionKnown = true;
}

void OnlineCall::endRelayed()
{
    auto const now = readLocalClock();
    auto const server = attempt_->server.id;
    auto const status = attempt_->head.status;
    finishAttempt();
    auto reason = readRelayRefusal(attempt_->head.headers);
    // Earlier builds answer so, as they do not know the call. It is not an answer of a server, which would be signed.
    if (!reason && isRequestError(status) && !guaranteesNotRun(status) && !attempt_->traits.isSigned)
        reason = "unknown-call";
    // To its callers, an instance guarantees by such a status that the request did not run.
    bool const isNotRun = reason || guaranteesNotRun(status);
    auto const evidence = isNotRun ? Routing::NotRunEvidence::Stated : Routing::NotRunEvidence::Withheld;
    if (reason) {
        ++relayRefusals_;
        parts_.metrics.relayRefusals.add();
        parts_.context.helpers.onUnable(*attempt_->helper, pool_, now);
        Observe::log(Observe::Events::NodeRelayRefused,
                     {{"request", parts_.head.id.value()}, {"instance", attempt_->helper->value()}, {"reason", *reason}});
    } else if (guaranteesNotRun(status) && !plan_.mayHaveRun() && !isRelaying_) {
        parts_.writer->respond({.status = status,
                                .headers = parts_.context.protocol.makeCallerHeaders(attempt_->head.headers),
                                .body = std::move(attempt_->body)});
        return finish("refused-by-helper");
    }
    perform(plan_.onEnded(server, Routing::ServerErrorResponse{.status = status, .evidence = evidence}, now));
}

void OnlineCall::onPiece(std::string_view piece)
{
    if (attempt_->isEventStream)
        return relayEvents(piece);
    attempt_->body += piece;
    parts_.writer->setKeptBytes(attempt_->body.capacity());
    if (attempt_->body.size() > MaxBufferedResponseBytes)
        dropResponse();
}

/// Drops what is kept of the response. Another server may send one that fits.
void OnlineCall::dropResponse()
{
    if (isFinished_ || !attempt_ || !attempt_->exchange)
        return;
    attempt_->body = {};
    parts_.writer->setKeptBytes(0);
    abortAttempt(HttpError::BodyTooLarge);
}

void OnlineCall::relayEvents(std::string_view piece)
{
    auto const eventsBefore = attemptEvents();
    auto completeEvents = attempt_->events.take(piece);
    if (attempt_->progress.onPiece(piece.size(), completeEvents.size()))
        attempt_->lastPieceAt = readLocalClock();
    if (eventsBefore < Serving::EventsOfAnswer && attemptEvents() >= Serving::EventsOfAnswer) {
        isAnswered_ = true;
        parts_.context.prompts.onAnswered(suspects());
    }
    if (!completeEvents.empty()) {
        auto const now = readLocalClock();
        reportAnswered();
        onStreamBegins();
        attempt_->eventTimer.onEvents(attemptEvents(), now);
        if (!std::exchange(isRelaying_, true)) {
            // The caller receives the head of the first server even if another server resumes the stream.
            parts_.writer->start(
                {.status = attempt_->head.status, .headers = parts_.context.protocol.makeCallerHeaders(attempt_->head.headers)});
            routeMetrics_.firstEventSeconds.record(toSeconds(now - startedAt_));
        } else {
            routeMetrics_.eventGapSeconds.record(toSeconds(now - lastEventAt_));
        }
        lastEventAt_ = now;
        softwareVersions_.insert(attempt_->server.softwareVersion);
        parts_.writer->write(std::move(completeEvents), [weak = std::weak_ptr(attempt_)](Http::WriteOutcome outcome) {
            auto const attempt = weak.lock();
            if (attempt && outcome == Http::WriteOutcome::Written && std::exchange(attempt->isPaused, false) && attempt->exchange)
                attempt->exchange->resume();
        });
        if (parts_.writer->pendingBytes() > MaxUnreadBytes) {
            attempt_->isPaused = true;
            attempt_->exchange->pause();
        }
    }
    if (attempt_->events.isBroken())
        abortAttempt(HttpError::Malformed);
}

void OnlineCall::onEnd()
{
    return attempt_->isEventStream ? endStream() : endBuffered();
}

void OnlineCall::endStream()
{
    // A stream has at least one event. Only one that goes on after its last event has none left.
    bool const hasNoEvent = events_.count() == 0 && !events_.lastId();
    if (attempt_->events.hasPartialEvent() || hasNoEvent)
        return abortAttempt(HttpError::ClosedEarly);
    reportAnswered();
    if (!isRelaying_)
        parts_.writer->start(
            {.status = attempt_->head.status, .headers = parts_.context.protocol.makeCallerHeaders(attempt_->head.headers)});
    parts_.context.placement.onRunFinished(pool_, readLocalClock() - attempt_->sentAt);
    parts_.context.placement.onEvents(attempt_->server, attempt_->eventTimer.timing(), readLocalClock());
    parts_.context.prompts.onAnswered(suspects());
    finishAttempt();
    parts_.writer->finish();
    finish("served");
}

/// A head alone is no answer: the rest may be missing, or have no end.
void OnlineCall::reportAnswered()
{
    if (!attempt_->helper)
        parts_.health.onResponse(attempt_->server.id, attempt_->head.status, attempt_->sentAt);
}

void OnlineCall::endBuffered()
{
    reportAnswered();
    bool const isSuccess = attempt_->head.status >= Ok && attempt_->head.status < FirstNonSuccess;
    // Another instance sends failures of its own, too, when the server to which it passed the request on has crashed.
    bool const isFromServer = !attempt_->helper || attempt_->traits.isSigned;
    bool const isAnswered = isSuccess || (isFromServer && !attempt_->traits.isNotRun && !guaranteesNotRun(attempt_->head.status));
    if (isAnswered)
        parts_.context.prompts.onAnswered(suspects());
    if (isSuccess) {
        parts_.context.placement.onRunFinished(pool_, readLocalClock() - attempt_->sentAt);
        finishAttempt();
        parts_.writer->respond({.status = attempt_->head.status,
                                .headers = parts_.context.protocol.makeCallerHeaders(attempt_->head.headers),
                                .body = std::move(attempt_->body)});
        return finish("served");
    }
    if (attempt_->helper)
        return endRelayed();
    if (attempt_->trialAt && attempt_->traits.isNotRun)
        parts_.context.prompts.onTrialEnded(suspects(), *attempt_->trialAt, Serving::TrialOutcome::NotRun);
    auto const server = attempt_->server.id;
    auto const now = readLocalClock();
    auto const others = parts_.context.peers.othersAt(server);
    auto const own = parts_.context.load.at(server);
    Observe::log(Observe::Events::NodeAttemptRejected,
                 {{"request", parts_.head.id.value()},
                  {"server", server.value()},
                  {"status", std::to_string(attempt_->head.status)},
                  {"not_run", attempt_->traits.isNotRun ? "true" : "false"},
                  {"own_online", std::to_string(own.online)},
                  {"others_online", std::to_string(others.online)},
                  {"others_batch", std::to_string(others.batch)},
                  {"slots", std::to_string(attempt_->server.slots)},
                  {"after_ms", millisecondsSince(attempt_->sentAt, now)},
                  {"send", std::to_string(attempts_)}});
    if (isServerError(attempt_->head.status) && !attempt_->traits.isNotRun)
        keepPlace(now);
    finishAttempt();
    auto const evidence = attempt_->traits.isNotRun ? Routing::NotRunEvidence::Stated : Routing::NotRunEvidence::Withheld;
    perform(plan_.onEnded(server, Routing::ServerErrorResponse{.status = attempt_->head.status, .evidence = evidence}, now));
}

/// A server that fails requests at once always has free slots, and would get most of them.
void OnlineCall::keepPlace(Instant now)
{
    auto const until = now + FailedRequestRuns * parts_.context.placement.meanRun(pool_);
    parts_.context.load.onFailed(attempt_->server.id, Serving::WorkClass::Online, until);
}

void OnlineCall::onFailure(Http::ExchangeFailure const &failure)
{
    auto const server = attempt_->server.id;
    auto const now = readLocalClock();
    bool const isConnectFailure = failure.error.code == HttpError::ConnectFailed || failure.error.code == HttpError::ConnectTimeout;
    // At the deadline, or when its stream was moved, the server may merely be slow.
    bool const mayBeSlow = now >= deadline_ || (attempt_->isMoved && failure.reached == Http::Reached::ResponseStarted);
    if (attempt_->helper) {
        if (!mayBeSlow)
            parts_.context.helpers.onUnable(*attempt_->helper, pool_, now);
    } else if (isConnectFailure) {
        parts_.health.onConnectFailed(server);
    }
    if (failure.connection == Http::ConnectionUse::Fresh && !mayBeSlow && !attempt_->helper) {
        parts_.health.onEvidence(server, Routing::ServerEvidence::FreshConnectionFailed);
        if (isConnectFailure)
            parts_.health.onEvidence(server, Routing::ServerEvidence::FreshConnectionFailed);
    }
    if (attempt_->events.hasPartialEvent())
        parts_.metrics.unfinishedEvents.add();
    if (!attempt_->helper) {
        bool const isReset =
            failure.error.code == HttpError::ClosedEarly && failure.connection == Http::ConnectionUse::Fresh && attemptEvents() == 0;
        if (isReset || failure.error.code == HttpError::Malformed || failure.error.code == HttpError::BodyTooLarge)
            keepPlace(now);
        if (isResponseLost(failure.error))
            parts_.metrics.lostResponses.add();
        if (failure.isRefused)
            parts_.context.prompts.onRefused(attempt_->server);
        recordLoss(failure);
    }
    auto const step = plan_.onEnded(server,
                                    Routing::ExchangeFailed{
                                        .reached = failure.reached,
                                        .connection = failure.connection,
                                        .relayed = isRelaying_ ? Routing::Relayed::Part : Routing::Relayed::Nothing,
                                    },
                                    now);
    char const *const connection = attempt_->isAborted ? "unknown" : failure.connection == Http::ConnectionUse::Fresh ? "fresh" : "reused";
    Observe::log(Observe::Events::NodeAttemptFailed,
                 {{"request", parts_.head.id.value()},
                  {"server", server.value()},
                  {"error", failure.error.toString()},
                  {"connection", connection},
                  {"events", std::to_string(events_.count())},
                  {"attempt_events", std::to_string(attemptEvents())},
                  {"unfinished_bytes", std::to_string(attempt_->events.unfinishedBytes())},
                  {"head", attempt_->head.status == 0 ? "none" : std::to_string(attempt_->head.status)},
                  {"prompt_parts", Serving::toString(parts_.head.promptParts)},
                  {"fingerprint", Serving::toString(parts_.head.fingerprint)},
                  {"server_started_at", std::to_string(attempt_->server.startedAt)},
                  {"reached", nameOf(failure.reached)},
                  {"next", Routing::nameOf(step)},
                  {"after_ms", millisecondsSince(attempt_->sentAt, now)},
                  {"send", std::to_string(attempts_)}});
    finishAttempt();
    perform(step);
}

std::size_t OnlineCall::attemptEvents() const
{
    return events_.count() - attempt_->earlierEvents;
}

bool OnlineCall::isResponseLost(Error const &error) const
{
    return attempt_->isEventStream && error.code == HttpError::ClosedEarly && attemptEvents() < Serving::EventsOfAnswer;
}

void OnlineCall::recordLoss(Http::ExchangeFailure const &failure)
{
    auto const status = attempt_->head.status;
    bool const isRejected = status != 0 && (status < Ok || status >= FirstNonSuccess);
    bool const isAnswered = attempt_->isEventStream && attemptEvents() >= Serving::EventsOfAnswer;
    bool const isLost = failure.error.code == HttpError::ClosedEarly && failure.reached != Http::Reached::NothingSent && !isRejected;
    auto &context = parts_.context;
    if (!isLost || isAnswered || !mayCrash(context, attempt_->server))
        return;
    auto lost = suspects();
    // An earlier attempt was answered.
    if (isAnswered_)
        lost.request.reset();
    if (lost.parts.empty() && !lost.request)
        return;
    context.prompts.onLost(attempt_->server, std::move(lost), attempt_->sentAt);
    parts_.health.probeLostServers(readLocalClock());
}

/// Whether the request may be what servers crashed on. It is not sent to another server because of silence, as each send may cost one, and
/// the one that runs it may still answer or crash.
bool OnlineCall::mayCrashServers() const
{
    return !isAnswered_ && parts_.context.prompts.isSuspected(suspects());
}

Duration OnlineCall::responseTimeout(Instant now) const
{
    return mayCrashServers() ? std::max(Duration::zero(), deadline_ - now) : plan_.responseTimeout(false, now);
}

Serving::RequestSuspects OnlineCall::suspects() const
{
    return {.parts = parts_.head.promptParts, .request = parts_.head.fingerprint};
}

void OnlineCall::scheduleSlowStartCheck(Instant until)
{
    attempt_->progressTimer = parts_.context.loop.at(until, [weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->onSlowStart();
    });
}

/// The server seemed to have a free slot but has not responded. At a load peak all servers are slow to start requests, and a
/// request that is moved loses its place in the queue. A request is therefore moved only to a server with a free slot, and only as
/// the budget allows.
void OnlineCall::onSlowStart()
{
    if (!attempt_->exchange)
        return;
    if (!mayCrashServers() && mayMoveToFreeSlot())
        abortAttempt(HttpError::Silent, Http::Reached::Sent);
}

/// Whether another server has a free slot for this request and the budget allows to move it. Takes one move from the budget.
bool OnlineCall::mayMoveToFreeSlot()
{
    auto const placement = findPlacement(parts_.route.latencyTarget, Serving::PlacementRequest::LimitedServers::Avoid);
    bool const isBetter = placement.outcome == Serving::Placement::Outcome::Chosen && placement.hasFreeSlot;
    return isBetter && parts_.context.moveBudget.tryTake(readLocalClock());
}

/// Whether the stream may be sent to its current server again and the budget allows it. Takes one move from the budget.
bool OnlineCall::mayResumeHere(Instant now)
{
    auto &context = parts_.context;
    auto const &id = attempt_->server.id;
    auto const server = context.directory.find(id, now);
    // A leaving or ejected server would not take the stream again, and a limited one should not get it twice.
    bool const takesIt = server && server->use == Serving::ServerUse::Usable && !context.health.ejected().contains(id)
        && !context.limits.isLimited(server->record);
    return takesIt && context.moveBudget.tryTake(now);
}

void OnlineCall::scheduleSilenceCheck()
{
    auto const limit = silenceLimit();
    if (!limit)
        return;
    attempt_->progressTimer = parts_.context.loop.at(attempt_->lastPieceAt + *limit, [weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->onSilenceCheck();
    });
}

/// A silent stream has either a dead connection or a busy server. When all servers are busy, every stream is silent for a while, and a
/// stream that is resumed elsewhere has its prompt read again. A stream is therefore moved only to a free slot and within the budget.
void OnlineCall::onSilenceCheck()
{
    if (!attempt_->exchange)
        return;
    auto const now = readLocalClock();
    // While reading is paused for a slow caller, the server is not silent.
    if (attempt_->isPaused)
        attempt_->lastPieceAt = now;
    if (now < attempt_->lastPieceAt + *silenceLimit())
        return scheduleSilenceCheck();
    bool const hasOther = plan_.mayMoveFrom(attempt_->server.id);
    bool const mayMove = mayCrashServers() ? false
        : attempt_->helper                 ? hasOther && parts_.context.moveBudget.tryTake(now)
        : hasOther                         ? mayMoveToFreeSlot()
                                           : mayResumeHere(now);
    if (mayMove)
        return abortAttempt(HttpError::Silent);
    attempt_->lastPieceAt = now;
    scheduleSilenceCheck();
}

/// Cancels the current attempt and handles it as failed with `error`.
void OnlineCall::abortAttempt(HttpError error, Http::Reached reached)
{
    if (auto const exchange = std::exchange(attempt_->exchange, nullptr))
        exchange->cancel();
    attempt_->isAborted = true;
    attempt_->isMoved = error == HttpError::Silent;
    ++abortedAttempts_;
    onFailure({.error = {.code = make_error_code(error), .detail = attempt_->server.address.value()},
               .reached = reached,
               .connection = Http::ConnectionUse::Fresh});
}

void OnlineCall::finishAttempt()
{
    attempt_->progressTimer.reset();
    attempt_->exchange.reset();
    if (attempt_->helper)
        return;
    parts_.context.load.onFinished(attempt_->server.id, Serving::WorkClass::Online);
    parts_.context.placement.onFinished(attempt_->server);
}

void OnlineCall::perform(NextStep step)
{
    switch (step) {
    case NextStep::SendOnFreshConnection:
        if (refuseIfQuarantined())
            return;
        if (auto const helper = chooseHelper())
            return sendToHelper(*helper);
        return sendWithPermit(Serving::ServerRecord(attempt_->server), true, Connection::Fresh);
    case NextStep::SendToOtherServer:
        return placeAndSend();
    case NextStep::ResumeStream:
        // Without event ids the position to resume from is unknown, unless the caller has no event yet.
        if (!events_.lastId() && events_.count() > 0)
            return abortStream("no-event-id");
        parts_.metrics.resumes.add();
        return placeAndSend();
    case NextStep::RelayResponse:
        if (isRelaying_)
            return abortStream(nameOf(plan_.giveUpReason()));
        // A status that guarantees "not run" is relayed only if the server itself states it.
        if (guaranteesNotRun(attempt_->head.status) && (!attempt_->traits.isNotRun || plan_.mayHaveRun()))
            return refuse(Refusals::outcomeUnknown());
        parts_.writer->respond({.status = attempt_->head.status,
                                .headers = parts_.context.protocol.makeCallerHeaders(attempt_->head.headers),
                                .body = std::move(attempt_->body)});
        return finish("error-relayed");
    case NextStep::Refuse:
        return refuseAfterAttempts();
    case NextStep::AbortResponse:
        return attempt_->isMoved ? resumeLater(nameOf(plan_.giveUpReason())) : abortStream(nameOf(plan_.giveUpReason()));
    }
}

/// A stream that was answered is no reason for a quarantine of it or of a part of its prompt.
bool OnlineCall::refuseIfQuarantined()
{
    if (isAnswered_)
        return false;
    auto const reason = parts_.context.prompts.refusalReason(suspects());
    if (!reason)
        return false;
    if (isRelaying_)
        abortStream("quarantined");
    else if (plan_.mayHaveRun())
        refuse(Refusals::outcomeUnknown());
    else if (auto const *request = std::get_if<Serving::RequestFingerprint>(&reason->suspect))
        refuse(Refusals::requestQuarantined(reason->time, *request));
    else
        refuse(Refusals::promptQuarantined(reason->time));
    return true;
}

void OnlineCall::refuseAfterAttempts()
{
    if (isRelaying_)
        return resumeLater(nameOf(plan_.giveUpReason()));
    // The sends may have failed because all servers are out of reach from here. The request is not sent from here again.
    if (waitForReachCheck())
        return;
    if (auto const helper = chooseHelper())
        return sendToHelper(*helper);
    // This instance may be cut off as well without having found it out yet.
    if (parts_.relay && !plan_.mayHaveRun()) {
        parts_.writer->respond(relayRefusal("no-server"));
        return finish("relay-refused");
    }
    bool const isLate = readLocalClock() + Serving::MinTimeForSend >= deadline_;
    if (plan_.mayHaveRun())
        return refuse(isLate ? Refusals::timedOut(Http::RunState::MayHaveRun) : Refusals::outcomeUnknown());
    refuse(attempts_ == 0 ? Refusals::noServer() : Refusals::notServed());
}

void OnlineCall::refuse(Http::Refusal const &refusal)
{
    parts_.metrics.onRefused(refusal.code);
    parts_.writer->respond(Refusals::write(refusal, parts_.context.protocol));
    finish(refusal.code.c_str());
}

void OnlineCall::resumeLater(char const *reason)
{
    auto const at = plan_.resumeLater(readLocalClock());
    if (!at)
        return abortStream(reason);
    callAt(*at, &OnlineCall::placeAndSend);
}

void OnlineCall::callAt(Instant at, void (OnlineCall::*step)())
{
    // No exchange refers to the call until then.
    parts_.context.waitingCalls.insert(shared_from_this());
    waitTimer_ = parts_.context.loop.at(at, [weak = weak_from_this(), step] {
        auto const self = weak.lock();
        if (!self)
            return;
        self->parts_.context.waitingCalls.erase(self);
        ((*self).*step)();
    });
}

void OnlineCall::abortStream(char const *reason)
{
    parts_.metrics.onBrokenStream(reason);
    breakReason_ = reason;
    auto const writer = parts_.writer;
    // Aborting the response reports its caller as gone, which must not count as the outcome.
    finish("broken-off");
    if (isRelaying_)
        writer->abort();
    else
        writer->respond(Refusals::write(Refusals::outcomeUnknown(), parts_.context.protocol));
}

void OnlineCall::onCallerGone()
{
    if (isFinished_)
        return;
    parts_.metrics.callersGone.add();
    if (attempt_ && attempt_->exchange) {
        attempt_->exchange->cancel();
        finishAttempt();
    }
    finish("caller-gone");
}

void OnlineCall::finish(char const *outcome)
{
    if (std::exchange(isFinished_, true))
        return;
    returnTrial();
    admission_.end();
    if (parts_.relay)
        --parts_.context.relayedCalls;
    auto const now = readLocalClock();
    routeMetrics_.onEnded(outcome, now - startedAt_);
    Observe::log(Observe::Events::NodeRequestEnded,
                 {{"request", parts_.head.id.value()},
                  {"route", parts_.route.name.value()},
                  {"outcome", outcome},
                  {"reason", breakReason_},
                  {"sends", std::to_string(attempts_)},
                  {"aborted_attempts", std::to_string(abortedAttempts_)},
                  {"server", attempt_ ? attempt_->server.id.value() : ""},
                  {"events", std::to_string(events_.count())},
                  {"after_event", eventIdText(parts_.head.lastEventId)},
                  {"last_event", eventIdText(events_.lastId())},
                  {"resumes", parts_.head.resumes.value()},
                  {"software_versions", join(softwareVersions_)},
                  {"ms", millisecondsSince(startedAt_, now)}});
    waitTimer_.reset();
    parts_.context.waitingCalls.erase(shared_from_this());
    parts_.writer.reset();
}

} // namespace Anvilyard::Node
