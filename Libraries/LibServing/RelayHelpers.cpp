#include "LibServing/RelayHelpers.h"

#include <vector>

namespace Anvilyard::Serving {

RelayHelpers::RelayHelpers(RelayHelperOptions options)
    : options_(options)
{
}

std::optional<RelayHelper>
RelayHelpers::choose(PoolName const &pool, std::span<RelayHelper const> candidates, Instant now, RandomSource &random)
{
    std::erase_if(avoidedUntil_, [&](auto const &avoided) { return now >= avoided.second; });
    std::vector<RelayHelper const *> usable;
    for (auto const &candidate : candidates) {
        if (!avoidedUntil_.contains({pool, candidate.id}))
            usable.push_back(&candidate);
    }
    if (usable.empty())
        return std::nullopt;
    return *usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(random)];
}

void RelayHelpers::onUnable(InstanceId const &helper, PoolName const &pool, Instant now)
{
    avoidedUntil_[{pool, helper}] = now + options_.avoidTime;
}

} // namespace Anvilyard::Serving
