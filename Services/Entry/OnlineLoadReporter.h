#pragma once

#include "LibControl/ControlThread.h"
#include "LibFleet/FleetView.h"
#include "LibPeer/OnlineReports.h"
#include "LibYield/OnlineReporter.h"

#include <functional>
#include <memory>
#include <optional>

namespace Anvilyard::Entry {

struct OnlineLoadReporterOptions {
    Control::ControlThread &control;
    InstanceId instance;
    std::uint64_t processIncarnation = 0;
    /// Returns the view in force; called on the control thread.
    std::function<std::shared_ptr<Fleet::FleetView const>()> fleet;
    std::function<void(Address const &batchPeer, Peer::OnlineReport)> send;
};

/// Reports the number of online requests from this process at each engine to the instance that owns the engine's batch slots. Used on
/// the control thread.
class OnlineLoadReporter
{
public:
    explicit OnlineLoadReporter(OnlineLoadReporterOptions options);

    void onStarted(ServerId const &server);
    void onFinished(ServerId const &server);

private:
    void sendDue();
    void scheduleTick();

    OnlineLoadReporterOptions options_;
    Yield::OnlineReporter reporter_;
    std::optional<Instant> tickAt_;
    std::shared_ptr<OnlineLoadReporter *> self_;
};

} // namespace Anvilyard::Entry
