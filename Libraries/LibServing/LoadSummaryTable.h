#pragma once

#include "LibCore/Time.h"
#include "LibServing/LoadSummary.h"

#include <deque>
#include <map>

namespace Anvilyard::Serving {

struct LoadSummaryTableOptions {
    DataCentreId dataCentre;
    /// Age after which a summary counts no longer. Relays send one at least every 250 ms.
    Duration summaryTimeout = 1s;
    /// Number of own reports whose load is kept. A relay includes a report within a few summaries, and reports are at least 20 ms apart.
    std::size_t maxOwnReports = 64;
};

/// Load at servers according to the summaries of relays. Designed for fleets in which the load changes thousands of times a second and
/// reports between all instances would grow with the square of the fleet. Performs no I/O.
class LoadSummaryTable
{
public:
    explicit LoadSummaryTable(LoadSummaryTableOptions options);

    /// Records the load that the own report contained. It is subtracted from summaries that include the report.
    void onOwnReport(ReportPosition const &position, LoadByServer load);
    /// Returns whether the summary is newer than the last one of its relay.
    bool onSummary(LoadSummary summary, Instant now);
    /// Drops summaries that timed out.
    void onTick(Instant now);

    /// When the last summary of the own data centre arrived; `std::nullopt` if none counts.
    [[nodiscard]] std::optional<Instant> lastNearAt() const;
    /// Whether a summary of the own data centre counts.
    [[nodiscard]] bool hasNear() const;
    /// Requests of the other instances of the own data centre, without the own ones.
    [[nodiscard]] InFlight nearAt(ServerId const &server) const;
    /// Whether the load of other data centres is known.
    [[nodiscard]] bool hasFar() const;
    /// Requests of the instances of all other data centres.
    [[nodiscard]] InFlight farAt(ServerId const &server) const;
    /// Like farAt() for all servers, from the summaries of other data centres' relays. Only relays receive these.
    [[nodiscard]] LoadByServer const &farFromRelays() const;

private:
    struct Received {
        ReportPosition position;
        Instant at;
    };

    struct FarSummary {
        LoadByServer load;
        Instant at;
    };

    void onNear(LoadSummary summary, Instant now);
    void onFar(LoadSummary summary, Instant now);
    void sumFar();

    LoadSummaryTableOptions options_;
    std::map<InstanceId, Received> lastOfRelay_;
    std::deque<std::pair<ReportPosition, LoadByServer>> ownReports_;
    /// Load of the own data centre without the own requests.
    LoadByServer near_;
    std::optional<Instant> nearAt_;
    /// Load of other data centres as received from a relay of the own one.
    LoadByServer relayedFar_;
    std::optional<Instant> relayedFarAt_;
    std::map<DataCentreId, FarSummary> farByDataCentre_;
    LoadByServer farFromRelays_;
};

} // namespace Anvilyard::Serving
