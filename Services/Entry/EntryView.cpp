#include "Services/Entry/EntryView.h"

#include <algorithm>

namespace Anvilyard::Entry {

namespace {

/// Marks the server as leaving if a leaving rule names it, whatever state the fleet view reports for it.
Fleet::BackendServer withLeavingRules(Fleet::BackendServer server, std::vector<Rules::LeavingRule> const &leaving)
{
    if (std::any_of(leaving.begin(), leaving.end(), [&](auto const &rule) { return rule.server == server.id; }))
        server.state = Fleet::ServerState::Leaving;
    return server;
}

} // namespace

EntryView::EntryView(std::shared_ptr<Fleet::FleetView const> fleet, std::set<ServerId> ejected)
    : fleet_(std::move(fleet))
    , ejected_(std::move(ejected))
{
    auto const &rules = *fleet_->rules;
    for (auto const &rule : rules.customers)
        customers_.emplace(rule.keySha256, rule.customer);
    std::map<PoolName, Rules::PoolKind> kinds;
    for (auto const &rule : rules.pools)
        kinds.emplace(rule.pool, rule.kind);
    for (auto const &rule : rules.routes) {
        auto &service = services_[rule.service];
        if (auto const kind = kinds.find(rule.pool); kind != kinds.end())
            service.kind = kind->second;
        service.routes.push_back(rule);
    }
    for (auto const &server : fleet_->servers)
        pools_[server.pool].push_back(withLeavingRules(server, rules.leaving));
}

Fleet::FleetView const &EntryView::fleet() const
{
    return *fleet_;
}

std::shared_ptr<Fleet::FleetView const> const &EntryView::fleetPointer() const
{
    return fleet_;
}

CustomerId const *EntryView::findCustomer(std::string const &keySha256) const
{
    auto const found = customers_.find(keySha256);
    return found == customers_.end() ? nullptr : &found->second;
}

ServiceRoutes const *EntryView::findService(ServiceName const &service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

std::map<ServiceName, ServiceRoutes> const &EntryView::services() const
{
    return services_;
}

std::span<Fleet::BackendServer const> EntryView::serversOf(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? std::span<Fleet::BackendServer const>() : std::span<Fleet::BackendServer const>(found->second);
}

std::map<PoolName, std::vector<Fleet::BackendServer>> const &EntryView::pools() const
{
    return pools_;
}

std::set<ServerId> const &EntryView::ejected() const
{
    return ejected_;
}

} // namespace Anvilyard::Entry
