#pragma once

#include "LibControl/ControlThread.h"
#include "LibObserve/Metrics.h"
#include "LibObserve/Tracing.h"
#include "LibPeer/OnlineReports.h"
#include "LibPeer/UsageReports.h"
#include "LibPlatform/ObjectStore.h"
#include "Services/Entry/CacheEventFollower.h"
#include "Services/Entry/EntrySettings.h"
#include "Services/Entry/HealthMonitor.h"
#include "Services/Entry/LimitTable.h"
#include "Services/Entry/OnlineLoadReporter.h"
#include "Services/Entry/ShareExchange.h"
#include "Services/Entry/TrafficThread.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Entry {

struct EntryServiceOptions {
    EntrySettings settings;
    Observe::MetricsRegistry &metrics;
    Observe::Tracer &tracer;
    /// Creates a traffic thread's client of the platform. If empty, requests that need the platform are refused as not run.
    std::function<std::shared_ptr<Platform::ObjectStore>(Http::EventLoop &)> makeStore;
    /// Creates the handlers of batch requests for a traffic thread. If empty, batch requests are refused as not run.
    std::function<JobsHandlers(Http::EventLoop &, std::shared_ptr<Platform::ObjectStore> const &)> makeJobsHandlers;
    /// Send reports to other instances. If empty, no reports are sent.
    std::function<void(Address const &, Peer::UsageReport, std::function<void(std::vector<Peer::GrantedShare>)>)> sendUsage;
    std::function<void(Address const &, Peer::OnlineReport)> sendOnline;
};

/// The entry service: control state on a thread of its own, and traffic threads that serve the callers.
class EntryService
{
public:
    static Result<std::unique_ptr<EntryService>> create(EntryServiceOptions options);
    ~EntryService();
    EntryService(EntryService const &) = delete;
    EntryService &operator=(EntryService const &) = delete;

    /// Puts a view of the fleet in force unless its rules are older than the current ones. Thread-safe; returns at once.
    void onFleetView(std::shared_ptr<Fleet::FleetView const> view);
    /// Processes another entry's usage report and returns its shares. Called on gRPC threads.
    std::vector<Peer::GrantedShare> onUsageReport(Peer::UsageReport report);

    [[nodiscard]] Address address() const;
    [[nodiscard]] std::size_t openExchanges() const;
    [[nodiscard]] std::shared_ptr<EntryView const> view() const;
    /// Returns the JSON text for /status.
    [[nodiscard]] std::string status() const;

    /// Continues to serve requests until `leavingNotice` has passed and no request is running, but no longer than the drain timeout.
    void drain();

private:
    explicit EntryService(EntryServiceOptions options);

    Result<std::monostate> startThreads();
    TrafficHooks makeHooks();
    TrafficComponents makeComponents(ThreadContext &context);
    /// Called on the control thread.
    void publish(std::shared_ptr<Fleet::FleetView const> fleet);
    void probe(ServerId const &server, Address const &address);
    /// Called on the first traffic thread.
    void startServerFeeds(ThreadContext &context);
    void onCacheEvent(Fleet::BackendServer const &server, CacheEvent const &event);
    /// Applies the update to the pool's chooser on each traffic thread.
    void updateChoosers(PoolName const &pool, std::function<void(Routing::ServerChooser &)> const &update);
    [[nodiscard]] bool waitUntilIdle(Instant deadline) const;

    EntryServiceOptions options_;
    std::uint64_t processIncarnation_;
    EntryMetrics metrics_;
    SnapshotCell<EntryView> view_;
    LimitTable limits_;
    std::vector<std::unique_ptr<TrafficThread>> threads_;
    std::unique_ptr<Control::ControlThread> control_;
    /// Used on the control thread only.
    HealthMonitor health_;
    ShareExchange shareExchange_;
    OnlineLoadReporter onlineReporter_;
};

} // namespace Anvilyard::Entry
