#pragma once

#include "LibFleet/FleetView.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Entry {

/// The routes of one service, in the order of the rules.
struct ServiceRoutes {
    Rules::PoolKind kind = Rules::PoolKind::ModelEngine;
    std::vector<Rules::RouteRule> routes;
};

/// A fleet view with indexes for request handling. Immutable once published to the traffic threads.
class EntryView
{
public:
    EntryView() = default;
    EntryView(std::shared_ptr<Fleet::FleetView const> fleet, std::set<ServerId> ejected);

    [[nodiscard]] Fleet::FleetView const &fleet() const;
    [[nodiscard]] std::shared_ptr<Fleet::FleetView const> const &fleetPointer() const;
    /// Returns the customer whose key has this SHA-256 in lower-case hex, or `nullptr`.
    [[nodiscard]] CustomerId const *findCustomer(std::string const &keySha256) const;
    [[nodiscard]] ServiceRoutes const *findService(ServiceName const &service) const;
    [[nodiscard]] std::map<ServiceName, ServiceRoutes> const &services() const;
    [[nodiscard]] std::span<Fleet::BackendServer const> serversOf(PoolName const &pool) const;
    [[nodiscard]] std::map<PoolName, std::vector<Fleet::BackendServer>> const &pools() const;
    [[nodiscard]] std::set<ServerId> const &ejected() const;

private:
    std::shared_ptr<Fleet::FleetView const> fleet_ = std::make_shared<Fleet::FleetView const>();
    std::unordered_map<std::string, CustomerId> customers_;
    std::map<ServiceName, ServiceRoutes> services_;
    std::map<PoolName, std::vector<Fleet::BackendServer>> pools_;
    std::set<ServerId> ejected_;
};

} // namespace Anvilyard::Entry
