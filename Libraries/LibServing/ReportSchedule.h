#pragma once

#include "LibCore/Time.h"
#include "LibServing/PeerReport.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Serving {

struct ReportScheduleOptions {
    InstanceId self;
    InstanceRole ownRole = InstanceRole::Entry;
    DataCentreId ownDataCentre;
    /// Maximum time between two reports to a peer that shares servers or jobs with this instance. A peer is considered dead after
    /// six intervals without a report.
    Duration heartbeat = 250ms;
    /// Maximum number of peers for which every load change is reported to each peer. The number of such reports grows with the
    /// square of the fleet: with 24 peers a node receives at most some 400 a second. With 83 peers it received 1,300, which took a
    /// third of the processor time of a small machine.
    std::size_t maxSmallFleetPeers = 24;
    /// In a larger fleet, the minimum time between two reports of load changes to a relay.
    Duration minRelayInterval = 20ms;
    /// In a larger fleet, the minimum time between two reports of load changes between runners of a data centre. Items have to be
    /// preempted no later than that, and a load that doubles suddenly fills one slot of each server in this time.
    Duration minRunnerInterval = 50ms;
    /// In a larger fleet, the time between reports of a runner to the entries of its data centre and to runners elsewhere.
    Duration runnerHeartbeat = 500ms;
    /// In a larger fleet, the time between reports that state the observed runners to instances that get reports more often.
    Duration observedRunnersInterval = 1s;
    /// In a larger fleet, the time between reports of an entry to runners that are not its relays.
    Duration entryHeartbeat = 1s;
    /// In a larger fleet, the time between two load summaries of a relay if the load changes.
    Duration summaryInterval = 50ms;
    /// In a larger fleet, the time between two exchanges of load with the relays of other data centres.
    Duration farSummaryInterval = 250ms;
    /// In a larger fleet, the number of runners of each other data centre that the entries of a data centre report to.
    std::size_t linkedRunnersPerDataCentre = 2;
    /// A peer of another data centre that reported within this time receives reports as well.
    Duration linkTimeout = 5s;
};

/// What a report contains. Reports leave out what the receiver does not use, or received recently.
enum class ReportExtent {
    Full,
    /// Without the observed runners, which change rarely.
    LoadOnly,
    /// Without the requests in flight.
    WithoutLoad,
    /// Without the requests in flight and the observed runners.
    Liveness,
};

/// Which relays send summaries to an instance.
enum class SummarySources {
    /// Only the first relay. The second one has the same load, and each summary costs processor time at both ends.
    FirstRelay,
    /// All relays, while the first one sends none.
    AllRelays,
};

/// Decides which peers are due for a report. Designed for load that changes many times a second, with any fleet size. In a small
/// fleet every change is reported to all peers. In a large fleet changes are reported to the relays of the data centre, which
/// distribute load summaries; other peers receive heartbeats only as far as ownership of jobs depends on them. The number of reports
/// that an instance sends and receives then depends on the size of its data centre and the number of runners only. Performs no I/O.
class ReportSchedule
{
public:
    /// Peers that receive the same report.
    struct ReportGroup {
        /// Time within which these peers get the next report.
        Duration nextWithin{0};
        ReportExtent extent = ReportExtent::Full;
        /// Whether the peers are relays that are to send load summaries to this instance.
        bool wantsSummaries = false;
        std::vector<InstanceId> peers;
    };

    explicit ReportSchedule(ReportScheduleOptions options);

