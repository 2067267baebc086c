#include "LibRouting/ArrivalSpread.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Anvilyard::Routing {

std::optional<std::size_t> chooseBySpread(std::span<double const> costs, double arrivals, double draw)
{
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
    double level = 0;
    std::size_t filled = 0;
    for (auto const &[cost, index] : ranked) {
        if (filled > 0 && level <= cost)
            break;
        sum += cost;
        ++filled;
        level = (arrivals + sum) / static_cast<double>(filled);
    }
    auto remaining = draw * arrivals;
    for (std::size_t rank = 0; rank < filled; ++rank) {
        remaining -= level - ranked[rank].first;
        if (remaining < 0)
            return ranked[rank].second;
    }
    return ranked.front().second;
}

} // namespace Anvilyard::Routing
