#pragma once

#include "LibServing/ServerLimit.h"
#include "LibServing/Urgency.h"

#include <array>

namespace Anvilyard::Serving {

/// Spreads the times at which refused callers may return over the times at which servers take requests, the more urgent ones first. If all
/// were given the time of the next permit, all but one of them would be refused again. Performs no I/O.
class ReturnSchedule
{
public:
    /// `maxDelay`: longest delay that is given. Callers that would have to wait longer have given up by then.
    explicit ReturnSchedule(Duration maxDelay = 5s);

    /// Returns the delay after which a caller may return. `earliest`: time until a request of its urgency is expected to be taken; `rate`:
    /// rate of requests that this instance can expect to have taken.
    Duration next(Urgency urgency, Duration earliest, RequestRate rate, Instant now);

private:
    Duration maxDelay_;
    /// By urgency, when the next caller may return.
    std::array<Instant, UrgencyCount> next_{};
};

} // namespace Anvilyard::Serving
