#include "LibServing/LossConfirmation.h"

#include <algorithm>

namespace Anvilyard::Serving {

namespace {

/// Moves the elements for which the predicate holds to the result.
template<typename Predicate>
std::vector<UnconfirmedLoss> takeIf(std::vector<UnconfirmedLoss> &losses, Predicate predicate)
{
    auto const kept = std::stable_partition(losses.begin(), losses.end(), [&](UnconfirmedLoss const &loss) { return !predicate(loss); });
    std::vector<UnconfirmedLoss> taken(std::make_move_iterator(kept), std::make_move_iterator(losses.end()));
    losses.erase(kept, losses.end());
    return taken;
}

bool isSameProcess(ServerRecord const &left, ServerRecord const &right)
{
    return left.id == right.id && left.startedAt == right.startedAt;
}

} // namespace

LossConfirmation::LossConfirmation(LossConfirmationOptions options)
    : options_(options)
{
}

void LossConfirmation::onLost(UnconfirmedLoss loss)
{
    probes_.try_emplace(loss.server.id, Probe{.server = loss.server, .dueAt = loss.endedAt});
    pending_.push_back(std::move(loss));
    if (pending_.size() > options_.maxLosses)
        pending_.erase(pending_.begin());
}

bool LossConfirmation::isOfSuccessor(UnconfirmedLoss const &loss) const
{
    auto const ended = ended_.find(loss.server.id);
    return ended != ended_.end() && loss.server.startedAt <= ended->second.startedAt && loss.sentAt > ended->second.endedAt;
}

std::vector<UnconfirmedLoss> LossConfirmation::onRefused(ServerRecord const &server, Instant now)
{
    auto const isLostThere = [&](UnconfirmedLoss const &loss) { return isSameProcess(loss.server, server) && !isOfSuccessor(loss); };
    if (std::ranges::none_of(pending_, isLostThere))
        return {};
    auto &refusal = refusals_.try_emplace(server.id, Refusal{.startedAt = server.startedAt, .at = now}).first->second;
    bool const isOutdated = refusal.pathSoundAt && now - *refusal.pathSoundAt > options_.pathRetention;
    if (refusal.startedAt != server.startedAt || isOutdated)
        refusal = {.startedAt = server.startedAt, .at = now};
    if (!refusal.pathSoundAt)
        return {};
    refusals_.erase(server.id);
    // The registration does not yet name the process that ran the request. Its start tells it from the earlier one.
    auto confirmed = takeIf(pending_, isLostThere);
    for (auto const &loss : confirmed) {
        auto &ended = ended_[loss.server.id];
        ended = {.startedAt = loss.server.startedAt, .endedAt = now};
    }
    return confirmed;
}

void LossConfirmation::onReached(ServerRecord const &server, Instant begunAt)
{
    std::erase_if(pending_, [&](UnconfirmedLoss const &loss) {
        return isSameProcess(loss.server, server) && begunAt >= loss.endedAt && begunAt < loss.endedAt + options_.minRestartTime;
    });
    refusals_.erase(server.id);
    for (auto &[id, refusal] : refusals_) {
        if (begunAt >= refusal.at + options_.pathCheckDelay)
            setPathSound(refusal, id, begunAt);
    }
}

void LossConfirmation::onPathUncheckable(Instant now)
{
    for (auto &[id, refusal] : refusals_)
        setPathSound(refusal, id, now);
}

void LossConfirmation::setPathSound(Refusal &refusal, ServerId const &server, Instant at)
{
    refusal.pathSoundAt = at;
    if (auto const probe = probes_.find(server); probe != probes_.end())
        probe->second.dueAt = at;
}

bool LossConfirmation::takePathCheck(Instant now)
{
    bool const isDue = std::ranges::any_of(
        refusals_, [&](auto const &entry) { return !entry.second.pathSoundAt && now >= entry.second.at + options_.pathCheckDelay; });
    if (!isDue || now < nextPathCheckAt_)
        return false;
    nextPathCheckAt_ = now + options_.pathCheckDelay;
    return true;
}

std::vector<UnconfirmedLoss> LossConfirmation::onRegistration(ServerId const &id, std::optional<std::int64_t> startedAt)
{
    for (auto &loss : pending_) {
        if (startedAt && loss.server.id == id && isOfSuccessor(loss) && *startedAt > loss.server.startedAt)
            loss.server.startedAt = *startedAt;
    }
    if (auto const probe = probes_.find(id); startedAt && probe != probes_.end())
        probe->second.server.startedAt = *startedAt;
    auto confirmed = takeIf(
        pending_, [&](UnconfirmedLoss const &loss) { return loss.server.id == id && (!startedAt || *startedAt > loss.server.startedAt); });
    if (!startedAt)
        ended_.erase(id);
    return confirmed;
}

void LossConfirmation::onRequestAnswered(RequestSuspects const &suspects)
{
    if (!suspects.request)
        return;
    std::erase_if(pending_, [&](UnconfirmedLoss const &loss) { return loss.suspects.request == suspects.request; });
}

std::vector<ServerRecord> LossConfirmation::takeProbes(Instant now)
{
    std::erase_if(pending_, [&](UnconfirmedLoss const &loss) { return now >= loss.endedAt + options_.retention; });
    std::erase_if(ended_, [&](auto const &entry) { return now >= entry.second.endedAt + options_.retention; });
    auto const isSettled = [&](auto const &entry) {
        return std::none_of(pending_.begin(), pending_.end(), [&](UnconfirmedLoss const &loss) { return loss.server.id == entry.first; });
    };
    std::erase_if(probes_, isSettled);
    std::erase_if(refusals_, isSettled);
    std::vector<ServerRecord> due;
    for (auto &[id, probe] : probes_) {
        if (now < probe.dueAt)
            continue;
        probe.dueAt = now + options_.probeInterval;
        due.push_back(probe.server);
    }
    return due;
}

std::vector<UnconfirmedLoss> const &LossConfirmation::pending() const
{
    return pending_;
}

} // namespace Anvilyard::Serving
