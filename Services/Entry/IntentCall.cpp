#include "Services/Entry/IntentCall.h"

#include "LibObserve/Events.h"
#include "Services/Entry/CallerIdentifier.h"
#include "Services/Entry/IntentCodec.h"
#include "Services/Entry/Refusals.h"

namespace Anvilyard::Entry {

using Platform::CallClass;
using Platform::PlatformError;
using Routing::IntentAction;
using Routing::IntentRecord;
using Routing::StoreOutcome;

namespace {

/// Larger answers are not stored, which bounds the size of the platform's objects.
constexpr std::size_t MaxStoredBodyBytes = 256 * 1024;
constexpr std::size_t NameHashDigits = 40;
constexpr auto IntentRetention = std::chrono::hours(24 * 30);

Platform::Kind const intentKind("intents");

template<typename Value>
StoreOutcome outcomeOf(Result<Value> const &reply)
{
    if (reply)
        return StoreOutcome::Done;
    auto const &code = reply.error().code;
    if (code == PlatformError::AlreadyExists)
        return StoreOutcome::AlreadyExists;
    if (code == PlatformError::NotFound)
        return StoreOutcome::NotFound;
    bool const isDefinitelyNotApplied = code == PlatformError::Unavailable || code == PlatformError::TooManyCalls
        || code == PlatformError::OverBudget || code == PlatformError::ValueTooLarge;
    return isDefinitelyNotApplied ? StoreOutcome::NotApplied : StoreOutcome::Unknown;
}

IntentRecord withoutStoredResponse(IntentRecord record)
{
    record.state = IntentRecord::State::FinishedUnkept;
    return record;
}

/// Derives the object name from the customer and the idempotency key. Neither can contain the zero byte that separates them, so the
/// hashed text is unambiguous.
Platform::ObjectName intentName(OnlineRequest const &request)
{
    std::string const joined = request.customer.value() + '\0' + request.idempotencyKey;
    return Platform::ObjectName("intent-" + sha256Hex(joined).substr(0, NameHashDigits));
}

std::string contentDigest(OnlineRequest const &request)
{
    return sha256Hex(request.http.method + '\0' + request.http.target + '\0' + request.http.body);
}

} // namespace

IntentCall::IntentCall(
    ThreadContext &context, Platform::ObjectStore &store, OnlineRequestPointer request, std::string const &writer, Filter::Next const &next)
    : context_(context)
    , store_(store)
    , request_(std::move(request))
    , requestId_(request_->id.value())
    , next_(next)
    , name_(intentName(*request_))
    , guard_(writer, contentDigest(*request_), readClocks().wall + IntentRetention)
{
}

void IntentCall::start()
{
    performAction(guard_.start());
}

void IntentCall::performAction(IntentAction action)
{
    auto const retryAfter = Refusals::jitteredDelay(2s, context_.random);
    switch (action) {
    case IntentAction::CreateIntent:
        return create();
    case IntentAction::ReadIntent:
        return read();
    case IntentAction::Send:
        return send();
    case IntentAction::Replay:
        return replay();
    case IntentAction::RefuseNotRun:
        return refuse(Refusals::storeUnavailable(retryAfter));
    case IntentAction::RefuseOutcomeUnknown:
        return refuse(Refusals::earlierOutcomeUnknown(retryAfter));
    case IntentAction::RefuseConflict:
        return refuse(Refusals::idempotencyConflict());
    case IntentAction::RemoveIntent:
        return removeIntent();
    case IntentAction::RecordResult:
    case IntentAction::Nothing:
        return;
    }
}

void IntentCall::create()
{
    store_.create(CallClass::Acknowledge,
                  intentKind,
                  name_,
                  encodeIntent(guard_.intent()),
                  [self = shared_from_this()](Result<Platform::Object> const &reply) {
                      if (reply)
                          self->version_ = reply->version;
                      self->performAction(self->guard_.onCreated(outcomeOf(reply)));
                  });
}

void IntentCall::read()
{
    store_.get(CallClass::Acknowledge, intentKind, name_, [self = shared_from_this()](Result<Platform::Object> const &reply) {
        auto outcome = outcomeOf(reply);
        if (reply) {
            self->version_ = reply->version;
            self->existingIntent_ = decodeIntent(reply->spec);
            if (!self->existingIntent_)
                outcome = StoreOutcome::Unknown;
        }
        self->performAction(self->guard_.onRead(outcome, self->existingIntent_));
    });
}

void IntentCall::send()
{
    // The request continues without this call, which keeps only the callback for its result.
    request_->onCallResult = [self = shared_from_this()](CallResult const &result, std::function<void()> const &answer) {
        self->onResult(result, answer);
    };
    next_(std::exchange(request_, nullptr));
}

void IntentCall::replay()
{
    request_->respond({.status = existingIntent_->status,
                       .headers = {{"Content-Type", existingIntent_->contentType}, {"Anvilyard-Replayed", "true"}},
                       .body = existingIntent_->body});
}

void IntentCall::refuse(Http::Refusal const &refusal)
{
    request_->refuse(refusal);
}

void IntentCall::onResult(CallResult const &result, std::function<void()> const &answer)
{
    bool const isNotRun = result.kind != CallResult::Kind::BrokenOff && result.runState == Http::RunState::NotRun;
    auto const outcome = isNotRun                   ? Routing::RunOutcome::NotRun
        : result.kind == CallResult::Kind::Answered ? Routing::RunOutcome::Answered
                                                    : Routing::RunOutcome::Unknown;
    auto const action = guard_.onRunEnded(outcome);
    if (action == IntentAction::RecordResult)
        return recordResult(result, answer);
    answer();
    performAction(action);
}

/// Records the result before the caller gets its answer, so that a resend gets the same answer even if this instance fails directly
/// afterwards.
void IntentCall::recordResult(CallResult const &result, std::function<void()> const &answer)
{
    auto record = withoutStoredResponse(guard_.intent());
    if (result.response && result.response->body.size() <= MaxStoredBodyBytes) {
        record.state = IntentRecord::State::Finished;
        record.status = result.response->status;
        record.contentType = std::string(result.response->headers.find("Content-Type").value_or("application/octet-stream"));
        record.body = result.response->body;
        // A body that cannot be represented in JSON, such as an image, cannot be stored in the platform's objects.
        if (!decodeIntent(encodeIntent(record)))
            record = withoutStoredResponse(guard_.intent());
    }
    Platform::Object object{.name = name_, .version = version_, .spec = encodeIntent(record)};
    store_.update(CallClass::Commit, intentKind, std::move(object), [id = requestId_, answer](Result<Platform::Object> const &reply) {
        if (!reply)
            Observe::log(Observe::Events::EntryIntentUnsettled, {{"request", id}, {"error", reply.error().toString()}});
        // The request has run, so the caller gets this answer even if recording it failed.
        answer();
    });
}

void IntentCall::removeIntent()
{
    // Conditional on the version, so that only this request's own intent can be removed.
    store_.remove(CallClass::Commit, intentKind, name_, version_, [id = requestId_](Result<std::monostate> const &reply) {
        if (!reply)
            Observe::log(Observe::Events::EntryIntentUnsettled, {{"request", id}, {"error", reply.error().toString()}});
    });
}

} // namespace Anvilyard::Entry
