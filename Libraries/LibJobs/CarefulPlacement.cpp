#include "LibJobs/CarefulPlacement.h"

#include <algorithm>
#include <vector>

namespace Anvilyard::Jobs {

namespace {

/// Items are chosen for in each tick. After a longer time without a choice, none waits.
constexpr Duration MaxChoiceGap = 500ms;
/// Bounds the memory for servers that have left.
constexpr Duration EvidenceRetention = 300s;

} // namespace

CarefulPlacement::CarefulPlacement(CarefulPlacementOptions options)
    : options_(options)
{
}

void CarefulPlacement::onAnswered(ServerId const &server, Instant sentAt, Instant now)
{
    auto &evidence = evidence_[server];
    // A server that fails all new items may still end those that it runs.
    if (sentAt >= evidence.failedAt)
        evidence.answeredAt = now;
}

void CarefulPlacement::onFailed(ServerId const &server, Instant now)
{
    evidence_[server].failedAt = now;
}

void CarefulPlacement::onResponded(ServerId const &server, Instant askedAt)
{
    evidence_[server].respondedAt = askedAt;
}

void CarefulPlacement::onAccepted(ServerId const &server, Instant askedAt)
{
    evidence_[server].acceptedAt = askedAt;
}

CarefulPlacement::Evidence CarefulPlacement::evidenceOf(ServerId const &server) const
{
    auto const found = evidence_.find(server);
    return found == evidence_.end() ? Evidence() : found->second;
}

bool CarefulPlacement::isFailing(Evidence const &evidence, Instant now) const
{
    return evidence.failedAt > evidence.answeredAt && now < evidence.failedAt + options_.failureLifetime;
}

CarefulPlacement::Choice CarefulPlacement::choose(PoolName const &pool, std::span<Server const> servers, Instant unansweredAt, Instant now)
{
    auto &state = pools_[pool];
    if (state.lastChoiceAt < now - MaxChoiceGap)
        state.waitingSince = now;
    state.lastChoiceAt = now;
    if (auto proven = findProven(servers, unansweredAt, now))
        return {.server = std::move(proven)};
    if (now < state.waitingSince + options_.patience)
        return {};
    return chooseUnproven(state, servers, unansweredAt, now);
}

/// Of servers that have answered since, one that has not failed for long, and of these the one that has answered last.
std::optional<ServerId> CarefulPlacement::findProven(std::span<Server const> servers, Instant unansweredAt, Instant now) const
{
    Server const *best = nullptr;
    std::pair<bool, Instant> bestRank;
    for (auto const &server : servers) {
        auto const evidence = evidenceOf(server.id);
        bool const isProven = evidence.answeredAt > std::max({unansweredAt, evidence.failedAt, evidence.sentAt});
        if (!server.hasRoom || !isProven)
            continue;
        bool const isSuspect = evidence.failedAt > Instant::min() && now < evidence.failedAt + options_.suspicionTime;
        std::pair const rank(!isSuspect, evidence.answeredAt);
        if (!best || rank > bestRank) {
            best = &server;
            bestRank = rank;
        }
    }
    return best ? std::optional(best->id) : std::nullopt;
}

CarefulPlacement::Choice CarefulPlacement::chooseUnproven(Pool &pool, std::span<Server const> servers, Instant unansweredAt, Instant now)
{
    bool const areAllFailing = std::ranges::all_of(servers, [&](Server const &server) { return isFailing(evidenceOf(server.id), now); });
    bool const isAcceptanceEnough = now >= pool.waitingSince + options_.unhealthyPatience;
    std::optional<ServerId> accepting;
    std::optional<ServerId> toCheck;
    auto askedAt = Instant::max();
    for (auto const &server : servers) {
        auto const evidence = evidenceOf(server.id);
        if (!server.hasRoom || (!areAllFailing && isFailing(evidence, now)))
            continue;
        auto const brokenAt = std::max(unansweredAt, evidence.failedAt);
        if (evidence.respondedAt > brokenAt)
            return {.server = server.id};
        if (isAcceptanceEnough && !accepting && evidence.acceptedAt > brokenAt)
            accepting = server.id;
        if (!toCheck || evidence.askedAt < askedAt) {
            toCheck = server.id;
            askedAt = evidence.askedAt;
        }
    }
    if (accepting)
        return {.server = std::move(accepting)};
    if (!toCheck || now < pool.nextCheckAt)
        return {};
    pool.nextCheckAt = now + options_.checkInterval;
    evidence_[*toCheck].askedAt = now;
    return {.check = std::move(toCheck)};
}

void CarefulPlacement::onSent(PoolName const &pool, ServerId const &server, Instant now)
{
    pools_[pool].waitingSince = now;
    evidence_[server].sentAt = now;
    if (now < nextRemovalAt_)
        return;
    nextRemovalAt_ = now + EvidenceRetention;
    std::erase_if(evidence_, [&](auto const &entry) {
        auto const &evidence = entry.second;
        return std::max({evidence.answeredAt, evidence.failedAt, evidence.respondedAt, evidence.acceptedAt, evidence.sentAt})
            < now - EvidenceRetention;
    });
}

} // namespace Anvilyard::Jobs