    /// Adds a peer with a known address. The first report to it is due at once.
    void add(InstanceId const &peer);
    /// Sets what the peer registered or reported about itself.
    void setRoleAndDataCentre(InstanceId const &peer, InstanceRole role, DataCentreId const &dataCentre);
    /// Sets the number of instances that a peer knows. Instances that started later than this one do not announce themselves to it if
    /// they would send it no reports.
    void setKnownInstances(std::size_t count);
    /// Number of instances in the fleet, this one included.
    [[nodiscard]] std::size_t fleetSize() const;
    /// Records that a report of the peer was received.
    void onReported(InstanceId const &peer, Instant now);
    /// Sets the relays of this instance. The first report to a new relay is due at once.
    void setRelays(std::vector<InstanceId> const &relays);
    void setSummarySources(SummarySources sources);
    /// Sets the runners that are alive. An entry reports to a few of each other data centre; all entries of its data centre choose the
    /// same ones.
    void setLiveRunners(std::vector<InstanceId> const &runners);
    /// Makes the next report to the peer due at once.
    void scheduleNow(InstanceId const &peer);
    /// Makes the next report to every peer due at once.
    void scheduleAllNow();

    /// Whether every load change is reported to each peer.
    [[nodiscard]] bool isSmallFleet() const;
    /// Returns the peers that are due now and marks them as reported to. `change` increases with each change of the own reported load.
    [[nodiscard]] std::vector<ReportGroup> takeDue(std::uint64_t change, Instant now);
    /// Whether a load summary to the receivers of this relay is due. `change` increases with each change of the load.
    [[nodiscard]] bool takeSummaryDue(std::uint64_t change, Instant now);
    /// Whether an exchange of load with the relays of other data centres is due.
    [[nodiscard]] bool takeFarSummaryDue(Instant now);
    /// Average age of the known load that is caused by instances of the own data centre.
    [[nodiscard]] Duration nearLoadAge() const;
    /// Average age of the known load that is caused by instances of other data centres.
    [[nodiscard]] Duration farLoadAge() const;

private:
    /// How often a peer gets a report.
    struct Cadence {
        Duration heartbeat{0};
        /// Minimum time between two reports of load changes; unset if changes are not reported to the peer.
        std::optional<Duration> changeInterval;
        ReportExtent extent = ReportExtent::Full;
        bool wantsSummaries = false;
    };

    struct Peer {
        std::optional<InstanceRole> role;
        DataCentreId dataCentre;
        std::optional<Instant> lastReportAt;
        std::uint64_t lastReportedChange = 0;
        /// Last report that was not LoadOnly.
        std::optional<Instant> lastCompleteReportAt;
        std::optional<Instant> lastReceivedAt;
    };

    struct Receiver {
        InstanceId id;
        Peer *peer = nullptr;
        Cadence cadence;
    };

    static void scheduleNow(Peer &peer);
    /// Returns `std::nullopt` if the peer gets no reports.
    [[nodiscard]] std::optional<Cadence> cadenceOf(InstanceId const &id, Peer const &peer, Instant now) const;
    [[nodiscard]] std::optional<Cadence> cadenceInLargeFleet(InstanceId const &id, Peer const &peer, Instant now) const;
    [[nodiscard]] std::optional<Cadence> cadenceOfFar(InstanceId const &id, Peer const &peer, Instant now) const;
    void refreshReceivers(Instant now);
    [[nodiscard]] ReportExtent extentFor(Peer &peer, Cadence const &cadence, Instant now) const;
    [[nodiscard]] static bool isDue(Peer const &peer, Cadence const &cadence, std::uint64_t change, Instant now);

    ReportScheduleOptions options_;
    std::map<InstanceId, Peer> peers_;
    /// Peers that get reports. Load changes hundreds of times a second, and most peers of a large fleet get none.
    std::vector<Receiver> receivers_;
    /// Until then `receivers_` holds unless something changes; unset after a change.
    std::optional<Instant> receiversValidUntil_;
    /// Largest number of instances that a peer knows.
    std::size_t knownByPeers_ = 0;
    std::vector<InstanceId> relays_;
    SummarySources summarySources_ = SummarySources::AllRelays;
    std::set<InstanceId> linkedRunners_;
    std::optional<Instant> lastSummaryAt_;
    std::uint64_t lastSummaryChange_ = 0;
    std::optional<Instant> lastFarSummaryAt_;
};

} // namespace Anvilyard::Serving
