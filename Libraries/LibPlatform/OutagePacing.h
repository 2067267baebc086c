#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <cstddef>

namespace Anvilyard::Platform {

/// Outcome of a call as an indication of the platform's health.
enum class CallOutcome {
    /// The platform responded, possibly with an error that concerns only this call.
    Responded,
    /// The platform refused the call because of its rate.
    RateLimited,
    /// The platform was unavailable and did not accept the call.
    Failed,
    /// The response to a change was lost. Not a sign of an outage by itself, since reads fail as well in an outage.
    ResponseLost,
};

struct OutagePacingOptions {
    /// Number of consecutive failures after which an outage is assumed.
    std::size_t failureThreshold = 3;
    Duration minBackOff = 200ms;
    Duration maxBackOff = 10s;
    /// Time without a response to a probe after which another one may be sent.
    Duration probeTimeout = 5s;
    /// Time over which the usable share of the rate grows back to 1 after an outage.
    Duration ramp = 30s;
    double minFactor = 0.1;
};

/// Decides when calls may start during and after an outage of the platform. Once an outage is detected, no call starts until a
/// back-off with jitter has passed. Then a single call is sent as a probe. After a response to it the rate grows slowly, so
/// that the waiting calls of the fleet do not arrive all at once.
class OutagePacing
{
public:
    explicit OutagePacing(OutagePacingOptions options);

    /// Returns whether a call may start now. Each start must be reported with onStarted(); during an outage it is the probe.
    [[nodiscard]] bool mayStart(Instant now) const;
    void onStarted(Instant now);
    void onOutcome(CallOutcome outcome, Instant now, RandomSource &random);

    /// Returns the share of the rate that may be used, between 0 and 1.
    [[nodiscard]] double factor(Instant now) const;
    /// Returns the time at which mayStart() changes without further events, or Instant::max() if there is no outage.
    [[nodiscard]] Instant nextChange() const;
    [[nodiscard]] bool isOutage() const;

private:
    enum class State {
        Open,
        BackingOff,
        Probing,
    };

    void backOff(Instant now, RandomSource &random);

    OutagePacingOptions options_;
    State state_ = State::Open;
    /// End of the back-off or of the probe's timeout.
    Instant waitEnd_ = Instant::min();
    Duration nextBackOff_;
    std::size_t failures_ = 0;
    /// Share of the rate at the start of the ramp once the platform responds again.
    double resumeFactor_ = 1;
    double rampStartFactor_ = 1;
    Instant rampStartedAt_ = Instant::min();
};

} // namespace Anvilyard::Platform
