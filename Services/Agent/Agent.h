#pragma once

#include "AgentSettings.h"
#include "AgentStatus.h"
#include "PlatformReader.h"

#include "LibControl/ControlThread.h"
#include "LibCore/SnapshotCell.h"
#include "LibFleet/FleetNode.h"
#include "LibHttp/EventLoop.h"
#include "LibObserve/Metrics.h"
#include "LibObserve/Tracing.h"
#include "LibPeer/AgentClient.h"
#include "LibPeer/AgentServer.h"
#include "LibPlatform/BudgetedObjectStore.h"
#include "LibPlatform/HttpInstanceList.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace Anvilyard::Agent {

/// Performs the actions that Fleet::FleetNode returns. The control thread owns the node; gRPC threads and the platform's event
/// loop only post events to that thread.
class Agent
{
public:
    static Result<std::unique_ptr<Agent>> create(AgentSettings settings, Observe::MetricsRegistry &metrics, Observe::Tracer &tracer);
    ~Agent();
    Agent(Agent const &) = delete;
    Agent &operator=(Agent const &) = delete;

    [[nodiscard]] Address address() const;
    /// Returns the JSON document of /status. Thread-safe.
    [[nodiscard]] std::string status() const;
    /// Announces to peers that this instance is leaving and waits up to one second for their replies.
    void leave();

private:
    Agent(AgentSettings settings, Observe::MetricsRegistry &metrics, Observe::Tracer &tracer);

    Result<std::monostate> listen();
    void startNode();
    Peer::AgentServerOptions serverOptions();
    PlatformReaderHooks readerHooks();
    void tick();
    /// Runs an event handler on the control thread and performs the actions that it returns.
    void post(std::function<Fleet::FleetActions(Fleet::FleetNode &, CurrentTime)> event);
    void performActions(Fleet::FleetActions actions);

    void perform(Fleet::SendExchange &action);
    void perform(Fleet::ProbeThrough &action);
    void perform(Fleet::ReadRules &action);
    void perform(Fleet::ReadList &action);
    void perform(Fleet::ViewChanged &action);
    void perform(Fleet::MemberChanged &action);
    void perform(Fleet::RulesOffered &action);

    void onExchangeReply(Address const &to, InstanceId const &peer, Instant sentAt, Result<Fleet::Exchange> const &reply);
    void updatePlatformReachability(PlatformReachability reachability, std::string const &detail);
    void publishStatus();

    AgentSettings settings_;
    Observe::Tracer &tracer_;
    Observe::Gauge &generationGauge_;
    Observe::Gauge &instancesGauge_;
    Observe::Counter &exchangesAnswered_;
    Observe::Counter &exchangesUnanswered_;
    SnapshotCell<std::string> status_;

    // Owned by the control thread.
    std::unique_ptr<Fleet::FleetNode> node_;
    PlatformReachability platformReachability_ = PlatformReachability::NotQueried;
    bool wasKeyRejected_ = false;
    Instant nextStatus_;

    std::mutex mutex_;
    std::condition_variable exchangeEnded_;
    std::size_t openExchanges_ = 0;

    Http::EventLoop platformLoop_;
    std::unique_ptr<Platform::ObjectStore> store_;
    std::unique_ptr<Platform::InstanceList> list_;
    std::unique_ptr<PlatformReader> reader_;
    std::thread platformThread_;
    std::unique_ptr<Control::ControlThread> control_;
    std::unique_ptr<Peer::AgentClient> client_;
    std::unique_ptr<Peer::AgentServer> server_;
};

} // namespace Anvilyard::Agent
