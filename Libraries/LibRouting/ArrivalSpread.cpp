#include "LibRouting/ArrivalSpread.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Anvilyard::Routing {

std::optional<std::size_t> chooseBySpread(std::span<double const> costs, double arrivals, double draw)
{
    auto const choice = chooseBySpread(costs, {}, arrivals, draw);
    return choice ? std::optional(choice->index) : std::nullopt;
}

std::optional<SpreadChoice> chooseBySpread(std::span<double const> costs, std::span<double const> steps, double arrivals, double draw)
{
    auto const stepOf = [&](std::size_t index) { return steps.empty() ? 1.0 : steps[index]; };
    std::vector<std::pair<double, std::size_t>> ranked;
    for (std::size_t index = 0; index < costs.size(); ++index) {
        if (std::isfinite(costs[index]))
            ranked.emplace_back(costs[index], index);
    }
    if (ranked.empty())
        return std::nullopt;
    std::sort(ranked.begin(), ranked.end());
    // The level to which the arrivals fill the first servers; the next server joins once the level reaches its cost.
    double sum = 0;
    double requestsPerCost = 0;
    double level = 0;
    std::size_t filled = 0;
    for (auto const &[cost, index] : ranked) {
        if (filled > 0 && level <= cost)
            break;
        sum += cost / stepOf(index);
        requestsPerCost += 1 / stepOf(index);
        ++filled;
        level = (arrivals + sum) / requestsPerCost;
    }
    auto remaining = draw * arrivals;
    for (std::size_t rank = 0; rank < filled; ++rank) {
        remaining -= (level - ranked[rank].first) / stepOf(ranked[rank].second);
        if (remaining < 0)
            return SpreadChoice{.index = ranked[rank].second, .level = level};
    }
    return SpreadChoice{.index = ranked.front().second, .level = level};
}

} // namespace Anvilyard::Routing
