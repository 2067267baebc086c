#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilyard::Load {

/// Arrivals of requests, which are independent of responses to earlier requests (open loop).
struct ArrivalOptions {
    std::uint64_t seed = 1;
    Duration runDuration = 10s;
    /// Rate of the steady arrivals, whose intervals are exponentially distributed.
    double requestsPerSecond = 10;
    /// Mean interval between additional bursts of `burstRequests` requests within `burstDuration`; 0 for no bursts.
    Duration meanBurstInterval{0};
    std::uint32_t burstRequests = 0;
    Duration burstDuration = 50ms;
};

/// Returns arrival times since the start in ascending order. Deterministic for given options.
std::vector<Duration> planArrivals(ArrivalOptions const &options);

/// Prompts of the requests. Each begins with one of a few shared prefixes, like prompts of callers with common instructions.
struct PromptOptions {
    std::uint32_t prefixes = 8;
    std::size_t prefixBytes = 512;
    std::size_t uniqueBytes = 64;
};

/// Returns the prompt of the request with this number. All prompts differ.
std::string makePrompt(PromptOptions const &options, std::uint64_t seed, std::uint64_t number);

} // namespace Anvilyard::Load
