#include "LibServing/Admission.h"

#include <algorithm>

namespace Anvilyard::Serving {

Duration expectedWait(ServerLoad const &load, Duration meanRun)
{
    if (load.online < load.slots)
        return Duration::zero();
    auto const slots = std::max<std::uint32_t>(1, load.slots);
    // On average, a slot becomes free every meanRun / slots.
    auto const ownRun = std::chrono::duration_cast<Duration>(meanRun * load.slowness);
    return ownRun * (load.online + 1 - slots) / slots;
}

AdmissionVerdict admit(std::span<ServerLoad const> servers, Duration meanRun, Duration latencyTarget, AdmissionOptions const &options)
{
    if (servers.empty())
        return {};
    auto shortest = Duration::max();
    for (auto const &server : servers)
        shortest = std::min(shortest, expectedWait(server, meanRun));
    auto const allowed = std::chrono::duration_cast<Duration>(latencyTarget * options.waitShareOfTarget);
    if (shortest <= allowed)
        return {.shortestWait = shortest};
    return {.isAdmitted = false, .retryAfter = std::max(options.minRetryAfter, shortest - allowed), .shortestWait = shortest};
}

} // namespace Anvilyard::Serving
