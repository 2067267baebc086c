#pragma once

#include "LibCore/Time.h"

namespace Anvilyard::Routing {

/// Token bucket whose rate may change at any time. Its level may fall below zero for costs that are known only afterwards,
/// such as the tokens of a stream. Performs no I/O.
class RateLimiter
{
public:
    /// `burst` is the capacity of the bucket and its initial level.
    RateLimiter(double perSecond, double burst, Instant now);

    /// Keeps the current level, up to the new burst.
    void setRate(double perSecond, double burst, Instant now);
    /// Takes the cost if the level is sufficient. Otherwise takes nothing and returns the time until it would be.
    [[nodiscard]] Duration tryTake(double cost, Instant now);
    /// Like tryTake() above, but leaves the reserve in the bucket.
    [[nodiscard]] Duration tryTake(double cost, double reserve, Instant now);
    /// Returns the time until the level is above zero, or zero if it is already.
    [[nodiscard]] Duration waitUntilPositive(Instant now);
    /// Takes the cost regardless of the level.
    void charge(double cost, Instant now);
    [[nodiscard]] double perSecond() const;

private:
    void refill(Instant now);
    [[nodiscard]] Duration timeToRefill(double amount) const;

    double perSecond_;
    double burst_;
    double level_;
    Instant refilledAt_;
};

} // namespace Anvilyard::Routing
