#include "LibHttp/MemoryBudget.h"

#include <algorithm>
#include <tuple>

namespace Anvilyard::Http {

namespace {

/// Share of the budget that remains free after connections were ended, so that not each further byte ends another one.
constexpr std::size_t RoomDivisor = 8;
/// An idle connection may be one that a balancer keeps for its next request. It is replaced if it is idle so many times longer than the
/// longest stall within a request.
constexpr int IdleWeight = 4;

} // namespace

MemoryBudget::MemoryBudget(std::size_t maxBytes)
    : maxBytes_(maxBytes)
{
}

MemoryHolderId MemoryBudget::add(Instant now)
{
    MemoryHolderId const id(++lastId_);
    holders_.emplace(id, Holder{.progressAt = now});
    return id;
}

void MemoryBudget::remove(MemoryHolderId id)
{
    update(id, MemoryPhase::Idle, 0, Instant::min());
    holders_.erase(id);
}

void MemoryBudget::update(MemoryHolderId id, MemoryPhase phase, std::size_t bytes, Instant now, std::size_t keptBytes)
{
    auto const found = holders_.find(id);
    if (found == holders_.end())
        return;
    auto &holder = found->second;
    heldBytes_ -= holder.bytes;
    if (holder.phase == MemoryPhase::Handling)
        handledBytes_ -= holder.bytes - holder.keptBytes;
    if (holder.phase != phase) {
        holder.movedBytes = 0;
        holder.progressAt = now;
    }
    holder.phase = phase;
    holder.bytes = bytes;
    holder.keptBytes = keptBytes;
    heldBytes_ += bytes;
    if (phase == MemoryPhase::Handling)
        handledBytes_ += bytes - keptBytes;
}

void MemoryBudget::onMoved(MemoryHolderId id, std::size_t bytes, Instant now)
{
    auto const found = holders_.find(id);
    if (found == holders_.end())
        return;
    auto &holder = found->second;
    holder.movedBytes += bytes;
    if (holder.movedBytes < MinProgressBytes)
        return;
    holder.movedBytes = 0;
    holder.progressAt = now;
}

std::size_t MemoryBudget::heldBytes() const
{
    return heldBytes_;
}

std::size_t MemoryBudget::maxBytes() const
{
    return maxBytes_;
}

bool MemoryBudget::isExceeded() const
{
    return heldBytes_ > maxBytes_;
}

bool MemoryBudget::admits(std::size_t bytes) const
{
    return handledBytes_ == 0 || handledBytes_ + bytes <= maxBytes_;
}

std::vector<MemoryRelease> MemoryBudget::releases(Instant now) const
{
    if (!isExceeded())
        return {};
    enum class Rank {
        Stalled,
        KeptResponse,
        GoingOn,
        Handled,
    };
    struct Candidate {
        Rank rank;
        /// Bytes times the stall, or bytes alone of those that are not stalled.
        double weight;
        std::size_t bytes;
        MemoryRelease release;
    };
    std::vector<Candidate> candidates;
    for (auto const &[id, holder] : holders_) {
        auto const stall = std::max(Duration::zero(), now - holder.progressAt);
        bool const isHandled = holder.phase == MemoryPhase::Handling;
        bool const isStalled = holder.phase == MemoryPhase::Draining || stall >= MinStall;
        auto const factor = isStalled ? std::chrono::duration<double>(std::max(stall, MinStall)).count() : 1;
        auto const kept = isHandled ? holder.keptBytes : 0;
        if (kept > 0) {
            candidates.push_back({.rank = Rank::KeptResponse,
                                  .weight = static_cast<double>(kept),
                                  .bytes = kept,
                                  .release = {.id = id, .part = MemoryRelease::Part::KeptResponse}});
        }
        candidates.push_back({.rank = isHandled ? Rank::Handled
                                  : isStalled   ? Rank::Stalled
                                                : Rank::GoingOn,
                              .weight = static_cast<double>(holder.bytes) * factor,
                              .bytes = holder.bytes - kept,
                              .release = {.id = id}});
    }
    std::ranges::sort(candidates, [](Candidate const &left, Candidate const &right) {
        return std::tuple(left.rank, -left.weight) < std::tuple(right.rank, -right.weight);
    });
    std::vector<MemoryRelease> released;
    auto left = heldBytes_;
    for (auto const &candidate : candidates) {
        auto const target = candidate.rank == Rank::Handled ? maxBytes_ : maxBytes_ - maxBytes_ / RoomDivisor;
        if (left <= target)
            break;
        left -= candidate.bytes;
        released.push_back(candidate.release);
    }
    return released;
}

std::optional<MemoryHolderId> MemoryBudget::holderToReplace(Instant now) const
{
    std::optional<MemoryHolderId> longest;
    auto longestStall = Duration::zero();
    for (auto const &[id, holder] : holders_) {
        auto const stall = now - holder.progressAt;
        auto const least = holder.phase == MemoryPhase::Idle ? MinIdle : MinStall;
        if (holder.phase == MemoryPhase::Handling || stall < least)
            continue;
        auto const weighted = holder.phase == MemoryPhase::Idle ? stall / IdleWeight : stall;
        if (weighted <= longestStall)
            continue;
        longestStall = weighted;
        longest = id;
    }
    return longest;
}

} // namespace Anvilyard::Http
