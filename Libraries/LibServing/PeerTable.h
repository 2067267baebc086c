#pragma once

#include "LibCore/Time.h"
#include "LibServing/LoadSummaryTable.h"
#include "LibServing/PeerReport.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Anvilyard::Serving {

/// Which reports the instances of a fleet exchange.
enum class FleetKind {
    /// Every instance receives the load of all others.
    Small,
    /// Instances receive the load of other data centres as sums only.
    Large,
};

struct PeerTableOptions {
    InstanceId self;
    InstanceRole ownRole = InstanceRole::Entry;
    DataCentreId dataCentre;
    /// A peer without reports for this long is considered dead. This is six times the report interval of peers that share servers
    /// and jobs.
    Duration peerTimeout = 1500ms;
    /// Peers that report less often are considered dead after this many intervals if that is longer, as datagrams may get lost.
    int maxMissedIntervals = 4;
    /// Time for which observed runners count unless the observer states them again. Observers that state them do so once a second, and
    /// datagrams may get lost.
    Duration observationTimeout = 4s;
    /// Time for which a runner that reported to be leaving does not count because of observations by others, unless they are of a process
    /// that started later. These may be passed on once, and each holds for observationTimeout.
    Duration departureRetention = 15s;
    /// Time after a change of, or disagreement about, the live runners during which other instances may still see a different set.
    Duration unsettledTime = 5s;
    /// Number of runners that send items to one server. It is small enough that each one has the current item counts of the others,
    /// and large enough that a runner with many items finds free slots.
    std::size_t runnersPerServer = 4;
    /// Number of relays of each data centre. The second one takes over when the first falls silent.
    std::size_t relaysPerDataCentre = 2;
    /// Time for which a runner that lost the platform's store goes on to own jobs although others reach it. All runners lose and reach the
    /// store within this time if it fails for all, as each one tries at least every 800 ms. Without it, the owners of jobs would change
    /// with the report of each runner, and each change ends runs of items and reads jobs anew.
    Duration storeLossTolerance = 1s;
    /// Time within which another runner has loaded the jobs of a departed runner and reports their tokens.
    Duration takeoverTime = 3s;
};

/// A server as far as it matters for the runners that send items to it.
struct ItemServer {
    ServerId id;
    DataCentreId dataCentre;
    /// Whether new items may be sent there.
    bool acceptsNew = false;
};

/// Newest reports of all live peers. Performs no I/O.
class PeerTable
{
public:
    explicit PeerTable(PeerTableOptions options);

    /// Returns whether the report is newer than the last one of its sender.
    bool onReport(PeerReport report, Instant now);
    /// Removes peers that timed out.
    void onTick(Instant now);
    /// Called after this process was paused. Peers may have considered it dead in the meantime.
    void onProcessPaused(Instant now);
    void setOwnStage(InstanceStage stage, Instant now);
    void setFleetKind(FleetKind kind);
    void setOwnStoreReachability(StoreReachability reachability, Instant now);

    [[nodiscard]] std::vector<PeerReport const *> live() const;
    [[nodiscard]] PeerReport const *find(InstanceId const &id) const;
    /// Returns whether the summary is newer than the last one of its relay.
    bool onSummary(LoadSummary summary, Instant now);
    /// Records the load that the own report contained.
    void onOwnReport(ReportPosition const &position, LoadByServer load);

    /// Runners that collect and distribute load in the own data centre in a large fleet: serving runners of the data centre, or of any if
    /// it has none. Runners that reach the platform's store come first.
    [[nodiscard]] std::vector<InstanceId> const &relays() const;
    [[nodiscard]] bool isRelay() const;
    /// Relays of another data centre in the view of this instance.
    [[nodiscard]] std::vector<InstanceId> relaysOf(DataCentreId const &dataCentre) const;
    /// Peers that expect load summaries from this instance.
    [[nodiscard]] std::vector<PeerReport const *> summaryReceivers() const;
    /// When the last load summary of the own data centre arrived; `std::nullopt` if none counts.
    [[nodiscard]] std::optional<Instant> lastSummaryAt() const;
    /// Whether this instance knows runners and none of them reaches the platform's store.
    [[nodiscard]] bool isStoreLostForAllRunners() const;
    /// Load of all live peers with direct reports.
    [[nodiscard]] LoadByServer directLoad() const;
    /// Load of other data centres, for the instances of the own one.
    [[nodiscard]] LoadByServer const &farLoad() const;
    /// Address of a peer for calls between instances, from its own reports or from those of others; `std::nullopt` if unknown.
    [[nodiscard]] std::optional<Address> addressOf(InstanceId const &id) const;
    /// Increases with each change of the runners, their data centres or their reachability of the platform's store.
    [[nodiscard]] std::uint64_t topologyVersion() const;

