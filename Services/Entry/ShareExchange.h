#pragma once

#include "LibControl/ControlThread.h"
#include "LibFleet/FleetView.h"
#include "LibPeer/UsageReports.h"
#include "Services/Entry/LimitTable.h"
#include "Services/Entry/ShareDividerRegistry.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Anvilyard::Entry {

struct ShareExchangeOptions {
    Control::ControlThread &control;
    LimitTable &table;
    InstanceId instance;
    std::uint64_t processIncarnation = 0;
    Routing::ShareDividerOptions shares;
    Duration interval = 1s;
    /// Minimum time between two reports of keys that need a share.
    Duration urgentReportInterval = 200ms;
    /// Returns the view in force; called on the control thread.
    std::function<std::shared_ptr<Fleet::FleetView const>()> fleet;
    /// Sends a report to another entry. May be empty, as in tests of a single instance.
    std::function<void(Address const &, Peer::UsageReport, std::function<void(std::vector<Peer::GrantedShare>)>)> send;
};

/// Reports usage in each interval to the instances that divide the limits, and divides the limits of the customers assigned to this
/// instance. Runs on the control thread.
class ShareExchange
{
public:
    explicit ShareExchange(ShareExchangeOptions options);

    /// Processes another entry's report and returns its shares. Waits for the control thread for at most the maximum delivery time of
    /// shares, and returns no shares after that. Called on gRPC threads.
    std::vector<Peer::GrantedShare> onReport(Peer::UsageReport report);

private:
    void scheduleTick();
    void tick();
    void onShareNeeded();
    void reportUsage(UsageSelection which);
    void updateInstances(std::vector<Fleet::Instance> const &alive, Instant now);
    [[nodiscard]] std::vector<Fleet::Instance> aliveInstances();
    void report(Fleet::Instance const &divider, std::vector<Peer::UsageCount> counts);

    ShareExchangeOptions options_;
    ShareDividerRegistry dividers_;
    std::set<InstanceId> alive_;
    Instant nextUrgentReportAt_;
    bool isUrgentReportScheduled_ = false;
    std::shared_ptr<ShareExchange *> self_;
};

} // namespace Anvilyard::Entry
