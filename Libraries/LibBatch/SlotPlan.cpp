#include "LibBatch/SlotPlan.h"

#include "LibFleet/BatchOwners.h"

#include <algorithm>

namespace Anvilyard::Batch {

bool isAdmitted(Rules::BatchRule const &rule, WallInstant now)
{
    if (rule.admitFrom == rule.admitUntil)
        return true;
    auto const ofDay = now.time_since_epoch() % std::chrono::hours(24);
    if (rule.admitFrom < rule.admitUntil)
        return ofDay >= rule.admitFrom && ofDay < rule.admitUntil;
    // The window spans midnight.
    return ofDay >= rule.admitFrom || ofDay < rule.admitUntil;
}

std::vector<OwnedServer> ownedServers(Fleet::FleetView const &view, InstanceId const &self, WallInstant now)
{
    Fleet::BatchOwners const owners(view);
    auto const isLeaving = [&](ServerId const &server) {
        return std::any_of(view.rules->leaving.begin(), view.rules->leaving.end(), [&](auto const &rule) { return rule.server == server; });
    };
    std::vector<OwnedServer> owned;
    for (auto const &server : view.servers) {
        auto const &rules = view.rules->batches;
        auto const rule = std::find_if(rules.begin(), rules.end(), [&](auto const &candidate) { return candidate.pool == server.pool; });
        if (rule == rules.end() || server.state != Fleet::ServerState::Ready || isLeaving(server.id))
            continue;
        auto const *owner = owners.ownerOf(server.id.value());
        if (owner && owner->id == self)
            owned.push_back({.server = server, .rule = *rule, .isAdmitted = isAdmitted(*rule, now)});
    }
    return owned;
}

std::vector<SlotServer> planSlots(Fleet::FleetView const &view,
                                  std::vector<OwnedServer> const &owned,
                                  std::function<std::uint32_t(OwnedServer const &)> const &allowedSlots)
{
    std::vector<SlotServer> servers;
    for (auto const &server : owned) {
        SlotServer slot{.id = server.server.id, .slots = server.isAdmitted ? allowedSlots(server) : 0};
        for (auto const &route : view.rules->routes) {
            if (route.pool == server.server.pool && route.weight > 0)
                slot.services.insert(route.service);
        }
        servers.push_back(std::move(slot));
    }
    return servers;
}

RouteTable::RouteTable(Fleet::FleetView const &view)
{
    for (auto const &server : view.servers)
        servers_[server.id] = {.address = server.address, .pool = server.pool};
    for (auto const &pool : view.rules->pools)
        pools_[pool.pool] = pool.kind;
    for (auto const &route : view.rules->routes)
        routes_.emplace(route.service, route);
}

std::optional<ServerRoute> RouteTable::find(ServerId const &server, ServiceName const &service, RandomSource &random) const
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
        return std::nullopt;
    auto const [first, last] = routes_.equal_range(service);
    auto const weightOf = [&](Rules::RouteRule const &route) { return route.pool == found->second.pool ? route.weight : 0; };
    std::uint64_t total = 0;
    for (auto route = first; route != last; ++route)
        total += weightOf(route->second);
    if (total == 0)
        return std::nullopt;
    auto draw = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
    for (auto route = first; route != last; ++route) {
        auto const &rule = route->second;
        if (draw >= weightOf(rule)) {
            draw -= weightOf(rule);
            continue;
        }
        auto const pool = pools_.find(rule.pool);
        if (pool != pools_.end() && pool->second == Rules::PoolKind::PlainService)
            return ServerRoute{.address = found->second.address};
        auto const &version = rule.version.value();
        return ServerRoute{.address = found->second.address, .model = rule.model.value() + (version.empty() ? "" : "@" + version)};
    }
    return std::nullopt;
}

} // namespace Anvilyard::Batch
