#include "LibServing/AttemptPlan.h"

#include <algorithm>

namespace Anvilyard::Serving {

using Routing::NextStep;

char const *nameOf(GiveUpReason reason)
{
    switch (reason) {
    case GiveUpReason::None:
        return "none";
    case GiveUpReason::NotRepeatable:
        return "not-repeatable";
    case GiveUpReason::Deadline:
        return "deadline";
    case GiveUpReason::TooManySends:
        return "too-many-sends";
    case GiveUpReason::TooManyServers:
        return "too-many-servers";
    }
    return "unknown";
}

AttemptPlan::AttemptPlan(AttemptPlanOptions options)
    : options_(options)
{
}

void AttemptPlan::onSent(ServerId const &server)
{
    ++sends_;
    tried_.insert(server);
}

Routing::NextStep AttemptPlan::onEnded(ServerId const &server, Routing::AttemptEnd const &end, Instant now)
{
    recordEnd(server, Routing::runStateAfter(end));
    auto step = Routing::nextStepAfter(end, options_.repeatability);
    giveUpReason_ = GiveUpReason::None;
    if (!Routing::isRetry(step)) {
        giveUpReason_ = GiveUpReason::NotRepeatable;
        return step;
    }
    // A stream that did not run in this send may be sent again after a wait. See resumeLater().
    bool const isBroken = step == NextStep::ResumeStream && Routing::runStateAfter(end) == Http::RunState::MayHaveRun;
    auto const giveUp = isBroken ? NextStep::AbortResponse : NextStep::Refuse;
    if (sends_ >= MaxSends || now + MinTimeForSend >= options_.deadline) {
        giveUpReason_ = sends_ >= MaxSends ? GiveUpReason::TooManySends : GiveUpReason::Deadline;
        return giveUp;
    }
    if (step == NextStep::SendOnFreshConnection && std::exchange(usedFreshConnection_, true))
        step = NextStep::SendToOtherServer;
    if (step == NextStep::SendToOtherServer && !mayUseAnotherServer()) {
        giveUpReason_ = GiveUpReason::TooManyServers;
        // An error response of the server can be relayed; a broken exchange left no response.
        return std::holds_alternative<Routing::ServerErrorResponse>(end) && Routing::runStateAfter(end) == Http::RunState::MayHaveRun
            ? NextStep::RelayResponse
            : giveUp;
    }
    return step;
}

/// A server that may have run the request comes first, as it may have kept the prompt. If it fails the request again, or does not take
/// it, the others come first.
void AttemptPlan::recordEnd(ServerId const &server, Http::RunState state)
{
    auto const known = std::ranges::find(possibleRunServers_, server);
    if (known != possibleRunServers_.end())
        std::rotate(known, std::next(known), possibleRunServers_.end());
    else if (state == Http::RunState::MayHaveRun)
        possibleRunServers_.insert(possibleRunServers_.begin(), server);
}

std::optional<Instant> AttemptPlan::resumeLater(Instant now)
{
    auto const at = now + resumeDelay_;
    if (options_.repeatability != Routing::Repeatability::Generation || at + MinTimeForSend >= options_.deadline)
        return std::nullopt;
    resumeDelay_ = std::min(2 * resumeDelay_, MaxResumeDelay);
    tried_.clear();
    sends_ = MaxSends - 1;
    return at;
}

GiveUpReason AttemptPlan::giveUpReason() const
{
    return giveUpReason_;
}

Duration AttemptPlan::responseTimeout(bool serverHasFreeSlot, Instant now) const
{
    auto const left = std::max(Duration::zero(), options_.deadline - now);
    if (sendsLeft() == Routing::SendsLeft::None)
        return left;
    auto const factor = serverHasFreeSlot ? ResponseTimeoutShareWithFreeSlot : ResponseTimeoutTargetsWithoutFreeSlot;
    return std::min(left, std::chrono::duration_cast<Duration>(options_.latencyTarget * factor));
}

std::vector<ServerId> AttemptPlan::excluded() const
{
    return {tried_.begin(), tried_.end()};
}

std::vector<ServerId> AttemptPlan::onlyServers() const
{
    return mayUseAnotherServer() ? std::vector<ServerId>() : possibleRunServers_;
}

bool AttemptPlan::mayHaveRun() const
{
    return !possibleRunServers_.empty();
}

bool AttemptPlan::mayUseAnotherServer() const
{
    return possibleRunServers_.size() < options_.maxServers;
}

Routing::SendsLeft AttemptPlan::sendsLeft() const
{
    bool const isRepeatable =
        options_.repeatability == Routing::Repeatability::Idempotent || options_.repeatability == Routing::Repeatability::Generation;
    return isRepeatable && possibleRunServers_.size() + 1 < options_.maxServers ? Routing::SendsLeft::Some : Routing::SendsLeft::None;
}

bool AttemptPlan::mayMoveFrom(ServerId const &current) const
{
    return possibleRunServers_.size() + (mayHaveRunAt(current) ? 0 : 1) < options_.maxServers;
}

bool AttemptPlan::mayHaveRunAt(ServerId const &server) const
{
    return std::ranges::find(possibleRunServers_, server) != possibleRunServers_.end();
}

} // namespace Anvilyard::Serving
