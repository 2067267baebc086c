#include "LibServing/ReturnSchedule.h"

#include <algorithm>

namespace Anvilyard::Serving {

ReturnSchedule::ReturnSchedule(Duration maxDelay)
    : maxDelay_(maxDelay)
{
}

Duration ReturnSchedule::next(Urgency urgency, Duration earliest, RequestRate rate, Instant now)
{
    auto const latest = now + maxDelay_;
    auto const at = std::min(std::max(next_[static_cast<std::size_t>(urgency)], now + earliest), latest);
    auto const seconds = std::chrono::duration<double>(maxDelay_).count();
    // A rate near zero would give an interval that does not fit its type.
    auto const interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 1 / std::max(rate.value(), 1 / seconds))));
    for (auto rank = static_cast<std::size_t>(urgency); rank < UrgencyCount; ++rank)
        next_[rank] = std::min(std::max(next_[rank], at) + interval, latest);
    return at - now;
}

} // namespace Anvilyard::Serving
