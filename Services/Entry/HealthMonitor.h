#pragma once

#include "LibControl/ControlThread.h"
#include "LibFleet/FleetView.h"
#include "LibRouting/ServerHealth.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Anvilyard::Entry {

struct HealthMonitorOptions {
    Control::ControlThread &control;
    /// Sends a health probe to a server on a new connection. The outcome is passed to onProbe() on the control thread.
    std::function<void(ServerId const &, Address const &)> probe;
    /// Called on the control thread when the set of ejected servers has changed.
    std::function<void()> onChange;
};

/// Performs the actions that Routing::ServerHealth decides on. Used on the control thread only.
class HealthMonitor
{
public:
    explicit HealthMonitor(HealthMonitorOptions options);

    void setServers(std::vector<Fleet::BackendServer> const &servers);
    void onEvidence(ServerId const &server, Routing::ServerEvidence evidence);
    void onProbe(ServerId const &server, Routing::ProbeOutcome outcome);
    [[nodiscard]] std::set<ServerId> ejected() const;

private:
    void performAction(std::vector<Routing::HealthAction> const &actions);
    void performAction(Routing::ServerEjected const &action);
    void performAction(Routing::ServerRestored const &action);
    void performAction(Routing::ProbeServer const &action);
    void scheduleTick();

    HealthMonitorOptions options_;
    Routing::ServerHealth health_;
    std::map<ServerId, Address> addresses_;
    std::optional<Instant> tickAt_;
    std::shared_ptr<HealthMonitor *> self_;
};

} // namespace Anvilyard::Entry
