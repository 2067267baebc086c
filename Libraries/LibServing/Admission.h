#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>
#include <span>

namespace Anvilyard::Serving {

/// Load of one candidate server, summed over all instances.
struct ServerLoad {
    std::uint32_t slots = 1;
    /// Online requests running or waiting at the server. Batch items are not counted because they are preempted.
    std::uint32_t online = 0;
    /// Time that work takes there, relative to the mean of the servers.
    double slowness = 1;
};

struct AdmissionOptions {
    /// Share of the latency target that a request may spend waiting for a slot. The rest covers prompt processing and network latency.
    double waitShareOfTarget = 0.7;
    /// The same for pools whose servers state their speed. There the expected wait is a mean that allows for unreported requests, and the
    /// actual wait may be twice as long.
    double meanWaitShareOfTarget = 0.4;
    /// Shortest delay reported to a refused caller. An earlier retry would find the same load.
    Duration minRetryAfter = 100ms;
};

struct AdmissionVerdict {
    bool isAdmitted = true;
    /// Time until a slot is expected for a request that is not admitted.
    Duration retryAfter{0};
    /// Shortest expected wait over all servers.
    Duration shortestWait{0};
};

/// Returns the expected wait for a slot at a server. `meanRun` is the average time that a request occupies a slot.
Duration expectedWait(ServerLoad const &load, Duration meanRun);

/// Longest wait for a slot with which a request is admitted.
Duration allowedWait(Duration latencyTarget, AdmissionOptions const &options);

/// Decides by the shortest expected wait over all servers.
AdmissionVerdict admitAfterWait(Duration shortestWait, Duration latencyTarget, AdmissionOptions const &options);

/// Decides at a request's arrival whether it can be served in time. Designed for peaks of nearly twice the mean load while some
/// servers are lost. Engines admit requests in order of arrival, so one excess request delays all later ones. If it is refused at
/// once, its retry meets a shorter queue. Without servers the request is admitted; the caller handles that case.
AdmissionVerdict admit(std::span<ServerLoad const> servers, Duration meanRun, Duration latencyTarget, AdmissionOptions const &options);

} // namespace Anvilyard::Serving
