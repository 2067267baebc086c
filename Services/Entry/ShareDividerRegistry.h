#pragma once

#include "LibFleet/FleetView.h"
#include "LibPeer/UsageReports.h"
#include "LibRouting/ShareDivider.h"
#include "Services/Entry/LimitTable.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Anvilyard::Entry {

/// The share dividers of the customers that are assigned to this instance. Used on the control thread only.
class ShareDividerRegistry
{
public:
    ShareDividerRegistry(Routing::ShareDividerOptions options, std::uint32_t serialPrefix);

    /// Delays new grants after a change of the alive instances. Customers may have moved here from another instance whose shares are
    /// still valid.
    void onInstancesChanged(Instant now);
    /// Processes the counts of another instance or of this one and returns the shares granted to it.
    std::vector<Peer::GrantedShare> onReport(Rules::RuleSet const &rules, Peer::UsageReport const &report, Instant now);

private:
    struct Dividers {
        std::optional<Routing::ShareDivider> requests;
        std::optional<Routing::ShareDivider> tokens;
    };

    /// Returns the share of one unit (requests or tokens): 0 if the unit has no limit, `std::nullopt` while nothing can be granted yet.
    std::optional<double> shareOf(std::optional<Routing::ShareDivider> &divider,
                                  std::optional<double> limit,
                                  Peer::UsageReport const &report,
                                  Routing::UsageCounters const &counters,
                                  Instant now);
    void removeIdle(Instant now);

    Routing::ShareDividerOptions options_;
    Instant grantsStartAt_;
    std::map<LimitKey, Dividers> dividers_;
    /// Starts with a random upper half, so that the serials of two registries do not overlap.
    std::uint64_t serial_;
};

} // namespace Anvilyard::Entry
