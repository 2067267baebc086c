#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibServing/DesiredState.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Serving {

/// Revision of the platform's store up to which an instance has received changes.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

enum class InstanceRole {
    /// Accepts requests of callers.
    Entry,
    /// Runs batch jobs.
    Runner,
};

enum class InstanceStage {
    Serving,
    /// Accepts no new work and hands over its duties.
    Leaving,
};

/// Requests of an instance at one server.
struct InFlight {
    std::uint32_t online = 0;
    std::uint32_t batch = 0;

    bool operator==(InFlight const &) const = default;
};

using LoadByServer = std::map<ServerId, InFlight>;

enum class StoreReachability {
    Reached,
    /// The platform's store stopped responding.
    Lost,
};

/// A runner whose reports the sender receives directly.
struct ObservedRunner {
    InstanceId id;
    StoreReachability store = StoreReachability::Reached;
    /// Address for calls between instances; empty if the sender does not state it.
    Address address = {};
    /// Tokens of the waiting and running items of the runner's jobs.
    std::uint64_t waitingTokens = 0;
    /// Start time in the reports of the runner; 0 if the sender does not state it.
    std::int64_t startedAt = 0;

    bool operator==(ObservedRunner const &) const = default;
};

/// Report that an instance sends to its peers several times a second. Counts are absolute values rather than differences, so lost,
/// duplicated and reordered reports are harmless.
struct PeerReport {
    InstanceId sender;
    /// Wall time of the sender's start in milliseconds. Together with `number`, it orders the reports of a sender.
    std::int64_t startedAt = 0;
    /// Number of the report since the sender's start.
    std::uint64_t number = 0;
    /// Time within which the receiver gets the next report.
    Duration nextWithin = 250ms;
    InstanceRole role = InstanceRole::Entry;
    InstanceStage stage = InstanceStage::Serving;
    StoreReachability store = StoreReachability::Reached;
    DataCentreId dataCentre;
    /// Address for calls between instances.
    Address address;
    StateVersion stateVersion{0};
    StoreRevision serversRevision{0};
    /// Hash over the runners that the sender considers alive.
    std::uint64_t runnersHash = 0;
    /// Serving runners whose reports the sender receives. A receiver that is cut off from one of them detects through this list that
    /// the runner is alive.
    std::vector<ObservedRunner> observedRunners;
    /// Whether the report states the observed runners. If not, those of the sender's last report that did hold for some seconds.
    bool statesObservedRunners = true;
    LoadByServer inFlight;
    /// Number of instances that the sender knows, itself included.
    std::size_t knownInstances = 0;
    /// Whether the sender expects load summaries from the receiver.
    bool wantsSummaries = false;
    /// Runners: tokens of the waiting and running items of their jobs.
    std::uint64_t waitingTokens = 0;
};

/// Encodes a report as the JSON payload of a datagram, of at most some kilobytes.
std::string encodePeerReport(PeerReport const &report);
/// Fails with `ServingError::BadPeerMessage` if the text is not a complete report.
Result<PeerReport> decodePeerReport(std::string_view text);

} // namespace Anvilyard::Serving
