#include "LibJobs/OwnerCheck.h"

namespace Anvilyard::Jobs {

OwnerCheck::OwnerCheck(OwnerCheckOptions options)
    : options_(options)
{
}

void OwnerCheck::setOwner(JobId const &job, std::optional<InstanceId> const &owner, Instant now)
{
    if (auto const known = states_.find(job); known != states_.end() && known->second.isDone)
        return;
    if (!owner)
        return remove(job);
    auto const [found, isNew] = states_.try_emplace(job);
    if (isNew || found->second.owner != *owner)
        found->second = {.owner = *owner, .checkAt = now + options_.firstAfter};
}

void OwnerCheck::remove(JobId const &job)
{
    states_.erase(job);
}

std::vector<OwnerCheck::Check> OwnerCheck::takeDue(Instant now)
{
    std::vector<Check> due;
    for (auto &[job, state] : states_) {
        if (due.size() == options_.maxDue)
            break;
        if (state.isDone || state.isAsking || now < state.checkAt)
            continue;
        state.isAsking = true;
        due.push_back({.job = job, .owner = state.owner});
    }
    return due;
}

void OwnerCheck::onAnswer(Check const &check, OwnerAnswer answer, Instant now)
{
    auto const found = states_.find(check.job);
    if (found == states_.end() || found->second.owner != check.owner)
        return;
    auto &state = found->second;
    state.isAsking = false;
    bool const isConfirmed = answer == OwnerAnswer::Holds || answer == OwnerAnswer::Done;
    if (isConfirmed) {
        state = {.owner = state.owner, .checkAt = now + options_.interval, .isDone = answer == OwnerAnswer::Done};
        return;
    }
    if (answer == OwnerAnswer::NotHeld) {
        ++state.refusals;
        state.unansweredSince.reset();
    } else if (!state.unansweredSince) {
        state.unansweredSince = now;
    }
    bool const isUnanswered = state.unansweredSince && now - *state.unansweredSince >= options_.unansweredToTake;
    state.isTaken = state.isTaken || isUnanswered || state.refusals >= options_.refusalsToTake;
    state.checkAt = now + (state.isTaken ? options_.interval : options_.retryPause);
}

bool OwnerCheck::isTaken(JobId const &job) const
{
    auto const found = states_.find(job);
    return found != states_.end() && found->second.isTaken;
}

} // namespace Anvilyard::Jobs
