#include "LibServing/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <xxhash.h>

namespace Anvilyard::Serving {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.rfind(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace

RouteTable::RouteTable(DesiredState state)
    : state_(std::move(state))
{
    if (state_.customers)
        customers_.emplace(*state_.customers);
    for (std::size_t index = 0; index < state_.routes.size(); ++index)
        byHost_[normalizedHost(state_.routes[index].host)].push_back(index);
    for (auto &[host, positions] : byHost_) {
        std::stable_sort(positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
            return state_.routes[left].pathPrefix.size() > state_.routes[right].pathPrefix.size();
        });
    }
}

Route const *RouteTable::find(std::string_view host, std::string_view path) const
{
    auto const found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end())
        return nullptr;
    for (auto const position : found->second) {
        if (path.starts_with(state_.routes[position].pathPrefix))
            return &state_.routes[position];
    }
    return nullptr;
}

Route const *RouteTable::findBatchRoute(std::string_view host) const
{
    auto const found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end())
        return nullptr;
    auto const isBatch = [&](std::size_t position) { return state_.routes[position].kind == RouteKind::Batch; };
    auto const position = std::ranges::find_if(found->second, isBatch);
    return position == found->second.end() ? nullptr : &state_.routes[*position];
}

DesiredState const &RouteTable::state() const
{
    return state_;
}

CustomerTable const *RouteTable::customers() const
{
    return customers_ ? &*customers_ : nullptr;
}

PoolName const &poolFor(Route const &route, RequestId const &request)
{
    double total = 0;
    for (auto const &[pool, weight] : route.pools)
        total += weight;
    constexpr double HashRange = 18446744073709551616.0;
    auto draw = static_cast<double>(XXH3_64bits(request.value().data(), request.value().size())) / HashRange * total;
    for (auto const &[pool, weight] : route.pools) {
        if (draw < weight)
            return pool;
        draw -= weight;
    }
    return route.pools.back().pool;
}

} // namespace Anvilyard::Serving
