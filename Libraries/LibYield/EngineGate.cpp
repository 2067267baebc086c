#include "LibYield/EngineGate.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Yield {

EngineGate::EngineGate(GateOptions const &options, GateLimits limits)
    : options_(options)
    , limits_(limits)
{
    allowed_ = std::min(limits_.floorSlots, budget());
}

void EngineGate::setLimits(GateLimits limits, Instant now)
{
    limits_ = limits;
    update(now);
}

void EngineGate::onTally(InstanceId const &from, OnlineTally const &tally, Instant now)
{
    auto &known = tallies_[from];
    // Counts only increase, so the larger one is newer regardless of the order of messages.
    known.started = std::max(known.started, tally.started);
    known.finished = std::max(known.finished, tally.finished);
    known.expires = now + options_.tallyTimeout;
    talliesFreshUntil_ = now + options_.signalTimeout;
    update(now);
}

void EngineGate::forget(InstanceId const &instance, Instant now)
{
    if (tallies_.erase(instance) > 0)
        update(now);
}

void EngineGate::onLoad(EngineLoad const &load, Instant now)
{
    auto const own = load.ownRunning.value_or(std::min<double>(load.running, allowed_));
    foreignBefore_ = foreign_;
    foreign_ = std::max(0.0, load.running - own) + load.waiting;
    isQueueing_ = load.waiting > 0;
    loadFreshUntil_ = now + options_.signalTimeout;
    update(now);
}

void EngineGate::onTokenGap(Duration gap, Instant now)
{
    auto const length = static_cast<double>(gap.count());
    bool const isCongested = gapsSeen_ >= MinGapsForCongestion && length > usualGap_ * options_.congestedGapRatio;
    usualGap_ = gapsSeen_ == 0 ? length : std::min(usualGap_ * UsualGapDrift, length);
    ++gapsSeen_;
    if (!isCongested || now < congestedUntil_)
        return;
    congestedUntil_ = now + options_.congestionHold;
    allowed_ /= 2;
    nextGrowth_.reset();
    update(now);
}

void EngineGate::update(Instant now)
{
    dropExpiredTallies(now);
    if (!isSignalFresh(now)) {
        allowed_ = std::min(limits_.floorSlots, budget());
        nextGrowth_.reset();
        talliesFreshUntil_ = Instant::min();
        loadFreshUntil_ = Instant::min();
        return;
    }
    auto const online = std::min<std::uint64_t>(estimateOnline(now), budget());
    auto const target = budget() - static_cast<std::uint32_t>(online);
    if (allowed_ >= target) {
        allowed_ = target;
        nextGrowth_.reset();
        return;
    }
    growTowards(target, now);
}

std::uint32_t EngineGate::allowed() const
{
    return allowed_;
}

std::uint64_t EngineGate::onlineInFlight() const
{
    std::uint64_t inFlight = 0;
    for (auto const &[instance, tally] : tallies_)
        inFlight += tally.started - std::min(tally.started, tally.finished);
    return inFlight;
}

std::optional<Instant> EngineGate::nextTick() const
{
    auto const stale = std::max(talliesFreshUntil_, loadFreshUntil_);
    auto next = nextGrowth_;
    if (stale != Instant::min())
        next = next ? std::min(*next, stale) : stale;
    for (auto const &[instance, tally] : tallies_)
        next = next ? std::min(*next, tally.expires) : tally.expires;
    return next;
}

std::uint32_t EngineGate::budget() const
{
    return static_cast<std::uint32_t>(std::floor(limits_.maxSlots * std::clamp(limits_.share, 0.0, 1.0)));
}

std::uint64_t EngineGate::estimateOnline(Instant now) const
{
    auto const tallied = onlineInFlight();
    if (now < talliesFreshUntil_)
        return tallied;
    return std::max(tallied, static_cast<std::uint64_t>(std::ceil(std::min(foreign_, foreignBefore_))));
}

bool EngineGate::isSignalFresh(Instant now) const
{
    return now < talliesFreshUntil_ || now < loadFreshUntil_;
}

void EngineGate::growTowards(std::uint32_t target, Instant now)
{
    // The engine has a queue, according to its last report. More batch streams would only lengthen it.
    bool const mayNotGrow = now < congestedUntil_ || (isQueueing_ && now < loadFreshUntil_);
    if (mayNotGrow || !nextGrowth_) {
        nextGrowth_ = std::max(now, congestedUntil_) + options_.growInterval;
        return;
    }
    while (allowed_ < target && *nextGrowth_ <= now) {
        ++allowed_;
        *nextGrowth_ += options_.growInterval;
    }
    if (allowed_ == target)
        nextGrowth_.reset();
}

void EngineGate::dropExpiredTallies(Instant now)
{
    std::erase_if(tallies_, [now](auto const &entry) { return entry.second.expires <= now; });
}

} // namespace Anvilyard::Yield
