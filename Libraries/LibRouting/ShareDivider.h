#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Routing {

struct ShareDividerOptions {
    /// Time for which an instance may use a share, from its receipt.
    Duration shareLifetime = 3s;
    /// Maximum time from sending a share to its receipt; the receiver drops later ones.
    Duration maxDeliveryTime = 500ms;
    /// Share of the limit reserved for all instances without a granted share.
    double reserve = 0.05;
    /// Time constant of the demand average.
    Duration demandWindow = 2s;
    /// An instance that reported no demand for this long is removed.
    Duration idleLifetime = 60s;
};

/// Cumulative counters of one instance since its process started.
struct UsageCounters {
    double used = 0;
    double refused = 0;
    /// Serial number of the share that the instance uses.
    std::uint64_t shareSerial = 0;
};

/// Divides one limit (one customer, one service, one unit) among the instances that report demand for it. The sum of all
/// shares that may still be in use never exceeds the limit less the reserve, even if reports or replies are lost, duplicated,
/// late or reordered. A share counts as in use until it has certainly expired, or until a report states that a later one has
/// replaced it. An instance must therefore never return to a share granted earlier. Performs no I/O.
class ShareDivider
{
public:
    /// A new divider may replace one on another instance whose shares are still in use. It grants nothing before
    /// `grantsFrom`, when they have expired.
    ShareDivider(ShareDividerOptions options, double limitPerSecond, Instant grantsFrom);

    void setLimit(double limitPerSecond);

    /// Processes a report and returns the instance's new share per second, or `std::nullopt` while the divider may not grant
    /// yet. `serial` identifies the new share and must increase with each report.
    std::optional<double>
    onReport(InstanceId const &from, std::uint64_t incarnation, UsageCounters const &counters, std::uint64_t serial, Instant now);

    /// Returns the maximum that all instances together may use of granted shares now.
    [[nodiscard]] double maxGranted(Instant now) const;
    [[nodiscard]] bool isIdle(Instant now) const;

    /// Returns the rate that an instance without a granted share may use.
    static double reserveShare(ShareDividerOptions const &options, double limitPerSecond, std::size_t instances);

private:
    struct Grant {
        std::uint64_t serial = 0;
        double perSecond = 0;
        Instant until;
    };

    struct Reporter {
        std::uint64_t incarnation = 0;
        UsageCounters latestCounters;
        Instant reportedAt;
        Instant demandedAt;
        double demandPerSecond = 0;
        /// Shares that the instance may be using: the newest, and older ones whose replacement may have been lost.
        std::vector<Grant> grants;
    };

    void updateDemand(Reporter &reporter, std::uint64_t incarnation, UsageCounters const &counters, Instant now);
    void removeIdle(Instant now);
    static void removeReplaced(Reporter &reporter, std::uint64_t serialInUse);
    [[nodiscard]] double target(InstanceId const &instance) const;
    [[nodiscard]] static double inUse(Reporter const &reporter, Instant now);

    ShareDividerOptions options_;
    double limitPerSecond_;
    Instant grantsFrom_;
    std::map<InstanceId, Reporter> reporters_;
};

} // namespace Anvilyard::Routing
