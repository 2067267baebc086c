#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <map>
#include <set>
#include <vector>

namespace Anvilyard::Serving {

struct ServerReachOptions {
    /// Number of servers of a pool to which connections failed within failureWindow, at which others are checked; fewer in smaller pools.
    std::size_t serversToSuspect = 3;
    Duration failureWindow = 2s;
    /// Number of servers that are checked at once after a suspicion. One that can be connected to disproves it.
    std::size_t serversToCheck = 3;
    /// Time between two checks of a pool that is out of reach.
    Duration checkInterval = 200ms;
};

/// Decides whether this instance can connect to the servers of a pool, or is cut off from them.
///
/// Load pattern: the network path from some instances to all servers breaks for seconds, while their callers, the store and other instances
/// still reach them. Kept connections may go on, so only new ones count. When one pool is out of reach, the others are checked as well.
/// That all servers of a pool are down looks the same from here. Performs no I/O.
class ServerReach
{
public:
    explicit ServerReach(ServerReachOptions options);

    /// Sets the current servers and their pools. What is known of those that remain is kept.
    void setServers(std::map<ServerId, PoolName> const &servers);
    /// Records that a new connection to the server failed.
    void onConnectFailed(ServerId const &server, Instant now);
    /// Returns the servers to which connections have to be made now. Each one has to be followed by onChecked().
    [[nodiscard]] std::vector<ServerId> takeChecks(Instant now, RandomSource &random);
    /// Records the outcome of a check. Returns whether the pool of the server came into reach or out of it.
    bool onChecked(ServerId const &server, bool isConnected, Instant now);

    [[nodiscard]] bool isOutOfReach(PoolName const &pool) const;
    /// Whether it will be known within moments if the pool is out of reach.
    [[nodiscard]] bool isBeingChecked(PoolName const &pool) const;
    [[nodiscard]] std::set<PoolName> outOfReach() const;

private:
    struct Pool {
        std::vector<ServerId> servers;
        /// Last failure of each server since the last connection to any of the pool.
        std::map<ServerId, Instant> failures;
        enum class State {
            InReach,
            /// Connections have failed, and others are being checked.
            Suspected,
            OutOfReach,
        } state = State::InReach;
        std::set<ServerId> checking;
        Instant nextCheckAt = Instant::min();
    };

    [[nodiscard]] Pool *poolOf(ServerId const &server);
    [[nodiscard]] std::vector<ServerId> chooseChecks(Pool const &pool, RandomSource &random) const;

    ServerReachOptions options_;
    std::map<ServerId, PoolName> poolNames_;
    std::map<PoolName, Pool> pools_;
};

} // namespace Anvilyard::Serving
