#include "LibPlatform/OutagePacing.h"

#include <algorithm>

namespace Anvilyard::Platform {

OutagePacing::OutagePacing(OutagePacingOptions options)
    : options_(options)
    , nextBackOff_(options.minBackOff)
{
}

bool OutagePacing::mayStart(Instant now) const
{
    return state_ == State::Open || now >= waitEnd_;
}

void OutagePacing::onStarted(Instant now)
{
    if (state_ == State::Open)
        return;
    state_ = State::Probing;
    waitEnd_ = now + options_.probeTimeout;
}

void OutagePacing::onOutcome(CallOutcome outcome, Instant now, RandomSource &random)
{
    // The outcome of a call sent before the back-off is no indication of the platform's current state.
    if (state_ == State::BackingOff)
        return;
    switch (outcome) {
    case CallOutcome::Responded:
        failures_ = 0;
        if (state_ == State::Open)
            return;
        state_ = State::Open;
        nextBackOff_ = options_.minBackOff;
        rampStartFactor_ = resumeFactor_;
        rampStartedAt_ = now;
        return;
    case CallOutcome::RateLimited:
        resumeFactor_ = std::max(options_.minFactor, factor(now) / 2);
        return backOff(now, random);
    case CallOutcome::ResponseLost:
        // A probe without a response has to be followed by another one.
        if (state_ == State::Probing)
            backOff(now, random);
        return;
    case CallOutcome::Failed:
        if (state_ == State::Open && ++failures_ < options_.failureThreshold)
            return;
        resumeFactor_ = options_.minFactor;
        return backOff(now, random);
    }
}

void OutagePacing::backOff(Instant now, RandomSource &random)
{
    std::uniform_int_distribution<Duration::rep> spread(nextBackOff_.count() / 2, nextBackOff_.count());
    state_ = State::BackingOff;
    waitEnd_ = now + Duration(spread(random));
    nextBackOff_ = std::min(nextBackOff_ * 2, options_.maxBackOff);
}

double OutagePacing::factor(Instant now) const
{
    if (rampStartFactor_ >= 1 || now >= rampStartedAt_ + options_.ramp)
        return 1;
    auto const passed = std::chrono::duration<double>(now - rampStartedAt_) / std::chrono::duration<double>(options_.ramp);
    return rampStartFactor_ + (1 - rampStartFactor_) * std::max(0.0, passed);
}

Instant OutagePacing::nextChange() const
{
    return state_ == State::Open ? Instant::max() : waitEnd_;
}

bool OutagePacing::isOutage() const
{
    return state_ != State::Open;
}

} // namespace Anvilyard::Platform
