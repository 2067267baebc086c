#pragma once

#include <optional>
#include <string_view>

namespace Anvilyard::Yield {

/// Load as reported by an engine. It lags behind the actual load.
struct EngineLoad {
    double running = 0;
    double waiting = 0;
    /// Share of the KV cache in use, from 0 to 1.
    double cacheUsage = 0;
    /// Number of running requests that are the reader's own batch streams. If missing, the number of allowed slots is assumed.
    std::optional<double> ownRunning;
};

/// Parses the gauges of vLLM from Prometheus text, summed over the engine's models. Returns `std::nullopt` if neither the gauge of
/// running nor of waiting requests is present.
std::optional<EngineLoad> parseEngineLoad(std::string_view prometheusText);

} // namespace Anvilyard::Yield
