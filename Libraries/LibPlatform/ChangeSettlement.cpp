#include "LibPlatform/ChangeSettlement.h"

#include <algorithm>

namespace Anvilyard::Platform {

namespace {

SettlementAction finish(Result<Object> result)
{
    return {.step = SettlementStep::Finish, .result = std::move(result)};
}

bool isStateConflict(std::error_code const &error)
{
    return error == PlatformError::AlreadyExists || error == PlatformError::Conflict;
}

/// Returns whether the error leaves the outcome of an earlier attempt unknown.
bool isTransient(std::error_code const &error)
{
    return error == PlatformError::OutcomeUnknown || error == PlatformError::Unavailable || error == PlatformError::TooManyCalls
        || error == PlatformError::OverBudget || error == PlatformError::MalformedResponse || error == PlatformError::InvalidValue;
}

} // namespace

ChangeSettlement::ChangeSettlement(ChangeSettlementOptions options, RandomSource &random)
    : options_(std::move(options))
    , random_(random)
    , nextDelay_(options_.minDelay)
{
}

SettlementAction ChangeSettlement::onChanged(Result<Object> result, Instant now)
{
    if (result)
        return finish(std::move(result));
    if (wasOutcomeUnknown_)
        return onRepeatedChange(std::move(result), now);
    if (result.error().code != PlatformError::OutcomeUnknown)
        return finish(std::move(result));
    wasOutcomeUnknown_ = true;
    return scheduleStep(SettlementStep::Read, now);
}

SettlementAction ChangeSettlement::onRepeatedChange(Result<Object> result, Instant now)
{
    auto const &error = result.error();
    if (isTransient(error.code))
        return scheduleStep(SettlementStep::Read, now);
    if (!isStateConflict(error.code))
        return finish(std::move(result));
    refusal_ = error;
    return {.step = SettlementStep::Read};
}

SettlementAction ChangeSettlement::onRead(Result<Object> result, Instant now)
{
    if (!result && result.error().code != PlatformError::NotFound)
        return scheduleStep(SettlementStep::Read, now);
    // The base has this writer's id only by mistake, but a stale read of the base must not be mistaken for the change.
    bool const isNew = result && result->version != options_.base;
    if (isNew && writerOf(result->spec) == options_.writer)
        return finish(std::move(result));
    if (!refusal_)
        return {.step = SettlementStep::Change};
    if (isNew)
        return finish(tl::unexpected(*refusal_));
    // The change was refused, so the object has a newer version and this read is stale, or the object has been removed since.
    return scheduleStep(result ? SettlementStep::Read : SettlementStep::Change, now);
}

SettlementAction ChangeSettlement::scheduleStep(SettlementStep step, Instant now)
{
    std::uniform_int_distribution<Duration::rep> spread(nextDelay_.count() / 2, nextDelay_.count());
    Duration const delay(spread(random_));
    nextDelay_ = std::min(nextDelay_ * 2, options_.maxDelay);
    if (now + delay >= options_.deadline)
        return finish(failure(PlatformError::OutcomeUnknown, "the outcome was not determined before the deadline"));
    return {.step = step, .delay = delay};
}

} // namespace Anvilyard::Platform
