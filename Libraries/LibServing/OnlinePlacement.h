#pragma once

#include "LibCore/Random.h"
#include "LibRouting/ServerChooser.h"
#include "LibServing/Admission.h"
#include "LibServing/LoadTracker.h"
#include "LibServing/PeerTable.h"
#include "LibServing/ServerAllowances.h"
#include "LibServing/ServerDirectory.h"
#include "LibServing/ServerPace.h"
#include "LibServing/StatedLoad.h"

#include <functional>
#include <map>
#include <set>
#include <span>

namespace Anvilyard::Serving {

struct OnlinePlacementOptions {
    InstanceId instance;
    DataCentreId dataCentre;
    AdmissionOptions admission;
    /// Additional requests in flight up to which a server of the own data centre is preferred over a remote one. Data centres are
    /// 1.5 ms apart and a request occupies a slot for hundreds of milliseconds, so even a small load difference outweighs the latency.
    double spillMargin = 0.25;
    /// Additional requests in flight accepted at a server that has the entire prompt cached. Processing a prompt of some hundred
    /// tokens takes a hundredth of the time that a request occupies its slot.
    double affinityWeight = 0.5;
    /// Weight of a batch item relative to an online request. An item is preempted for an online request, but not immediately.
    double batchWeight = 0.9;
    /// Age at which the load reported by other instances counts half, with a random choice for the other half. Within this time
    /// each server of a busy pool receives another request that was not reported yet.
    Duration loadHalfLife = 150ms;
    /// Assumed time that a request occupies a slot until measurements are available.
    Duration initialMeanRun = 500ms;
};

/// Average age of the known server load, by the server's location. Most of a server's load comes from its own data centre.
struct LoadAge {
    Duration near{0};
    Duration far{0};
};

struct PlacementRequest {
    PoolName pool;
    Duration latencyTarget = 1s;
    Routing::PromptPrefix const *prefix = nullptr;
    std::span<ServerId const> excluded;
    LoadAge loadAge = {};
    /// Null if no server has a limit.
    ServerAllowances const *allowances = nullptr;
    enum class LimitedServers {
        Use,
        Avoid,
    } limitedServers = LimitedServers::Use;
    Urgency urgency = Urgency::Highest;
    /// Whether the request may run at servers of a software version; unset if it may run at all.
    std::function<bool(SoftwareVersion const &)> acceptsVersion = {};
    /// Whether servers that are leaving or ejected are used if no other one of an accepted version is left.
    enum class ReserveServers {
        Avoid,
        Use,
    } reserveServers = ReserveServers::Avoid;
};

struct Placement {
    enum class Outcome {
        Chosen,
        /// At every server the expected wait exceeds its share of the latency target.
        Full,
        /// Every server has a limit, and none has permits now.
        LimitsReached,
        NoServer,
    } outcome = Outcome::NoServer;
    ServerRecord server;
    /// Whether a slot is certainly free at the server, allowing for one unreported request of another instance.
    bool hasFreeSlot = true;
    /// Full: time until a slot is expected. LimitsReached: time until a permit may be had.
    Duration retryAfter{0};
    /// Whether the chosen server has a limit, so that the request needs a permit.
    bool isLimited = false;
    /// Full, LimitsReached: rate of requests that all servers take, if limits of servers are the reason; unset if they are not.
    std::optional<RequestRate> limitedRate;
    /// Number of candidate servers.
    std::size_t servers = 0;
    /// Shortest expected wait for a slot over the candidate servers.
    Duration shortestWait{0};
    /// Online requests in flight per slot of the candidate servers.
    double occupancy = 0;
};

/// What the pools whose servers state their speed look like.
struct PaceSummary {
    /// Servers at which work takes far longer than on average.
    std::size_t slowServers = 0;
    /// Largest difference between the expected waits at two servers of a pool.
    Duration waitSpread{0};
};

/// Chooses servers for online requests by the requests that all instances have in flight there, and by the servers' speed if they
/// state it. Performs no I/O.
class OnlinePlacement
{
public:
    explicit OnlinePlacement(OnlinePlacementOptions options);

    /// Sets the known servers and the ones that are temporarily ejected.
    void setServers(std::vector<UsableServer> servers, std::set<ServerId> const &ejected);
    /// Records that a request ended after occupying its slot for `slotTime`.
    void onRunFinished(PoolName const &pool, Duration slotTime);
    /// Records the load that a response of the server stated. The pool's servers are weighed by their speed once one of them states it.
    void onLoadStated(ServerRecord const &server, StatedLoad const &stated, Instant now);
    /// Records how fast the server generated the events of a response.
    void onEvents(ServerRecord const &server, EventTiming const &timing, Instant now);
    void onStarted(ServerRecord const &server, Routing::PromptPrefix const *prefix);
    void onFinished(ServerRecord const &server);

    [[nodiscard]] Placement
    place(PlacementRequest const &request, LoadTracker const &own, PeerTable const &peers, Instant now, RandomSource &random);
    [[nodiscard]] Duration meanRun(PoolName const &pool) const;
    [[nodiscard]] PaceSummary paceSummary(LoadTracker const &own, PeerTable const &peers, Instant now);

private:
    struct Member {
        ServerRecord record;
        /// It receives requests only if no other server of an accepted version may: it is leaving or ejected.
        bool isReserve = false;
        ServerPace pace = {};
        /// Time that work takes there, relative to the pool's mean, as of the last choice.
        double slowness = 1;
    };

    struct Pool {
        explicit Pool(Routing::ChooserOptions options)
            : chooser(std::move(options))
        {
        }

        Routing::ServerChooser chooser;
        std::map<ServerId, Member> servers;
        Duration meanRun;
        /// Whether servers of the pool state their speed.
        bool statesPace = false;
        double meanStated = 1;
        /// Average time from the first event to the last; zero until it was observed.
        Duration meanGeneration{0};
        /// Usual time from one event to the next at a server of slowness 1, in seconds; 0 until it was observed.
        double eventSeconds = 0;
    };

    Pool &poolNamed(PoolName const &name);
    /// Candidate servers of a request.
    struct Candidates {
        std::vector<ServerLoad> loads;
        std::vector<ServerId> excluded;
        /// Slots of limited servers that their limits leave unused.
        std::map<ServerId, std::uint32_t> unusedSlots;
        /// When the first of the servers without permits may have one again; unset if all have.
        std::optional<Instant> permitExpectedAt;
        /// Rate of requests that all servers take by their limits and, for others, their slots.
        RequestRate takenRate{0};
    };

    /// Which servers of a pool are considered.
    enum class Extent {
        WithoutReserve,
        WithReserve,
    };

    /// Updates the slowness of all servers of a pool whose servers state it.
    static void updateSlowness(Pool &pool, Instant now);
    [[nodiscard]] Candidates
    findCandidates(Pool const &pool, PlacementRequest const &request, LoadTracker const &own, PeerTable const &peers, Instant now) const;
    [[nodiscard]] Candidates findCandidates(Extent extent,
                                            Pool const &pool,
                                            PlacementRequest const &request,
                                            LoadTracker const &own,
                                            PeerTable const &peers,
                                            Instant now) const;
    /// Returns the number of requests that are expected to have ended since the load was reported, in pools whose servers state their
    /// speed.
    double
    refreshLoads(Pool &pool, Candidates const &candidates, LoadTracker const &own, PeerTable const &peers, LoadAge const &age, Instant now);
    /// Time that a request occupies a slot.
    [[nodiscard]] static Duration slotTime(Pool const &pool);

    OnlinePlacementOptions options_;
    std::map<PoolName, Pool> pools_;
};

} // namespace Anvilyard::Serving
