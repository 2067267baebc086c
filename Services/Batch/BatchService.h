#pragma once

#include "LibBatch/Housekeeper.h"
#include "LibBatch/ItemSender.h"
#include "LibBatch/RunnerTransport.h"
#include "LibBatch/SlotPlan.h"
#include "LibControl/ControlThread.h"
#include "LibCore/SnapshotCell.h"
#include "LibPeer/AgentFollower.h"
#include "LibPeer/OnlineReports.h"
#include "LibPlatform/BudgetedObjectStore.h"
#include "LibYield/BatchGate.h"
#include "Services/Batch/BatchSettings.h"
#include "Services/Batch/EngineLoadPoller.h"

#include <memory>
#include <string>
#include <thread>

namespace Anvilyard::Batch {

struct BatchServiceOptions {
    BatchSettings settings;
    Observe::MetricsRegistry &metrics;
    Observe::Tracer &tracer;
};

/// The batch process. A control thread derives slots from the agent's view of the fleet, and one traffic thread runs chunks.
class BatchService
{
public:
    static Result<std::unique_ptr<BatchService>> create(BatchServiceOptions options);
    ~BatchService();
    BatchService(BatchService const &) = delete;
    BatchService &operator=(BatchService const &) = delete;

    /// Returns the address to which entry processes send their reports.
    [[nodiscard]] Address peerAddress() const;
    /// Returns the JSON for /status. May be called from any thread.
    [[nodiscard]] std::string status() const;
    /// Starts no further items and waits until all chunks have been released or the drain timeout has expired.
    void drain();

private:
    explicit BatchService(BatchServiceOptions options);

    void startTraffic();
    Result<std::monostate> startControl();
    void onView(std::shared_ptr<Fleet::FleetView const> view);
    void removeDepartedInstances(Fleet::FleetView const &before);
    /// Updates the gate with the servers that currently belong to this instance.
    void planServers();
    void planPeriodically();
    void cleanPeriodically();
    void onOnlineReport(Peer::OnlineReport const &report);
    /// Publishes the slots if the gate changed any, and schedules the gate's next tick.
    void applyGateChanges(std::vector<Yield::SlotsChanged> const &changes);
    void publishSlots();
    void scheduleGateTick();

    static constexpr Duration PlanInterval = 5s;
    static constexpr Duration CleanInterval = 60s;
    static constexpr Duration ReleaseTimeout = 10s;

    BatchServiceOptions options_;
    /// Accessed only by tasks of the control thread.
    std::shared_ptr<Fleet::FleetView const> view_ = std::make_shared<Fleet::FleetView const>();
    std::vector<OwnedServer> owned_;
    Yield::BatchGate gate_{Yield::GateOptions{}};
    std::optional<Instant> nextGateTickAt_;
    SnapshotCell<RouteTable> routes_{std::make_shared<RouteTable const>()};
    /// Read for /status and for the platform's call budget.
    SnapshotCell<Fleet::FleetView> statusView_{std::make_shared<Fleet::FleetView const>()};
    RandomSource random_ = seedFromSystem();
    Http::EventLoop loop_;
    std::unique_ptr<Platform::ObjectStore> store_;
    std::unique_ptr<ItemSender> sender_;
    std::unique_ptr<EngineLoadPoller> poller_;
    std::shared_ptr<RunnerTransport> transport_;
    std::shared_ptr<Housekeeper> housekeeper_;
    std::thread thread_;
    std::unique_ptr<Control::ControlThread> control_;
    std::unique_ptr<Peer::OnlineReportServer> reports_;
    std::unique_ptr<Peer::AgentFollower> follower_;
};

} // namespace Anvilyard::Batch
