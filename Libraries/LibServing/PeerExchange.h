#pragma once

#include "LibServing/NewsSchedule.h"
#include "LibServing/PeerTable.h"
#include "LibServing/PromptQuarantine.h"
#include "LibServing/RelayHelpers.h"
#include "LibServing/ReportSchedule.h"
#include "LibServing/ServerLimitTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Serving {

/// What an instance registers about itself in the platform's store for the others.
struct InstanceRegistration {
    InstanceId id;
    Address address;
    /// Unset in registrations of the previous version.
    std::optional<InstanceRole> role;
    DataCentreId dataCentre;
};

struct PeerExchangeOptions {
    InstanceId self;
    InstanceRole role = InstanceRole::Entry;
    DataCentreId dataCentre;
    /// Time without a summary after which the other relays are asked for summaries. The first relay sends one at least every 250 ms.
    Duration summarySilence = 400ms;
    /// Time after a change of the summaries' sources before they may change again.
    Duration summarySourcesHold = 3s;
    /// Within this time of its start, an instance of a large fleet has received reports of its relays.
    Duration relayReportTimeout = 1s;
    /// Within this time of its start, an instance has received reports of the runners that are registered, and of those that start with it.
    Duration runnerReportTimeout = 400ms;
    /// Time without a relay that reaches the store after which an instance watches it itself. Within this time it learns whether any runner
    /// reaches the store.
    Duration relayLossDelay = 1500ms;
    /// Time for which relays must have reached the store before an instance stops watching it. Each change of the source costs lists.
    Duration relayedWatchDelay = 5s;
};

/// State of this instance that its reports contain.
struct OwnState {
    std::int64_t startedAt = 0;
    InstanceStage stage = InstanceStage::Serving;
    StoreReachability store = StoreReachability::Reached;
    Address address;
    StateVersion stateVersion{0};
    StoreRevision serversRevision{0};
    std::uint64_t waitingTokens = 0;
    LoadByServer const &inFlight;
    /// Increases with each change of `inFlight` or `waitingTokens`.
    std::uint64_t changes = 0;
    PromptQuarantine const &prompts;
    ServerLimitTable const &limits;
};

/// Where an instance gets changes of the desired state and the servers from.
enum class ChangeSource {
    /// It watches the platform's store.
    Store,
    /// Its peers watch the store, and it requests changes from a peer that is ahead. Each watcher costs calls of the store.
    Peers,
};

/// How long the store may hold the calls by which an instance watches it.
enum class WatchHold {
    Default,
    /// Short, so that a call whose response was lost is noticed soon. The others learn of changes from this instance meanwhile.
    Short,
};

/// Composes the reports and load summaries of an instance and processes those of its peers. Designed for fleets of hundreds of instances
/// whose load changes thousands of times a second: see ReportSchedule. Performs no I/O.
class PeerExchange
{
public:
    struct OutgoingReport {
        std::vector<Address> receivers;
        PeerReport report;
    };

    struct OutgoingSummary {
        struct Receiver {
            Address address;
            /// The newest report of the receiver that the summary includes; unset for relays of other data centres.
            std::optional<ReportPosition> included;
        };

        std::vector<Receiver> receivers;
        LoadSummary summary;
    };

    struct OutgoingPromptEvidence {
        std::vector<Address> receivers;
        PromptEvidence evidence;
    };

    struct OutgoingServerLimits {
        std::vector<Address> receivers;
        std::vector<ServerLimit> limits;
    };

    struct Outgoing {
        std::vector<OutgoingReport> reports;
        std::vector<OutgoingSummary> summaries;
        std::optional<OutgoingPromptEvidence> promptEvidence;
        std::optional<OutgoingServerLimits> serverLimits;
    };

    enum class Acceptance {
        /// The message is older than the last one of its sender, or from this instance.
        Ignored,
        Accepted,
        /// The sender was not known to be alive.
        AcceptedFromNewPeer,
    };

    PeerExchange(PeerExchangeOptions options, PeerTable &peers, Instant now);

    void addInstance(InstanceRegistration const &registration);
    /// Called when the registrations of all other instances were added.
    void onInstancesListed();
    Acceptance onReport(PeerReport report, Instant now);
    Acceptance onSummary(LoadSummary summary, Instant now);
    /// Makes the next report to every peer due at once.
    void scheduleAllNow();
    /// Returns the messages that are due. Call about 20 times a second and after each change of load.
    [[nodiscard]] Outgoing takeDue(OwnState const &own, Instant now);
    /// Whether this instance watches the platform's store itself. In a large fleet the relays of a data centre do so for the others.
    [[nodiscard]] ChangeSource changeSource(Instant now);
    /// The first relay of a data centre holds its calls for a short time, and so does every instance of a fleet without relays: the store
    /// may lose the responses to all watches at once.
    [[nodiscard]] WatchHold watchHold() const;
    /// Whether the runners are known. An instance that has just started takes itself for the only one.
    [[nodiscard]] bool areRunnersKnown(Instant now) const;
    /// Average age of the known load.
    [[nodiscard]] Duration nearLoadAge() const;
    [[nodiscard]] Duration farLoadAge() const;
    /// Number of instances in the fleet, this one included.
    [[nodiscard]] std::size_t fleetSize() const;
    /// All other entries with their addresses, as they registered or reported them. Some may not run.
    [[nodiscard]] std::vector<RelayHelper> otherEntries() const;

private:
    void refreshTopology();
    void chooseSummarySources(Instant now);
    [[nodiscard]] PeerReport compose(ReportSchedule::ReportGroup const &group, OwnState const &own);
    void addSummaries(Outgoing &outgoing, OwnState const &own, Instant now);
    void addPromptEvidence(Outgoing &outgoing, PromptQuarantine const &prompts, Instant now);
    void addServerLimits(Outgoing &outgoing, ServerLimitTable const &limits, Instant now);
    [[nodiscard]] std::vector<Address> newsReceivers() const;
    [[nodiscard]] bool mustWatchStore(Instant now);

    PeerExchangeOptions options_;
    PeerTable &peers_;
    ReportSchedule schedule_;
    /// Addresses from registrations, updated from the reports received.
    std::map<InstanceId, Address> addresses_;
    std::map<InstanceId, InstanceRole> roles_;
    std::uint64_t lastReportNumber_ = 0;
    std::uint64_t lastSummaryNumber_ = 0;
    std::uint64_t receivedReports_ = 0;
    NewsSchedule promptNews_;
    NewsSchedule limitNews_;
    std::uint64_t seenTopology_ = 0;
    std::optional<Instant> lastSummarySilenceAt_;
    bool hasListed_ = false;
    Instant relaysExpectedUntil_;
    Instant runnersExpectedUntil_;
    /// Since when no relay has reached the store.
    std::optional<Instant> unrelayedSince_;
    /// Since when relays have watched the store for this instance.
    std::optional<Instant> relayedSince_;
    ChangeSource changeSource_ = ChangeSource::Peers;
};

} // namespace Anvilyard::Serving