    /// Requests of all other instances at a server: from the summaries of relays if there are any, else from the reports of live peers.
    [[nodiscard]] InFlight othersAt(ServerId const &server) const;
    /// Live peers with batch items at a server and their item counts.
    [[nodiscard]] std::vector<std::pair<InstanceId, std::uint32_t>> batchAt(ServerId const &server) const;
    /// Serving runners whose reports this instance receives, including itself if it is a runner.
    [[nodiscard]] std::vector<ObservedRunner> observedRunners() const;
    /// Like observedRunners(), with the runners that live runners of other data centres observe. Entries report these, so that runners
    /// which are cut off from other data centres know of the runners there. Runners must not pass them on, or a dead one would be reported
    /// forever.
    [[nodiscard]] std::vector<ObservedRunner> relayedRunners() const;
    /// Runners that may own jobs, ordered by name: those that this instance or one of its live peers receives reports from. A runner
    /// that lost the platform's store cannot store outcomes, so it owns no jobs while another runner reaches the store.
    [[nodiscard]] std::vector<InstanceId> const &runners() const;
    /// For a runner whose own reports do not arrive here, a live peer that observes it; `std::nullopt` for all others.
    [[nodiscard]] std::optional<InstanceId> observerOf(InstanceId const &runner) const;
    /// The runner that owns a job in the view of this instance; `std::nullopt` if no runner is known.
    [[nodiscard]] std::optional<InstanceId> ownerOf(JobId const &job) const;
    /// The runner that would own a job without its owner; `std::nullopt` if there is none.
    [[nodiscard]] std::optional<InstanceId> nextOwnerOf(JobId const &job) const;
    /// Whether this runner may send items to a server: it is among the first `runnersPerServer` runners by rendezvous hashing, where
    /// runners in the server's data centre rank before all others. Runners of one server have to know each other's items there. In a large
    /// fleet those of different data centres do not, so a server without runners in its data centre has a single one.
    [[nodiscard]] bool isRunnerFor(ServerId const &server, DataCentreId const &dataCentre) const;
    /// The servers of a pool to which this runner sends items: those for which isRunnerFor() holds. Jobs are divided evenly among all
    /// runners, so a runner that may send new items to less than half of its share of the pool has substitutes up to that share: servers of
    /// its data centre first, then of others.
    [[nodiscard]] std::set<ServerId> itemServers(std::span<ItemServer const> pool) const;
    /// Whether this runner may start an item at a server that is not one of itemServers() in this round: in each round one runner on
    /// average may, another one in each. Otherwise all runners that see a free slot would use it before they see each other's items.
    [[nodiscard]] bool hasTurnAt(ServerId const &server, std::uint64_t round) const;
    /// Whether the load of other data centres is known, or there are reports of each instance.
    [[nodiscard]] bool knowsFarLoad() const;
    /// Items of other data centres at a server. Their runners are not listed by batchAt().
    [[nodiscard]] std::uint32_t farBatchAt(ServerId const &server) const;
    /// Hash over runners(), compared between instances.
    [[nodiscard]] std::uint64_t runnersHash() const;
    /// Whether two instances may both consider themselves the owner of a job: the runner set of a peer differs or differed recently,
    /// the own one changed recently, or this process was paused. The views of entries count as well, since entries may receive
    /// reports of runners that are cut off from each other.
    [[nodiscard]] bool isUnsettled(Instant now) const;
    /// Tokens waiting at other runners, including those that only peers receive reports from. The tokens of a dead or leaving runner are
    /// counted until another runner has taken over its jobs. Counting them twice for a short time is preferred over not counting them.
    [[nodiscard]] std::uint64_t waitingTokens(Instant now) const;
    /// The runner that decides on accepting jobs of a route near its limit of waiting tokens; `std::nullopt` if no runner is known.
    [[nodiscard]] std::optional<InstanceId> admitterOf(RouteName const &route) const;
    /// The runner that writes the record of a pool's software versions; `std::nullopt` if no runner is known.
    [[nodiscard]] std::optional<InstanceId> firstRunnerOf(PoolName const &pool) const;
    /// The runners that remember where a stream began, at most two.
    [[nodiscard]] std::vector<InstanceId> originKeepersOf(RequestId const &stream) const;
    /// The runner that issues the permits for requests to a limited server; `std::nullopt` if no runner is known.
    [[nodiscard]] std::optional<InstanceId> permitIssuerOf(ServerId const &server) const;
    /// The runner that coordinates a customer's rate limit; `std::nullopt` if no runner is known.
    [[nodiscard]] std::optional<InstanceId> limitCoordinatorOf(CustomerId const &customer) const;

private:
    struct Peer {
        PeerReport report;
        Instant receivedAt;
        /// When its observed runners are dropped unless it states them again.
        Instant observedUntil;
    };

