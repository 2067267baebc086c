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

Duration allowedWait(Duration latencyTarget, AdmissionOptions const &options)
{
    return std::chrono::duration_cast<Duration>(latencyTarget * options.waitShareOfTarget);
}

AdmissionVerdict admitAfterWait(Duration shortestWait, Duration latencyTarget, AdmissionOptions const &options)
{
    auto const allowed = allowedWait(latencyTarget, options);
    if (shortestWait <= allowed)
        return {.shortestWait = shortestWait};
    return {.isAdmitted = false, .retryAfter = std::max(options.minRetryAfter, shortestWait - allowed), .shortestWait = shortestWait};
}

AdmissionVerdict admit(std::span<ServerLoad const> servers, Duration meanRun, Duration latencyTarget, AdmissionOptions const &options)
{
    if (servers.empty())
        return {};
    auto shortest = Duration::max();
    for (auto const &server : servers)
        shortest = std::min(shortest, expectedWait(server, meanRun));
    return admitAfterWait(shortest, latencyTarget, options);
}

} // namespace Anvilyard::Serving
