#include "LibPlatform/CallBudget.h"

#include <algorithm>

namespace Anvilyard::Platform {

namespace {

constexpr std::array Kinds = {CallKind::Read, CallKind::Change};
/// Tokens that are reserved for leases.
constexpr double LeaseReserve = 1;
/// A bucket must have room for one call in addition to the reserve, otherwise calls of other classes would never start.
constexpr double MinBurst = 1 + LeaseReserve;

constexpr std::size_t indexOf(CallKind kind)
{
    return static_cast<std::size_t>(kind);
}

constexpr std::size_t indexOf(CallClass callClass)
{
    return static_cast<std::size_t>(callClass);
}

constexpr double reserveOf(std::size_t classIndex)
{
    return classIndex == indexOf(CallClass::Lease) ? 0 : LeaseReserve;
}

} // namespace

CallBudget::CallBudget(CallBudgetOptions options, Instant now, RandomSource random)
    : options_(options)
    , random_(random)
    , pacing_(options.pacing)
    , buckets_{TokenBucket(rateOf(CallKind::Read), burstOf(CallKind::Read), now),
               TokenBucket(rateOf(CallKind::Change), burstOf(CallKind::Change), now)}
    , lastRefill_(now)
{
}

double CallBudget::rateOf(CallKind kind) const
{
    auto const limit = kind == CallKind::Read ? options_.fleet.readsPerSecond : options_.fleet.changesPerSecond;
    return options_.usableShare * options_.processShare * limit / static_cast<double>(std::max<std::size_t>(options_.liveInstances, 1));
}

double CallBudget::burstOf(CallKind kind) const
{
    return std::max(MinBurst, rateOf(kind) * std::chrono::duration<double>(options_.burst).count());
}

std::vector<CallAction> CallBudget::onCall(CallRequest const &request, Instant now)
{
    std::vector<CallAction> actions;
    refuseOverdue(now, actions);
    auto const classIndex = indexOf(request.callClass);
    auto &queue = queues_[indexOf(request.kind)][classIndex];
    if (queue.size() >= options_.queueLimit || request.deadline <= now) {
        ++counters_[classIndex].refused;
        actions.push_back({.id = request.id, .decision = CallDecision::Refuse});
        return actions;
    }
    queue.push_back({.id = request.id, .deadline = request.deadline});
    startWaiting(now, actions);
    return actions;
}

std::vector<CallAction> CallBudget::onOutcome(CallOutcome outcome, Instant now)
{
    refill(now);
    bool const wasOutage = pacing_.isOutage();
    pacing_.onOutcome(outcome, now, random_);
    // Otherwise all instances would spend the tokens saved before the outage at the moment it ends.
    if (pacing_.isOutage() != wasOutage)
        std::for_each(buckets_.begin(), buckets_.end(), [](TokenBucket &bucket) { bucket.empty(); });
    return onTimer(now);
}

std::vector<CallAction> CallBudget::onTimer(Instant now)
{
    std::vector<CallAction> actions;
    refuseOverdue(now, actions);
    startWaiting(now, actions);
    return actions;
}

void CallBudget::onLiveInstances(std::size_t count, Instant now)
{
    refill(now);
    options_.liveInstances = count;
    for (auto const kind : Kinds)
        buckets_[indexOf(kind)].setRate(rateOf(kind), burstOf(kind));
}

void CallBudget::refill(Instant now)
{
    // The factor grows linearly, so its mean over the interval is the mean of both ends. If the ramp ended within the
    // interval, this is an underestimate.
    auto const factor = (pacing_.factor(lastRefill_) + pacing_.factor(now)) / 2;
    for (auto &bucket : buckets_)
        bucket.refill(factor, now);
    lastRefill_ = now;
}

void CallBudget::refuseOverdue(Instant now, std::vector<CallAction> &actions)
{
    for (auto &queues : queues_) {
        for (std::size_t classIndex = 0; classIndex < ClassCount; ++classIndex) {
            std::erase_if(queues[classIndex], [&](Waiting const &waiting) {
                if (waiting.deadline > now)
                    return false;
                ++counters_[classIndex].refused;
                actions.push_back({.id = waiting.id, .decision = CallDecision::Refuse});
                return true;
            });
        }
    }
}

void CallBudget::startWaiting(Instant now, std::vector<CallAction> &actions)
{
    refill(now);
    for (auto const kind : Kinds) {
        while (tryStartOne(kind, now, actions))
            continue;
    }
}

bool CallBudget::tryStartOne(CallKind kind, Instant now, std::vector<CallAction> &actions)
{
    auto &queues = queues_[indexOf(kind)];
    auto const first = std::find_if(queues.begin(), queues.end(), [](auto const &queue) { return !queue.empty(); });
    if (first == queues.end() || !pacing_.mayStart(now))
        return false;
    auto const classIndex = static_cast<std::size_t>(first - queues.begin());
    // A probe needs no token: its back-off has jitter, and the buckets are empty after an outage.
    if (!pacing_.isOutage() && !buckets_[indexOf(kind)].tryTake(reserveOf(classIndex)))
        return false;
    pacing_.onStarted(now);
    ++counters_[classIndex].started;
    actions.push_back({.id = first->front().id, .decision = CallDecision::Start});
    first->pop_front();
    return true;
}

Instant CallBudget::nextTimer() const
{
    auto next = Instant::max();
    for (auto const kind : Kinds) {
        auto const &queues = queues_[indexOf(kind)];
        bool isFirst = true;
        for (std::size_t classIndex = 0; classIndex < ClassCount; ++classIndex) {
            for (auto const &waiting : queues[classIndex])
                next = std::min(next, waiting.deadline);
            if (queues[classIndex].empty() || !std::exchange(isFirst, false))
                continue;
            auto const wait = buckets_[indexOf(kind)].waitFor(reserveOf(classIndex), pacing_.factor(lastRefill_));
            next = std::min(next, pacing_.isOutage() ? pacing_.nextChange() : lastRefill_ + wait);
        }
    }
    return next;
}

ClassCounters CallBudget::counters(CallClass callClass) const
{
    auto const classIndex = indexOf(callClass);
    auto counters = counters_[classIndex];
    for (auto const &queues : queues_)
        counters.waiting += queues[classIndex].size();
    return counters;
}

bool CallBudget::isOutage() const
{
    return pacing_.isOutage();
}

} // namespace Anvilyard::Platform
