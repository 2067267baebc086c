#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibRouting/RetryPolicy.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Anvilyard::Routing {

/// Evidence about a backend server from one exchange.
enum class ServerEvidence {
    /// It answered a request.
    Answered,
    /// It responded to a request without answering it, as it does when it is full.
    Responded,
    /// It answered with an error that is not caused by the request.
    ErrorResponse,
    /// A new connection failed, or nothing was received on it.
    FreshConnectionFailed,
    /// A reused connection failed. An intermediary may have dropped its state, so this is no evidence about the server.
    ReusedConnectionFailed,
};

/// Evidence from a complete response with this HTTP status.
ServerEvidence evidenceOf(int status);

/// Name for logs.
char const *nameOf(ServerEvidence evidence);

enum class ProbeOutcome {
    Answered,
    /// The server accepted the connection, but did not answer as a healthy one does. It may serve requests all the same.
    Unhealthy,
    /// No connection to the server was made.
    Failed,
};

struct ServerHealthOptions {
    /// Number of evidence points at which a server is ejected. An answered exchange resets the points.
    std::uint32_t ejectAtPoints = 12;
    std::uint32_t pointsPerFailedConnection = 4;
    std::uint32_t pointsPerErrorResponse = 1;
    /// Evidence older than this is discarded.
    Duration evidenceLifetime = 30s;
    /// Maximum share of a pool that may be ejected; in a pool of two or more, one server always may be.
    double maxEjectedShare = 0.34;
    /// Delay before the first probe; it doubles with each failed probe and each ejection until the server answers a request.
    Duration firstProbeDelay = 1s;
    Duration maxProbeDelay = 30s;
    /// Time from its ejection after which a server that accepts connections gets requests although its probes are not answered; it doubles
    /// with each such trial until the server answers a request.
    Duration firstUnhealthyTrialDelay = 5s;
    Duration maxUnhealthyTrialDelay = 40s;
    /// Interval at which a server on trial gets requests.
    Duration trialInterval = 500ms;
    /// Time on trial after which a server gets requests that can be sent only once, as others may not come.
    Duration repeatableTrialTime = 3s;
};

struct ServerEjected {
    ServerId server;
    ServerEvidence evidence = ServerEvidence::FreshConnectionFailed;
    /// Number of ejections since it last answered a request, this one included.
    std::uint32_t ejections = 1;
};

/// The server is used again, on trial.
struct ServerRestored {
    ServerId server;
    /// Of its last probe.
    ProbeOutcome outcome = ProbeOutcome::Answered;
    /// Number of ejections since it last answered a request.
    std::uint32_t ejections = 1;
};

/// Probe the server's health on a new connection and report the result to onProbe().
struct ProbeServer {
    ServerId server;
};

using HealthAction = std::variant<ServerEjected, ServerRestored, ProbeServer>;

/// Ejects servers based on evidence from all connections and restores them by probing. A server may answer probes and fail all requests, so
/// that a restored one is on trial until it has answered a request that was sent since: it gets single requests, and the first failure
/// ejects it again, for longer each time. A server may also serve requests and answer no probes, so that one that accepts connections is
/// restored after a while in any case. Performs no I/O.
class ServerHealth
{
public:
    ServerHealth(ServerHealthOptions options, RandomSource random);

    /// Sets the current servers and their pools. The state of servers that remain is kept.
    void setServers(std::map<ServerId, PoolName> const &servers);
    std::vector<HealthAction> onEvidence(ServerId const &server, ServerEvidence evidence, Instant now);
    /// Records that the server answered a request. One that was sent before the server was restored does not end its trial, and one that
    /// was sent before its last failure does not clear it.
    void onAnswered(ServerId const &server, Instant sentAt, Instant now);
    /// Records that a request is sent to the server.
    void onSent(ServerId const &server, Instant now);
    std::vector<HealthAction> onProbe(ServerId const &server, ProbeOutcome outcome, Instant now);
    std::vector<HealthAction> onTick(Instant now);
    /// Makes the probes of all ejected servers due, as the path to them has been restored.
    void onPathRestored(Instant now);

    [[nodiscard]] std::set<ServerId> ejected() const;
    /// Servers in use that have not answered a request since they were restored.
    [[nodiscard]] std::set<ServerId> onTrial() const;
    /// Servers in use to which a request should not be sent now if others have room for it: those on trial that had a request lately and,
    /// if the request has no sends left, all that failed the last one and have not answered any since.
    [[nodiscard]] std::vector<ServerId> avoided(SendsLeft sendsLeft, Instant now) const;
    /// When the server last answered a request; `std::nullopt` if it has answered none.
    [[nodiscard]] std::optional<Instant> answeredAt(ServerId const &server) const;
    [[nodiscard]] std::optional<Instant> nextTick() const;

private:
    struct Server {
        PoolName pool;
        std::uint32_t points = 0;
        Instant evidenceUntil;
        Instant failedAt = Instant::min();
        std::optional<Instant> answeredAt;
        /// Since it last answered a request.
        std::uint32_t ejections = 0;
        enum class State {
            InUse,
            Ejected,
            Probing,
            OnTrial,
        } state = State::InUse;
        Duration probeDelay{0};
        Instant probeAt;
        Duration unhealthyTrialDelay{0};
        Instant unhealthyTrialAt;
        Instant restoredAt;
        Instant nextTrialAt;
    };

    [[nodiscard]] static bool isInUse(Server const &server);
    [[nodiscard]] bool isAvoided(Server const &server, SendsLeft sendsLeft, Instant now) const;
    [[nodiscard]] bool mayEject(PoolName const &pool) const;
    void ejectIfDue(ServerId const &id, Server &server, ServerEvidence evidence, Instant now, std::vector<HealthAction> &actions);
    void scheduleProbe(Server &server, Instant now);
    void startTrial(Server &server, Instant now);

    ServerHealthOptions options_;
    RandomSource random_;
    std::map<ServerId, Server> servers_;
};

} // namespace Anvilyard::Routing
