#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Serving {

using RouteName = StrongType<struct RouteNameTag, std::string>;
/// Version of an accepted desired state, strictly increasing. 0 means that none was accepted yet.
using StateVersion = StrongType<struct StateVersionTag, std::uint64_t>;

/// How requests of a route may be executed.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per request id.
    AtMostOnce,
    /// Answered with server-sent events. Runs at most once unless the route's streams may be resumed.
    Streaming,
    /// Batch jobs: all items are submitted together and run later.
    Batch,
};

struct WeightedPool {
    PoolName pool;
    double weight = 1;
};

struct Route {
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::AtMostOnce;
    /// At least one pool. Requests are distributed over the pools by weight.
    std::vector<WeightedPool> pools;
    /// Maximum time until a request is answered.
    Duration timeout = 30s;
    /// Time within which an answer has to begin to count as on time.
    Duration latencyTarget = 1s;
    /// Streams: maximum gap between events of an answer that counts as on time.
    std::optional<Duration> eventGapTarget;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    /// Requests need no key, even if the desired state has customers.
    bool isPublic = false;
    /// Maximum number of servers that may run one request.
    std::uint32_t maxServers = 1;
    /// Streams: another server may resume after the last relayed event.
    bool isResumable = false;
    /// Batch: time from submission within which all results are due.
    Duration completionTarget = 0s;
    /// Batch: an item that is not completed within this time after submission may be given up.
    Duration giveUpAfter = 0s;
    /// Batch: maximum number of waiting tokens of accepted items over all instances, of each customer if there are any. 0 means no limit.
    std::uint64_t maxWaitingTokens = 0;
};

struct PoolDescription {
    PoolName name;
    std::string healthPath;
    /// Maximum number of connections that each server of the pool accepts from all instances together. 0 if unspecified.
    std::uint32_t maxConnections = 0;
};

/// A customer whose callers present one of its keys.
struct Customer {
    CustomerId id;
    /// Secrets. They are never written to logs, metrics, errors or requests to servers.
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; the route's priority applies if unset.
    std::optional<std::int64_t> priority;
    /// Requests per second that all instances together accept in the long run. 0 means no limit.
    double requestsPerSecond = 0;
    /// Requests that are accepted beyond the rate after a time with fewer requests.
    double burst = 0;
};

/// The complete configuration requested by operators.
struct DesiredState {
    StateVersion version{0};
    std::vector<Route> routes;
    std::vector<PoolDescription> pools;
    Http::CallerLimits limits;
    /// Unset if requests need no key.
    std::optional<std::vector<Customer>> customers;
};

} // namespace Anvilyard::Serving
