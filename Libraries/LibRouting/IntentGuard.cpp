#include "LibRouting/IntentGuard.h"

#include <utility>

namespace Anvilyard::Routing {

IntentGuard::IntentGuard(std::string writer, std::string digest, WallInstant keepUntil)
    : writer_(std::move(writer))
    , digest_(std::move(digest))
    , keepUntil_(keepUntil)
{
}

IntentRecord IntentGuard::intent() const
{
    return {.writer = writer_, .digest = digest_, .keepUntil = keepUntil_};
}

IntentAction IntentGuard::start()
{
    if (stage_ != Stage::Idle)
        return IntentAction::Nothing;
    stage_ = Stage::Creating;
    ++creates_;
    return IntentAction::CreateIntent;
}

IntentAction IntentGuard::send()
{
    stage_ = Stage::Sent;
    return IntentAction::Send;
}

IntentAction IntentGuard::onCreated(StoreOutcome outcome)
{
    if (stage_ != Stage::Creating)
        return IntentAction::Nothing;
    switch (outcome) {
    case StoreOutcome::Done:
        return send();
    case StoreOutcome::AlreadyExists:
        // If an earlier reply was lost, the record may be our own. Reading it shows which.
        otherIntentExists_ = true;
        stage_ = Stage::Reading;
        return IntentAction::ReadIntent;
    case StoreOutcome::Unknown:
        stage_ = Stage::Reading;
        return IntentAction::ReadIntent;
    case StoreOutcome::NotFound:
    case StoreOutcome::NotApplied:
        break;
    }
    stage_ = Stage::Over;
    return IntentAction::RefuseNotRun;
}

IntentAction IntentGuard::onRead(StoreOutcome outcome, std::optional<IntentRecord> const &record)
{
    if (stage_ != Stage::Reading)
        return IntentAction::Nothing;
    if (outcome == StoreOutcome::NotFound && !otherIntentExists_ && creates_ < MaxCreates) {
        stage_ = Stage::Creating;
        ++creates_;
        return IntentAction::CreateIntent;
    }
    if (outcome != StoreOutcome::Done || !record) {
        stage_ = Stage::Over;
        // This request was not sent, but if another request's record exists, an earlier send may have run.
        return otherIntentExists_ ? IntentAction::RefuseOutcomeUnknown : IntentAction::RefuseNotRun;
    }
    if (record->writer == writer_)
        return send();
    stage_ = Stage::Over;
    if (record->digest != digest_)
        return IntentAction::RefuseConflict;
    return record->state == IntentRecord::State::Finished ? IntentAction::Replay : IntentAction::RefuseOutcomeUnknown;
}

IntentAction IntentGuard::onRunEnded(RunOutcome outcome) const
{
    if (stage_ != Stage::Sent)
        return IntentAction::Nothing;
    switch (outcome) {
    case RunOutcome::Answered:
        return IntentAction::RecordResult;
    case RunOutcome::NotRun:
        return IntentAction::RemoveIntent;
    case RunOutcome::Unknown:
        break;
    }
    // The record stays unchanged: a resend is refused because the outcome is unknown.
    return IntentAction::Nothing;
}

} // namespace Anvilyard::Routing
