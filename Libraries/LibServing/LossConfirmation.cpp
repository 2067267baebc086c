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
    // The registration does not yet name the process that ran the request. Its start tells it from the earlier one.
    auto confirmed =
        takeIf(pending_, [&](UnconfirmedLoss const &loss) { return isSameProcess(loss.server, server) && !isOfSuccessor(loss); });
    for (auto const &loss : confirmed) {
        auto &ended = ended_[loss.server.id];
        ended = {.startedAt = loss.server.startedAt, .endedAt = now};
    }
    return confirmed;
}

void LossConfirmation::onReached(ServerRecord const &server, Instant sentAt)
{
    std::erase_if(pending_, [&](UnconfirmedLoss const &loss) {
        return isSameProcess(loss.server, server) && sentAt >= loss.endedAt && sentAt < loss.endedAt + options_.minRestartTime;
    });
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
    std::erase_if(probes_, [&](auto const &entry) {
        return std::none_of(pending_.begin(), pending_.end(), [&](UnconfirmedLoss const &loss) { return loss.server.id == entry.first; });
    });
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
