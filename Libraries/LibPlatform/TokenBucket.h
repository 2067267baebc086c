#pragma once

#include "LibCore/Time.h"

namespace Anvilyard::Platform {

/// A token bucket with a variable rate. Within any time window it admits at most rate × window + burst calls.
class TokenBucket
{
public:
    TokenBucket(double callsPerSecond, double burst, Instant now);

    /// Adds the tokens since the last refill. `factor` is the average share of the rate over that time.
    void refill(double factor, Instant now);
    /// Takes a token if at least `reserve` tokens remain.
    [[nodiscard]] bool tryTake(double reserve);
    /// Returns the time until tryTake() succeeds for this reserve, at this share of the rate.
    [[nodiscard]] Duration waitFor(double reserve, double factor) const;
    void setRate(double callsPerSecond, double burst);
    void empty();

private:
    double callsPerSecond_;
    double burst_;
    double tokens_;
    Instant lastRefill_;
};

} // namespace Anvilyard::Platform
