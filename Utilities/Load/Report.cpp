#include "Utilities/Load/Report.h"

#include <boost/json.hpp>

namespace Anvilyard::Load {

namespace {

namespace json = boost::json;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

json::object renderQuantiles(Quantiles const &quantiles)
{
    return {{"count", quantiles.count()},
            {"p50", quantiles.at(0.5)},
            {"p95", quantiles.at(0.95)},
            {"p99", quantiles.at(0.99)},
            {"max", quantiles.at(1)}};
}

json::array renderDistribution(Quantiles const &quantiles)
{
    constexpr int Steps = 200;
    json::array points;
    for (int step = 1; step <= Steps; ++step)
        points.push_back(quantiles.at(static_cast<double>(step) / Steps));
    return points;
}

json::object renderOnline(OnlineResults const &online)
{
    json::object refused;
    for (auto const &[status, count] : online.refused)
        refused.emplace(std::to_string(status), count);
    return {
        {"requests", online.requests},
        {"whole", online.complete},
        {"short", online.truncated},
        {"foreign", online.mismatched},
        {"error_events", online.errorEvents},
        {"refused", std::move(refused)},
        {"failed", online.failed},
        {"tokens", online.tokens},
        // Time of the machine's steady clock, like the times in the records of the fake engines.
        {"started_us", online.started.time_since_epoch().count()},
        {"seconds", toSeconds(online.runDuration)},
        {"first_token_ms", renderQuantiles(online.firstToken)},
        {"between_tokens_ms", renderQuantiles(online.betweenTokens)},
        {"whole_answer_ms", renderQuantiles(online.requestDuration)},
        {"first_token_distribution_ms", renderDistribution(online.firstToken)},
    };
}

json::object renderBatch(BatchResults const &batch)
{
    json::array progress;
    for (auto const &point : batch.progress)
        progress.push_back(json::array{toSeconds(point.sinceStart), point.completed});
    return {{"job", batch.job}, {"error", batch.error}, {"progress", std::move(progress)}};
}

} // namespace

std::string renderReport(OnlineResults const &online, BatchResults const *batch)
{
    json::object report{{"online", renderOnline(online)}};
    if (batch != nullptr)
        report.emplace("batch", renderBatch(*batch));
    return json::serialize(report);
}

} // namespace Anvilyard::Load
