#pragma once

#include "LibCore/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpClient.h"
#include "LibObserve/Metrics.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/ServerHealth.h"
#include "LibServing/CustomerTokens.h"
#include "LibServing/FairAdmission.h"
#include "LibServing/LoadTracker.h"
#include "LibServing/OnlinePlacement.h"
#include "LibServing/PeerTable.h"
#include "LibServing/RelayHelpers.h"
#include "LibServing/ReturnSchedule.h"
#include "LibServing/RouteTable.h"
#include "LibServing/ServerDirectory.h"
#include "LibServing/ServerReach.h"
#include "LibServing/StreamOrigins.h"
#include "LibServing/VersionRecord.h"
#include "Services/Node/NodeSettings.h"
#include "Services/Node/PromptGuard.h"
#include "Services/Node/ServerLimits.h"
#include "Services/Node/ServingProtocol.h"

#include <functional>
#include <memory>
#include <set>

namespace Anvilyard::Node {

class OnlineCall;

/// Share of a quarantine's time over which the instances spread its end.
constexpr double QuarantineExpirySpread = 1;

/// State and connections that the parts of a node share. Owned by NodeProgram and used only on the event loop's thread.
struct NodeContext {
    NodeSettings settings;
    Http::EventLoop &loop;
    ServingProtocol const &protocol;
    Platform::ObjectStore &store;
    Platform::StatusStore &statuses;
    /// Client for calls to backend servers.
    std::unique_ptr<Http::HttpClient> serverClient;
    /// Client for calls to other instances.
    std::unique_ptr<Http::HttpClient> peerClient;
    Observe::MetricsRegistry &metrics;
    RandomSource random;
    Serving::PeerTable peers;
    Serving::LoadTracker load;
    Serving::LoadAge loadAge;
    /// Number of instances in the fleet, this one included.
    std::size_t fleetSize = 1;
    Serving::ServerDirectory directory;
    Serving::VersionRecord versions;
    /// Streams that began here, and on runners those of entries.
    Serving::StreamOrigins origins;
    /// Increases with each change of the usable or ejected servers.
    std::uint64_t serversVersion = 0;
    Serving::OnlinePlacement placement;
    /// By pool, when callers may return that were refused because of the limits of servers.
    std::map<PoolName, Serving::ReturnSchedule> returns = {};
    /// By pool, which requests are refused when capacity is short. Empty if the desired state has no customers.
    std::map<PoolName, Serving::FairAdmission> fairness = {};
    Routing::ServerHealth health;
    /// Whether connections to the servers of a pool can be made from here.
    Serving::ServerReach reach{{}};
    /// Instances that send requests to servers which are out of reach from here.
    Serving::RelayHelpers helpers{{}};
    /// Returns all other entries, of which some may not run.
    std::function<std::vector<Serving::RelayHelper>()> otherEntries = [] { return std::vector<Serving::RelayHelper>(); };
    /// Requests in progress that other instances passed on to this one.
    std::size_t relayedCalls = 0;
    /// Refuses requests that crash servers.
    PromptGuard prompts{{.expirySpread = QuarantineExpirySpread, .instanceHash = std::hash<InstanceId>{}(settings.instance)}};
    /// Called before a trial of a request that may crash servers is sent. Calls back with the time from which it counts; without one if
    /// another instance sends a trial.
    std::function<void(Serving::RequestSuspects, std::function<void(std::optional<WallInstant>)>)> reserveTrial = {};
    /// Whether it is known which requests crash servers and which runners own which jobs, so that items may be sent.
    bool maySendItems = false;
    /// Called with datagrams about the rate limits of customers.
    std::function<void(std::string_view)> onLimitDatagram = [](std::string_view) {};
    /// Limits of servers that take only so many requests a second.
    ServerLimits limits = {};
    /// Runners: tokens that wait at other runners, by customer.
    Serving::CustomerTokenTable customerTokens = {};
    /// Limits the requests and streams that are moved away from a slow or silent server, as it may only be busy.
    Routing::RetryBudget moveBudget;
    /// The desired state in force; null until the first one is read.
    std::shared_ptr<Serving::RouteTable const> routes;
    /// Called when a server states in a response that it is leaving.
    std::function<void(Serving::ServerRecord const &)> onServerLeaving;
    /// Requests that wait before they are placed again.
    std::set<std::shared_ptr<OnlineCall>> waitingCalls;
};

/// Calls onServerLeaving if the response is from the server and states that it is leaving.
inline void reportIfLeaving(NodeContext const &context, Serving::ServerRecord const &server, ResponseTraits const &response)
{
    bool const isFromServer = !response.server || *response.server == server.id;
    if (response.isServerLeaving && isFromServer && context.onServerLeaving)
        context.onServerLeaving(server);
}

/// Records which server responded to what was sent to this one, and what it states about its limit and load.
inline void recordResponse(NodeContext &context, Serving::ServerRecord const &server, ResponseTraits const &response, Instant sentAt)
{
    bool const isFromServer = !response.server || *response.server == server.id;
    // The address belongs to another server now.
    if (!isFromServer)
        return context.prompts.onRefused(server);
    context.prompts.onReached(server, sentAt);
    context.limits.onResponse(server, response.limit, sentAt);
    context.placement.onLoadStated(server, response.load, readLocalClock());
}

/// Whether a lost response may show that the server has crashed. A server that leaves ends its connections, too.
inline bool mayCrash(NodeContext const &context, Serving::ServerRecord const &server)
{
    auto const known = context.directory.find(server.id, readLocalClock());
    return known && known->use == Serving::ServerUse::Usable;
}

} // namespace Anvilyard::Node
