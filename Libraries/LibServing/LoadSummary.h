#pragma once

#include "LibCore/Result.h"
#include "LibServing/PeerReport.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// Identifies one report of an instance. Reports are ordered by the start of the sender and their number since then.
struct ReportPosition {
    /// Wall time of the sender's start in milliseconds.
    std::int64_t startedAt = 0;
    std::uint64_t number = 0;

    auto operator<=>(ReportPosition const &) const = default;
};

/// Load at servers that a relay sends to the instances of its data centre, and to the relays of other data centres. In a large fleet
/// it takes the place of reports between all instances.
struct LoadSummary {
    InstanceId relay;
    ReportPosition position;
    DataCentreId dataCentre;
    StateVersion stateVersion{0};
    StoreRevision serversRevision{0};
    /// Requests of all instances of the relay's data centre, the receiver's own included.
    LoadByServer near;
    /// Requests of the instances of all other data centres. Sent less often than `near`; unset if it is not part of this summary.
    std::optional<LoadByServer> far;
    /// The newest report of the receiver that `near` includes.
    std::optional<ReportPosition> included;
};

/// Encodes the part of a summary that is the same for all receivers.
std::string encodeLoadSummary(LoadSummary const &summary);
/// Completes an encoded summary for one receiver.
std::string addIncludedReport(std::string_view encoded, ReportPosition const &included);
/// Whether a datagram is a load summary rather than a report.
bool isLoadSummary(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not a complete summary.
Result<LoadSummary> decodeLoadSummary(std::string_view text);

} // namespace Anvilyard::Serving
