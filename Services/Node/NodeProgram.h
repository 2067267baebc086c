#pragma once

#include "LibPlatform/MeteredStore.h"
#include "LibService/Program.h"
#include "Services/Node/CallerAuthentication.h"
#include "Services/Node/ConnectionLimits.h"
#include "Services/Node/CustomerLimits.h"
#include "Services/Node/HealthProber.h"
#include "Services/Node/JobApiHandler.h"
#include "Services/Node/JobRunner.h"
#include "Services/Node/PeerRelay.h"
#include "Services/Node/QuarantineRegister.h"
#include "Services/Node/RetirementHandler.h"
#include "Services/Node/Signals.h"
#include "Services/Node/StreamOriginClient.h"

#include <list>
#include <memory>

namespace Anvilyard::Node {

struct NodeProgramOptions {
    Http::EventLoop &loop;
    NodeSettings settings;
    ServingProtocol const &protocol;
    Platform::ObjectStore &store;
    Platform::StatusStore &statuses;
    /// Time for which a request may wait for the first lists of the store after a start. The store answers them within 4 ms each, and a
    /// refusal after a longer wait would leave the caller less time for a retry.
    Duration maxRequestHold = 60ms;
    Jobs::OwnerCheckOptions ownerCheck = {};
    /// Called about 20 times a second.
    std::function<void()> onTick = {};
    /// Returns the number of dropped log lines for the metrics. Unset if the program writes no log.
    std::function<std::uint64_t()> droppedLogLines = {};
    /// Called when a stop is complete. The node may be destroyed after the call has returned.
    std::function<void()> onStopped = {};
};

/// One instance: an entry, which serves callers, or a runner, which runs batch jobs. All of it runs on one event loop because an
/// instance's share of a core is less than one thread can use.
class NodeProgram
{
public:
    explicit NodeProgram(NodeProgramOptions options);
    NodeProgram(NodeProgram const &) = delete;
    NodeProgram &operator=(NodeProgram const &) = delete;

    /// Opens the listening sockets and starts following the store and reporting to peers.
    Result<std::monostate> start();
    /// Applies the settings that can be changed while the node runs.
    void applySettings(NodeSettings const &reloaded);
    /// Starts a graceful stop. `onStopped` is called once no work is in flight, or when the stop timeout is about to pass.
    void stop();
    [[nodiscard]] bool isReady() const;

    [[nodiscard]] Address callerAddress() const;
    [[nodiscard]] Address peerAddress() const;
    [[nodiscard]] Address metricsAddress() const;
    /// Hash over the runners that this instance considers alive, as in its reports to peers.
    [[nodiscard]] std::uint64_t runnersHash() const;

private:
    void handleCaller(Http::HttpRequest request, Writer writer);
    /// Time until this instance exits; `std::nullopt` if it is not stopping.
    [[nodiscard]] std::optional<Duration> timeToExit(Instant now) const;
    /// Keeps a request that arrived before the first lists of the store until these arrive or a short time has passed.
    void holdUntilReady(Http::HttpRequest request, Writer writer, Instant now);
    void releaseHeldRequests();
    void refuse(Http::HttpRequest const &request, Writer const &writer, Http::Refusal const &refusal);
    void handleReadiness(Http::HttpRequest const &request, Writer const &writer);
    void handlePeer(Http::HttpRequest request, Writer const &writer);
    /// Handles a request that another instance passed on, as servers are out of its reach.
    void handleRelayed(Http::HttpRequest request, RelayTerms terms, Writer const &writer);
    /// Why such a request cannot be taken; `std::nullopt` if it can.
    [[nodiscard]] std::optional<std::string> relayObstacle(RelayTerms const &terms) const;
    /// Whether requests can be sent with all that has to be known for it.
    [[nodiscard]] bool canSend(Instant now) const;
    void handleJobCall(Result<JobCall> const &call, Http::HttpRequest request, Writer writer);
    /// Counts the outcome.
    CallerAuthentication counted(CallerAuthentication authentication);
    CallerAuthentication authenticate(Serving::Route const &route, Http::HttpRequest const &request);
    /// `customer` is as in AttemptParameters.
    void startOnlineCall(Serving::Route route,
                         std::optional<CustomerId> const &customer,
                         Http::HttpRequest request,
                         Writer writer,
                         std::optional<RelayTerms> relay);
    void refreshGauges();
    void handleMetrics(Http::HttpRequest const &request, Writer const &writer);
    Result<std::monostate> listenAsEntry();
    /// Logs the first refusal or close for want of memory or connections, and further ones at most once a second.
    void reportShortage(std::string const &reason);
    void scheduleTick();
    void onTick(Instant now);
    /// Schedules a report to peers and, on a runner, a dispatch of items.
    void onLoadChanged();
    void advanceStop(Instant now);
    void onStateChanged();
    void onCallerConnectionClosed(Http::ConnectionClose close);

    std::function<void()> onTickHook_;
    std::function<std::uint64_t()> droppedLogLines_;
    std::function<void()> onStopped_;
    Observe::MetricsRegistry registry_;
    NodeMetrics metrics_;
    Platform::MeteredStore store_;
    NodeContext context_;
    PermitClient permits_;
    HealthProber health_;
    FleetFollower fleet_;
    PeerReportExchange peerReports_;
    CustomerLimits customerLimits_;
    VersionRegister versions_;
    QuarantineRegister quarantines_;
    StreamOriginClient origins_;
    JobApiHandler jobApi_;
    JobRunner runner_;
    RetirementHandler retirements_;
    ConnectionLimits connectionLimits_;
    std::shared_ptr<Http::ConnectionBudget> connectionBudget_;
    /// Shortages that are not logged yet, by reason, and when the next log line is due.
    std::map<std::string, std::size_t> unloggedShortages_;
    Instant nextShortageLog_ = Instant::min();
    std::unique_ptr<Http::HttpServer> callers_;
    std::unique_ptr<Http::HttpServer> readiness_;
    std::unique_ptr<Http::HttpServer> peers_;
    std::unique_ptr<Http::HttpServer> metricsServer_;
    std::unique_ptr<Http::Timer> ticker_;
    std::unique_ptr<Http::Timer> loadChangeTimer_;
    struct HeldRequest {
        Http::HttpRequest request;
        Writer writer;
        Instant until;
    };

    std::list<HeldRequest> heldRequests_;
    std::unique_ptr<Http::Timer> heldRequestsTimer_;
    Duration maxRequestHold_;
    /// Requests that arrive before this time are held; later the node lacks data because the store is away.
    Instant holdsUntil_;
    std::optional<Instant> lastTickByBootClock_;
    bool wasReady_ = false;
    std::optional<Instant> stoppingSince_;
    /// Settings as read from the file. The settings in use contain the ports that the system chose.
    NodeSettings loadedSettings_;
};

/// Runs a node until it has stopped after a stop signal.
Service::ExitCode runNode(NodeProgramOptions options, Service::CommonSettings const &common);

} // namespace Anvilyard::Node
