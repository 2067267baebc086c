#include "LibPlatform/TokenBucket.h"

#include <algorithm>

namespace Anvilyard::Platform {

namespace {

using Seconds = std::chrono::duration<double>;

/// Tolerance for rounding errors, which could otherwise delay a call whose token is available.
constexpr double RoundingTolerance = 1e-9;
constexpr Duration MaxWait = 1h;

} // namespace

TokenBucket::TokenBucket(double callsPerSecond, double burst, Instant now)
    : callsPerSecond_(callsPerSecond)
    , burst_(burst)
    , tokens_(burst)
    , lastRefill_(now)
{
}

void TokenBucket::refill(double factor, Instant now)
{
    if (now <= lastRefill_)
        return;
    tokens_ = std::min(burst_, tokens_ + Seconds(now - lastRefill_).count() * callsPerSecond_ * factor);
    lastRefill_ = now;
}

bool TokenBucket::tryTake(double reserve)
{
    if (tokens_ + RoundingTolerance < 1 + reserve)
        return false;
    tokens_ -= 1;
    return true;
}

Duration TokenBucket::waitFor(double reserve, double factor) const
{
    auto const missing = 1 + reserve - tokens_;
    if (missing <= 0)
        return Duration::zero();
    auto const rate = callsPerSecond_ * factor;
    if (rate <= 0)
        return MaxWait;
    return std::min(MaxWait, std::chrono::ceil<Duration>(Seconds(missing / rate)));
}

void TokenBucket::setRate(double callsPerSecond, double burst)
{
    callsPerSecond_ = callsPerSecond;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
}

void TokenBucket::empty()
{
    tokens_ = 0;
}

} // namespace Anvilyard::Platform
