#include "LibYield/EngineLoad.h"

#include <algorithm>
#include <charconv>

namespace Anvilyard::Yield {

namespace {

/// Returns the value of a line "name{labels} value", or `std::nullopt` if it belongs to another gauge.
std::optional<double> gaugeValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name))
        return std::nullopt;
    line.remove_prefix(name.size());
    if (line.starts_with('{')) {
        auto const end = line.find('}');
        if (end == std::string_view::npos)
            return std::nullopt;
        line.remove_prefix(end + 1);
    }
    if (!line.starts_with(' '))
        return std::nullopt;
    line.remove_prefix(1);
    double value = 0;
    auto const [end, error] = std::from_chars(line.data(), line.data() + line.size(), value);
    return error == std::errc() && value >= 0 ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<EngineLoad> parseEngineLoad(std::string_view prometheusText)
{
    EngineLoad load;
    bool isFound = false;
    while (!prometheusText.empty()) {
        auto const end = std::min(prometheusText.find('\n'), prometheusText.size());
        auto const line = prometheusText.substr(0, end);
        prometheusText.remove_prefix(std::min(prometheusText.size(), end + 1));
        // An engine that serves several models publishes one line per model.
        if (auto const running = gaugeValue(line, "vllm:num_requests_running")) {
            load.running += *running;
            isFound = true;
        } else if (auto const waiting = gaugeValue(line, "vllm:num_requests_waiting")) {
            load.waiting += *waiting;
            isFound = true;
        } else if (auto const usage = gaugeValue(line, "vllm:kv_cache_usage_perc")) {
            load.cacheUsage = std::max(load.cacheUsage, *usage);
        }
    }
    return isFound ? std::optional(load) : std::nullopt;
}

} // namespace Anvilyard::Yield
