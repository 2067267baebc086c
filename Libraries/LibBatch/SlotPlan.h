#pragma once

#include "LibBatch/ServerSlots.h"
#include "LibCore/Random.h"
#include "LibFleet/FleetView.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Batch {

/// A backend server whose batch slots belong to this instance, with the batch rule of its pool.
struct OwnedServer {
    Fleet::BackendServer server;
    Rules::BatchRule rule;
    /// Whether the rule's daily window is open.
    bool isAdmitted = false;
};

/// Returns the servers that Fleet::BatchOwners assigns to this instance. Each server has one owner, so that no other instance adds
/// batch items to its queue.
std::vector<OwnedServer> ownedServers(Fleet::FleetView const &view, InstanceId const &self, WallInstant now);

/// Returns whether a rule admits batch at this time of the UTC day.
bool isAdmitted(Rules::BatchRule const &rule, WallInstant now);

/// Returns the slots of the servers and the services that rules route to their pools. `allowedSlots` returns the limit set by the
/// batch gate.
std::vector<SlotServer> planSlots(Fleet::FleetView const &view,
                                  std::vector<OwnedServer> const &owned,
                                  std::function<std::uint32_t(OwnedServer const &)> const &allowedSlots);

/// The address and the model name for sending an item of a service to a server.
struct ServerRoute {
    Address address;
    /// The model's name at the engine. Empty for plain services.
    std::string model;
};

/// The routes of items in one view of the fleet. Immutable.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(Fleet::FleetView const &view);

    /// Picks a route by weight among those of the service that lead to the server's pool.
    [[nodiscard]] std::optional<ServerRoute> find(ServerId const &server, ServiceName const &service, RandomSource &random) const;

private:
    struct Server {
        Address address;
        PoolName pool;
    };

    std::map<ServerId, Server> servers_;
    std::map<PoolName, Rules::PoolKind> pools_;
    std::multimap<ServiceName, Rules::RouteRule> routes_;
};

} // namespace Anvilyard::Batch