    struct RetainedTokens {
        std::uint64_t tokens = 0;
        Instant until;
    };

    /// Process of a runner that reported to be leaving, and until when observations of it by others do not count.
    struct Departure {
        std::int64_t startedAt = 0;
        Instant until;
    };

    /// Requests of all live peers at one server.
    struct ServerSum {
        InFlight all;
        std::map<InstanceId, std::uint32_t> batch;
    };

    [[nodiscard]] InFlight directAt(ServerId const &server) const;
    /// Number of servers that each runner gets if `runnersPerServer` runners send items to each one that accepts them; at least one.
    [[nodiscard]] std::size_t shareOfServers(std::span<ItemServer const> pool) const;
    [[nodiscard]] std::set<ServerId> substituteServers(std::span<ItemServer const> pool, std::size_t count) const;
    /// Drops observations that were not stated again. Returns whether there were any.
    bool dropOldObservations(Instant now);
    /// Whether the observed process reported here that it is leaving.
    [[nodiscard]] bool hasDeparted(ObservedRunner const &runner) const;
    void addLoad(PeerReport const &report);
    void removeLoad(PeerReport const &report);
    void retainTokens(PeerReport const &report, Instant now);
    [[nodiscard]] std::optional<InstanceId> firstRunnerFor(std::string const &key) const;
    [[nodiscard]] std::optional<InstanceId> secondRunnerFor(std::string const &key) const;

    [[nodiscard]] bool isTimedOut(PeerReport const &report, Instant receivedAt, Instant now) const;
    /// All runners that this instance or a live peer observes.
    [[nodiscard]] std::map<InstanceId, StoreReachability> knownRunners() const;
    /// Those of knownRunners() that may own jobs.
    [[nodiscard]] std::vector<InstanceId> findRunners(std::map<InstanceId, StoreReachability> const &known, Instant now) const;
    /// Records since when runners have lost the store while others reach it.
    void updateStoreLosses(std::map<InstanceId, StoreReachability> const &known, Instant now);
    void updateRunners(Instant now);
    [[nodiscard]] std::vector<InstanceId> firstRelays(DataCentreId const &dataCentre, bool mayUseOthers) const;

    PeerTableOptions options_;
    FleetKind fleetKind_ = FleetKind::Small;
    InstanceStage ownStage_ = InstanceStage::Serving;
    StoreReachability ownStoreReachability_ = StoreReachability::Reached;
    std::map<InstanceId, Peer> peers_;
    /// Updated with each report. It is read for every server at each placement, which in large fleets is far more frequent than
    /// reports.
    std::map<ServerId, ServerSum> sums_;
    std::map<InstanceId, RetainedTokens> retainedTokens_;
    /// Runners whose last report stated that they are leaving.
    std::map<InstanceId, Departure> departures_;
    LoadSummaryTable summaries_;
    std::vector<InstanceId> relays_;
    bool isStoreLostForAllRunners_ = false;
    /// When runners that lost the store, while others reach it, cease to own jobs.
    std::map<InstanceId, Instant> storeLossUntil_;
    std::uint64_t topologyVersion_ = 0;
    std::vector<InstanceId> runners_;
    std::uint64_t runnersHash_ = 0;
    /// Time of the last change of the own runner set, disagreement with a peer's, or process pause.
    Instant lastUnsettledAt_ = Instant::min();
};

} // namespace Anvilyard::Serving
