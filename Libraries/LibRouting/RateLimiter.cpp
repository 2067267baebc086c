#include "LibRouting/RateLimiter.h"

#include <algorithm>

namespace Anvilyard::Routing {

namespace {

constexpr Duration MaxWait = std::chrono::hours(1);
/// Sums of many small refills differ slightly from integers.
constexpr double RoundingTolerance = 1e-9;

} // namespace

RateLimiter::RateLimiter(double perSecond, double burst, Instant now)
    : perSecond_(perSecond)
    , burst_(burst)
    , level_(burst)
    , refilledAt_(now)
{
}

void RateLimiter::setRate(double perSecond, double burst, Instant now)
{
    refill(now);
    perSecond_ = perSecond;
    burst_ = burst;
    level_ = std::min(level_, burst_);
}

void RateLimiter::refill(Instant now)
{
    if (now <= refilledAt_)
        return;
    auto const elapsed = std::chrono::duration<double>(now - refilledAt_);
    level_ = std::min(burst_, level_ + elapsed.count() * perSecond_);
    refilledAt_ = now;
}

Duration RateLimiter::timeToRefill(double amount) const
{
    auto const maxWait = std::chrono::duration<double>(MaxWait);
    if (perSecond_ <= 0 || amount / perSecond_ >= maxWait.count())
        return MaxWait;
    return std::max(Duration(1), std::chrono::ceil<Duration>(std::chrono::duration<double>(amount / perSecond_)));
}

Duration RateLimiter::tryTake(double cost, Instant now)
{
    return tryTake(cost, 0, now);
}

Duration RateLimiter::tryTake(double cost, double reserve, Instant now)
{
    refill(now);
    if (level_ + RoundingTolerance < cost + reserve)
        return timeToRefill(cost + reserve - level_);
    level_ -= cost;
    return Duration(0);
}

Duration RateLimiter::waitUntilPositive(Instant now)
{
    refill(now);
    return level_ > 0 ? Duration(0) : timeToRefill(-level_);
}

void RateLimiter::charge(double cost, Instant now)
{
    refill(now);
    level_ -= cost;
}

double RateLimiter::perSecond() const
{
    return perSecond_;
}

} // namespace Anvilyard::Routing
