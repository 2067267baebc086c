#include "Services/Node/NodeProgram.h"

#include "LibObserve/Events.h"
#include "LibObserve/JsonLog.h"
#include "Services/Node/NodeRefusals.h"
#include "Services/Node/OnlineCall.h"
#include "Services/Node/PeerJobCalls.h"

#include <algorithm>
#include <iostream>

namespace Anvilyard::Node {

using Serving::InstanceRole;
using Serving::RouteKind;

namespace {

constexpr Duration TickInterval = 50ms;
/// Gap between two ticks that is handled as a pause of the process. Peers consider a node dead after 1.5 s without reports.
constexpr Duration MinReportedPause = 700ms;
/// Changes of load are collected for this long before they are reported. A caller would notice a delay ten times as long.
constexpr Duration LoadChangeDelay = 8ms;
/// Shorter than the shortest idle timeout of the servers, a few seconds, so that this side closes idle connections first.
constexpr Duration ServerIdleTimeout = 3s;
constexpr Duration PeerIdleTimeout = 10s;
/// A connection is considered dead if sent bytes stay unacknowledged for this long.
constexpr Duration UnacknowledgedTimeout = 1s;
/// Interval of the keep-alive probes that detect dead connections.
constexpr std::chrono::seconds KeepAliveInterval = 1s;
/// Within this time the balancer detects that a stopping entry is not ready: it probes every second and acts on the second result.
/// Requests take up to five seconds, so one accepted before then ends within the eight seconds of a stop.
constexpr Duration BalancerNoticeDelay = 2700ms;
/// Requests of other instances that an entry handles at the same time, besides those of its own callers.
constexpr std::size_t MaxRelayedCalls = 64;
/// Part of the stop timeout that is reserved for the exit of the process.
constexpr Duration ExitReserve = 500ms;
/// A stopping entry refuses requests that come later than this before its exit. Calls about jobs take some calls of the store.
constexpr Duration MinTimeBeforeExit = 1s;
/// Share of a request's time limit that has to be left before the exit. Few requests take longer.
constexpr double MinShareOfTimeBeforeExit = 0.5;

/// Time after its start in which a node may hold requests.
constexpr Duration HoldPeriod = 1s;
constexpr Duration HoldCheckInterval = 5ms;

Routing::ServerHealthOptions healthOptions()
{
    return {
        // Two consecutive broken connections, or one failed connection attempt, which counts twice.
        .ejectAtPoints = 8,
        .evidenceLifetime = 5s,
        .maxEjectedShare = 0.67,
        .firstProbeDelay = 400ms,
        .maxProbeDelay = 1600ms,
    };
}

/// If one server of ten stops responding, each entry can move all requests away from it until it is ejected. At a load peak, when
/// every server is slow to start requests, only one request in ten is moved and loses its place in the queue.
Routing::RetryBudgetOptions moveBudgetOptions()
{
    return {.perRequest = 0.1, .perSecond = 0.2, .maxSaved = 10};
}

NodeContext makeContext(NodeProgramOptions const &options, Platform::MeteredStore &store, Observe::MetricsRegistry &registry)
{
    auto random = seedFromSystem();
    auto const healthSeed = random();
    auto const &settings = options.settings;
    return {
        .settings = settings,
        .loop = options.loop,
        .protocol = options.protocol,
        .store = store,
        .statuses = store,
        .serverClient = Http::HttpClient::create(
            options.loop,
            {.idleTimeout = ServerIdleTimeout, .unacknowledgedTimeout = UnacknowledgedTimeout, .keepAliveInterval = KeepAliveInterval}),
        .peerClient = Http::HttpClient::create(
            options.loop,
            {.idleTimeout = PeerIdleTimeout, .unacknowledgedTimeout = UnacknowledgedTimeout, .keepAliveInterval = KeepAliveInterval}),
        .metrics = registry,
        .random = random,
        .peers = Serving::PeerTable({.self = settings.instance, .ownRole = settings.role, .dataCentre = settings.dataCentre}),
        .directory = Serving::ServerDirectory({}),
        .versions = Serving::VersionRecord(),
        .origins = Serving::StreamOrigins(),
        .placement = Serving::OnlinePlacement({.instance = settings.instance, .dataCentre = settings.dataCentre}),
        .health = Routing::ServerHealth(healthOptions(), RandomSource(healthSeed)),
        .moveBudget = Routing::RetryBudget(moveBudgetOptions(), readLocalClock()),
        .routes = nullptr,
        .onServerLeaving = {},
        .waitingCalls = {},
    };
}

Http::Refusal refusalOf(CallerAuthentication const &authentication)
{
    bool const isUnknown = authentication.outcome() == CallerAuthentication::Outcome::KeyUnknown;
    return isUnknown ? Refusals::keyUnknown() : Refusals::keyMissing();
}

Serving::Route withPriorityOf(Serving::Route route, Serving::Customer const *customer)
{
    route.priority = effectivePriority(route, customer);
    return route;
}

} // namespace

NodeProgram::NodeProgram(NodeProgramOptions options)
    : onTickHook_(options.onTick)
    , droppedLogLines_(options.droppedLogLines)
    , onStopped_(options.onStopped)
    , metrics_(registry_)
    , store_(options.store, options.statuses, registry_)
    , context_(makeContext(options, store_, registry_))
    , permits_(context_, metrics_)
    , health_(context_, permits_, [this] { fleet_.onEjectionsChanged(); })
    , fleet_(context_, [this] { onStateChanged(); })
    , peerReports_(context_, fleet_, [this] { onLoadChanged(); })
    , customerLimits_(context_, [this](Address const &to, std::string const &content) { peerReports_.send(to, content); })
    , versions_(context_)
    , quarantines_(context_)
    , origins_(context_, versions_, [this](Address const &to, std::string const &content) { peerReports_.send(to, content); })
    , jobApi_(context_, metrics_)
    , runner_(context_, metrics_, health_, permits_, peerReports_, options.ownerCheck)
    , retirements_(context_,
                   {
                       .onRetire =
                           [this] {
                               runner_.beginHandover();
                               peerReports_.setStage(Serving::InstanceStage::Leaving);
                           },
                       .isEmpty = [this] { return runner_.isIdle(); },
                   })
    , connectionLimits_(connectionLimits(readDescriptorLimit(), {.stated = options.settings.memoryBytes, .ofSystem = readMachineMemory()}))
    , connectionBudget_(Http::ConnectionBudget::create(options.loop, connectionLimits_.memoryBytes))
    , maxRequestHold_(options.maxRequestHold)
    , loadedSettings_(options.settings)
{
}

Result<std::monostate> NodeProgram::start()
{
    holdsUntil_ = readLocalClock() + std::max(HoldPeriod, maxRequestHold_);
    Observe::log(Observe::Events::NodeStarted,
                 {{"instance", context_.settings.instance.value()},
                  {"role", context_.settings.role == InstanceRole::Entry ? "entry" : "runner"},
                  {"dc", context_.settings.dataCentre.value()},
                  {"connection_bytes_limit", std::to_string(connectionLimits_.memoryBytes)}});
    auto const listen = [this](Address const &address, std::size_t connections, Http::RequestHandler handler) {
        return Http::HttpServer::create(
            context_.loop, {.listen = address, .connectionLimit = connections, .budget = connectionBudget_}, std::move(handler));
    };
    auto peers = listen(context_.settings.peers, connectionLimits_.peers, [this](Http::HttpRequest request, Writer const &writer) {
        handlePeer(std::move(request), writer);
    });
    if (!peers)
        return tl::unexpected(peers.error());
    peers_ = std::move(*peers);
    // With port 0 the system chooses a port, which peers need.
    context_.settings.peers = peers_->address();
    auto metrics = listen(context_.settings.metrics,
                          connectionLimits_.others,
                          [this](Http::HttpRequest const &request, Writer const &writer) { handleMetrics(request, writer); });
    if (!metrics)
        return tl::unexpected(metrics.error());
    metricsServer_ = std::move(*metrics);
    if (context_.settings.role == InstanceRole::Entry) {
        if (auto listening = listenAsEntry(); !listening)
            return listening;
    }
    if (auto exchangeStarted = peerReports_.start(); !exchangeStarted)
        return exchangeStarted;
    context_.load.onChange([this] { onLoadChanged(); });
    context_.reserveTrial = [this](Serving::RequestSuspects suspects, std::function<void(std::optional<WallInstant>)> onDecided) {
        quarantines_.reserveTrial(std::move(suspects), std::move(onDecided));
    };
    context_.onServerLeaving = [this](Serving::ServerRecord const &server) { fleet_.onServerLeaving(server); };
    peerReports_.setStage(Serving::InstanceStage::Serving);
    fleet_.start();
    versions_.start();
    quarantines_.start();
    if (context_.settings.role == InstanceRole::Runner) {
        runner_.start();
        retirements_.start();
    }
    scheduleTick();
    return std::monostate{};
}

Result<std::monostate> NodeProgram::listenAsEntry()
{
    auto readiness =
        Http::HttpServer::create(context_.loop,
                                 {.listen = context_.settings.readiness, .connectionLimit = connectionLimits_.others},
                                 [this](Http::HttpRequest const &request, Writer const &writer) { handleReadiness(request, writer); });
    if (!readiness)
        return tl::unexpected(readiness.error());
    readiness_ = std::move(*readiness);
    auto callers =
        Http::HttpServer::create(context_.loop,
                                 {.listen = context_.settings.callers,
                                  .connectionLimit = connectionLimits_.callers,
                                  .budget = connectionBudget_,
                                  .onClosed = [this](Http::ConnectionClose close) { onCallerConnectionClosed(close); },
                                  .onRefused =
                                      [this](std::string const &code) {
                                          metrics_.onRefused(code);
                                          if (code == "memory_short")
                                              reportShortage(code);
                                      }},
                                 [this](Http::HttpRequest request, Writer writer) { handleCaller(std::move(request), std::move(writer)); });
    if (!callers)
        return tl::unexpected(callers.error());
    callers_ = std::move(*callers);
    return std::monostate{};
}

void NodeProgram::onCallerConnectionClosed(Http::ConnectionClose close)
{
    metrics_.onConnectionClosed(close);
    if (close.reason == Http::CloseReason::MemoryShort || close.reason == Http::CloseReason::ConnectionsFull)
        return reportShortage(Http::nameOf(close.reason));
    if (close.state == Http::ConnectionState::Idle || close.state == Http::ConnectionState::Draining)
        return;
    Observe::log(Observe::Events::NodeConnectionCut, {{"state", Http::nameOf(close.state)}, {"reason", Http::nameOf(close.reason)}});
}

Address NodeProgram::callerAddress() const
{
    return callers_ ? callers_->address() : Address();
}

Address NodeProgram::peerAddress() const
{
    return context_.settings.peers;
}

Address NodeProgram::metricsAddress() const
{
    return metricsServer_ ? metricsServer_->address() : Address();
}

void NodeProgram::reportShortage(std::string const &reason)
{
    constexpr Duration LogInterval = 1s;
    ++unloggedShortages_[reason];
    auto const now = readLocalClock();
    if (now < nextShortageLog_)
        return;
    nextShortageLog_ = now + LogInterval;
    auto const counts = std::exchange(unloggedShortages_, {});
    auto const countOf = [&](std::string const &key) {
        auto const found = counts.find(key);
        return std::to_string(found == counts.end() ? 0 : found->second);
    };
    Observe::log(Observe::Events::NodeConnectionsShort,
                 {{"refused", countOf("memory_short")},
                  {"closed", countOf(Http::nameOf(Http::CloseReason::MemoryShort))},
                  {"replaced", countOf(Http::nameOf(Http::CloseReason::ConnectionsFull))},
                  {"held_bytes", std::to_string(connectionBudget_->memory().heldBytes())}});
}

std::uint64_t NodeProgram::runnersHash() const
{
    return context_.peers.runnersHash();
}

bool NodeProgram::isReady() const
{
    return fleet_.isComplete() && !stoppingSince_;
}

void NodeProgram::onStateChanged()
{
    if (callers_)
        callers_->setLimits(context_.routes->state().limits);
    customerLimits_.onStateChanged(readLocalClock());
}

void NodeProgram::handleReadiness(Http::HttpRequest const &request, Writer const &writer)
{
    if (!context_.protocol.isReadinessProbe(request))
        return writer->respond({.status = 404});
    writer->respond({.status = isReady() ? 200 : 503});
}

std::optional<std::string> NodeProgram::relayObstacle(RelayTerms const &terms) const
{
    if (stoppingSince_)
        return "stopping";
    if (!fleet_.isComplete() || !quarantines_.isReady(readLocalClock()))
        return "not-ready";
    if (context_.routes->state().version < terms.stateVersion)
        return "older-state";
    if (context_.reach.isOutOfReach(terms.pool))
        return "out-of-reach";
    return context_.relayedCalls >= MaxRelayedCalls ? std::optional<std::string>("busy") : std::nullopt;
}

void NodeProgram::handleRelayed(Http::HttpRequest request, RelayTerms terms, Writer const &writer)
{
    if (auto reason = relayObstacle(terms))
        return writer->respond(relayRefusal(std::move(*reason)));
    auto const *route = context_.routes->find(request.headers.find("Host").value_or(""), request.path());
    if (!route)
        return writer->respond(Refusals::write(Refusals::noRoute(), context_.protocol));
    auto const isPool = [&](Serving::WeightedPool const &pool) { return pool.pool == terms.pool; };
    if (bool const isRouted = std::ranges::any_of(route->pools, isPool); !isRouted && terms.version)
        return writer->respond(Refusals::write(Refusals::versionGone(), context_.protocol));
    else if (!isRouted)
        terms.pool = PoolName();
    if (terms.isAuthenticated) {
        auto const id = context_.protocol.readCustomer(request).value_or(CustomerId());
        auto const *customers = context_.routes->customers();
        auto const *customer = customers ? customers->find(id.value()) : nullptr;
        return startOnlineCall(withPriorityOf(*route, customer), id, std::move(request), writer, std::move(terms));
    }
    // An earlier build passed the request on as its caller sent it, or the sender does not know yet that there are customers.
    auto const authentication = authenticate(*route, request);
    if (authentication.isRefused())
        return refuse(request, writer, refusalOf(authentication));
    startOnlineCall(
        withPriorityOf(*route, authentication.customer()), authentication.customerId(), std::move(request), writer, std::move(terms));
}

CallerAuthentication NodeProgram::authenticate(Serving::Route const &route, Http::HttpRequest const &request)
{
    return counted(CallerAuthentication::ofRequest(*context_.routes, route, context_.protocol.readKey(request)));
}

CallerAuthentication NodeProgram::counted(CallerAuthentication authentication)
{
    if (authentication.outcome() != CallerAuthentication::Outcome::NotRequired)
        metrics_.onAuthenticated(nameOf(authentication.outcome()));
    return authentication;
}

void NodeProgram::handlePeer(Http::HttpRequest request, Writer const &writer)
{
    if (auto terms = takeRelayTerms(request))
        return handleRelayed(std::move(request), std::move(*terms), writer);
    if (request.path() == "/fleet") {
        Serving::StateVersion const version(readNumberParameter(request, "state"));
        return writer->respond(
            {.status = fleet_.isComplete() ? 200 : 503, .body = fleet_.changesSince(version, readNumberParameter(request, "since"))});
    }
    if (!permits_.handle(request, writer) && !origins_.handle(request, writer) && !runner_.handle(request, writer))
        writer->respond({.status = 404});
}

void NodeProgram::handleMetrics(Http::HttpRequest const &request, Writer const &writer)
{
    if (request.path() != "/metrics")
        return writer->respond({.status = 404});
    refreshGauges();
    writer->respond({.status = 200, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = registry_.toPrometheusText()});
}

/// Updates the gauges when metrics are requested, since their values change far more often than that.
void NodeProgram::refreshGauges()
{
    auto const now = readLocalClock();
    customerLimits_.refreshMetrics(now);
    auto const set = [&](std::string const &name, std::string const &help, double value, Observe::Labels const &labels = {}) {
        registry_.gauge(name, help, labels).set(value);
    };
    auto const setServers = [&](std::string const &belief, std::size_t count) {
        set("anvilyard_node_servers",
            "Backend servers by what this node believes of them",
            static_cast<double>(count),
            {{"belief", belief}});
    };
    std::size_t lastResort = 0;
    auto const servers = context_.directory.usable(now);
    for (auto const &server : servers)
        lastResort += server.use == Serving::ServerUse::LastResort ? 1 : 0;
    setServers("usable", servers.size() - lastResort);
    setServers("last_resort", lastResort);
    setServers("ejected", context_.health.ejected().size());
    setServers("on_trial", context_.health.onTrial().size());
    set("anvilyard_node_connection_bytes",
        "Memory that the connections of callers and other instances hold",
        static_cast<double>(connectionBudget_->memory().heldBytes()));
    set("anvilyard_node_connection_bytes_limit",
        "Memory that these connections may hold before some are refused or closed",
        static_cast<double>(connectionLimits_.memoryBytes));
    set("anvilyard_node_pools_out_of_reach",
        "Pools to whose servers this node cannot connect, so that their requests are passed on through other nodes",
        static_cast<double>(context_.reach.outOfReach().size()));
    set("anvilyard_node_limited_servers",
        "Backend servers that take a limited rate of requests",
        static_cast<double>(context_.limits.limitedServers()));
    auto const pace = context_.placement.paceSummary(context_.load, context_.peers, now);
    set("anvilyard_node_slow_servers",
        "Backend servers that state or show to be much slower than the mean of their pool",
        static_cast<double>(pace.slowServers));
    set("anvilyard_node_expected_wait_spread_seconds",
        "Largest difference between the expected waits for a slot at two servers of a pool that state their speed",
        std::chrono::duration<double>(pace.waitSpread).count());
    std::uint32_t online = 0;
    for (auto const &[id, count] : context_.load.all())
        online += count.online;
    set("anvilyard_node_online_in_flight", "Online requests of this node at servers now", online);
    set("anvilyard_node_quarantined_prompt_parts",
        "Parts of prompts whose requests are refused because they crash servers",
        static_cast<double>(context_.prompts.quarantinedParts()));
    set("anvilyard_node_quarantined_requests",
        "Requests that are refused because they crash servers, by what is the same in their repeats",
        static_cast<double>(context_.prompts.quarantinedRequests()));
    set("anvilyard_node_peers_heard", "Instances whose reports come in time", static_cast<double>(context_.peers.live().size()));
    set("anvilyard_node_state_version",
        "Version of the desired state in force; 0 before the first",
        context_.routes ? static_cast<double>(context_.routes->state().version.value()) : 0);
    auto const setItems = [&](std::string const &state, std::size_t count) {
        set("anvilyard_node_items", "Items of the jobs that this runner owns, by state", static_cast<double>(count), {{"state", state}});
    };
    auto const items = runner_.itemCounts();
    setItems("waiting", items.waiting);
    setItems("running", items.running);
    setItems("decided", items.decided);
    setItems("listed", items.listed);
    set("anvilyard_node_items_stalled_seconds",
        "The longest time for which items of a pool have waited with none started",
        std::chrono::duration<double>(runner_.longestStall(now)).count());
    if (droppedLogLines_)
        set("anvilyard_node_log_lines_left_out", "Log lines left out since the start", static_cast<double>(droppedLogLines_()));
}

/// After all processes restarted at once, clients reach a node some milliseconds before it has the desired state and the servers.
void NodeProgram::holdUntilReady(Http::HttpRequest request, Writer writer, Instant now)
{
    // Once its time has passed, the request is handled as if it had arrived after the hold period.
    heldRequests_.push_back({.request = std::move(request), .writer = std::move(writer), .until = now + maxRequestHold_});
    if (!heldRequestsTimer_)
        heldRequestsTimer_ = context_.loop.at(now + HoldCheckInterval, [this] { releaseHeldRequests(); });
}

void NodeProgram::releaseHeldRequests()
{
    heldRequestsTimer_.reset();
    auto const now = readLocalClock();
    if (fleet_.isComplete() && !versions_.isComplete())
        versions_.recordNow(now);
    bool const isComplete = canSend(now);
    if (!isComplete && now < heldRequests_.front().until) {
        heldRequestsTimer_ = context_.loop.at(now + HoldCheckInterval, [this] { releaseHeldRequests(); });
        return;
    }
    // If the oldest request has waited long enough in vain, the store does not answer, and the others need not wait either.
    if (!isComplete)
        holdsUntil_ = now;
    for (auto &held : std::exchange(heldRequests_, {}))
        handleCaller(std::move(held.request), std::move(held.writer));
}

void NodeProgram::refuse(Http::HttpRequest const &request, Writer const &writer, Http::Refusal const &refusal)
{
    metrics_.onRefused(refusal.code);
    auto const head = context_.protocol.readOnlineRequest(request, std::nullopt);
    Observe::log(Observe::Events::NodeRequestRefused,
                 {{"request", head ? head->id.value() : ""},
                  {"target", request.target},
                  {"reason", refusal.code},
                  {"detail", refusal.message},
                  {"state_version", context_.routes ? std::to_string(context_.routes->state().version.value()) : "none"}});
    writer->respond(Refusals::write(refusal, context_.protocol));
}

std::optional<Duration> NodeProgram::timeToExit(Instant now) const
{
    if (!stoppingSince_)
        return std::nullopt;
    return *stoppingSince_ + context_.settings.stopTimeout - ExitReserve - now;
}

void NodeProgram::handleCaller(Http::HttpRequest request, Writer writer)
{
    auto const refuse = [&](Http::Refusal const &refusal) { this->refuse(request, writer, refusal); };
    if (auto const left = timeToExit(readLocalClock()); left && *left < MinTimeBeforeExit)
        return refuse(Refusals::stopping());
    if (auto const call = context_.protocol.readJobCall(request))
        return handleJobCall(*call, std::move(request), std::move(writer));
    if (auto const now = readLocalClock(); !canSend(now)) {
        if (now < holdsUntil_ && !stoppingSince_)
            return holdUntilReady(std::move(request), std::move(writer), now);
        if (!fleet_.isComplete())
            return refuse(Refusals::notReady());
    }
    auto const *route = context_.routes->find(request.headers.find("Host").value_or(""), request.path());
    if (!route)
        return refuse(Refusals::noRoute());
    auto const authentication = authenticate(*route, request);
    if (authentication.isRefused())
        return refuse(refusalOf(authentication));
    if (route->kind == RouteKind::Batch)
        return jobApi_.submit(*route, authentication.customerId(), request, std::move(writer));
    auto const *customer = authentication.customer();
    if (auto const wait = customer ? customerLimits_.tryAdmit(*customer, readLocalClock()) : std::nullopt)
        return refuse(Refusals::customerLimitReached(*wait));
    startOnlineCall(withPriorityOf(*route, authentication.customer()),
                    authentication.customerId(),
                    std::move(request),
                    std::move(writer),
                    std::nullopt);
}

void NodeProgram::handleJobCall(Result<JobCall> const &call, Http::HttpRequest request, Writer writer)
{
    if (!context_.routes) {
        auto const now = readLocalClock();
        if (now < holdsUntil_ && !stoppingSince_)
            return holdUntilReady(std::move(request), std::move(writer), now);
        return refuse(request, writer, Refusals::notReady());
    }
    auto const host = request.headers.find("Host").value_or("");
    auto const authentication = counted(CallerAuthentication::ofJobCall(*context_.routes, host, context_.protocol.readKey(request)));
    if (authentication.isRefused())
        return refuse(request, writer, refusalOf(authentication));
    if (!call)
        return refuse(request, writer, Refusals::badRequest(call.error().detail));
    jobApi_.handle(*call, authentication.customerId(), std::move(writer));
}

bool NodeProgram::canSend(Instant now) const
{
    return fleet_.isComplete() && versions_.isComplete() && quarantines_.isReady(now);
}

void NodeProgram::startOnlineCall(Serving::Route route,
                                  std::optional<CustomerId> const &customer,
                                  Http::HttpRequest request,
                                  Writer writer,
                                  std::optional<RelayTerms> relay)
{
    auto head = context_.protocol.readOnlineRequest(request, customer);
    if (!head)
        return refuse(request, writer, Refusals::badRequest(head.error().detail));
    if (auto const left = timeToExit(readLocalClock())) {
        auto const limit = std::min(route.timeout, head->timeLeft.value_or(route.timeout));
        if (!relay && *left < limit * MinShareOfTimeBeforeExit)
            return refuse(request, writer, Refusals::stopping());
        // Its caller gets an answer before the exit.
        head->timeLeft = std::min(limit, *left);
    }
    std::make_shared<OnlineCall>(OnlineCall::Parts{
                                     .context = context_,
                                     .metrics = metrics_,
                                     .health = health_,
                                     .permits = permits_,
                                     .origins = origins_,
                                     .route = std::move(route),
                                     .head = std::move(*head),
                                     .request = std::move(request),
                                     .customer = customer,
                                     .writer = std::move(writer),
                                     .relay = std::move(relay),
                                 })
        ->start();
}

void NodeProgram::scheduleTick()
{
    ticker_ = context_.loop.at(readLocalClock() + TickInterval, [this] {
        // In case the tick throws. Otherwise the next one is scheduled when it has ended.
        scheduleTick();
        onTick(readLocalClock());
        scheduleTick();
    });
}

void NodeProgram::onTick(Instant now)
{
    auto const bootClock = readBootClock();
    if (lastTickByBootClock_ && bootClock - *lastTickByBootClock_ >= MinReportedPause) {
        auto const paused = std::chrono::duration_cast<std::chrono::milliseconds>(bootClock - *lastTickByBootClock_);
        Observe::log(Observe::Events::NodePaused, {{"ms", std::to_string(paused.count())}});
        context_.peers.onProcessPaused(now);
    }
    lastTickByBootClock_ = bootClock;
    if (bool const ready = isReady(); ready != std::exchange(wasReady_, ready))
        Observe::log(ready ? Observe::Events::NodeReady : Observe::Events::NodeNotReady);
    context_.load.onTick(now);
    health_.onTick(now);
    fleet_.onTick(now);
    versions_.onTick(now);
    quarantines_.onTick(now);
    customerLimits_.onTick(now);
    context_.maySendItems = quarantines_.isReady(now) && peerReports_.areRunnersKnown(now);
    if (context_.settings.role == InstanceRole::Runner) {
        runner_.onTick(now);
        retirements_.onTick(now);
    }
    // Last, so that the reports to peers include the changes of this tick.
    peerReports_.onTick(now);
    if (stoppingSince_)
        advanceStop(now);
    if (onTickHook_)
        onTickHook_();
}

void NodeProgram::onLoadChanged()
{
    if (loadChangeTimer_)
        return;
    loadChangeTimer_ = context_.loop.at(readLocalClock() + LoadChangeDelay, [this] {
        loadChangeTimer_.reset();
        auto const now = readLocalClock();
        if (context_.settings.role == InstanceRole::Runner)
            runner_.onLoadChanged(now);
        peerReports_.onTick(now);
    });
}

void NodeProgram::applySettings(NodeSettings const &reloaded)
{
    auto const join = [](std::vector<std::string> const &keys) {
        std::string joined;
        for (auto const &key : keys)
            joined += joined.empty() ? key : "," + key;
        return joined;
    };
    auto const changes = compareSettings(loadedSettings_, reloaded);
    loadedSettings_.stopTimeout = reloaded.stopTimeout;
    context_.settings.stopTimeout = reloaded.stopTimeout;
    Observe::log(Observe::Events::NodeReloaded,
                 {{"in_force", join(changes.appliedImmediately)}, {"after_restart", join(changes.appliedAfterRestart)}});
}

void NodeProgram::stop()
{
    if (stoppingSince_)
        return;
    stoppingSince_ = readLocalClock();
    Observe::log(Observe::Events::NodeStopping);
    runner_.beginHandover();
    peerReports_.setStage(Serving::InstanceStage::Leaving);
    if (callers_)
        callers_->announceLeaving();
}

void NodeProgram::advanceStop(Instant now)
{
    auto const since = now - *stoppingSince_;
    bool const isDeadlineReached = since >= context_.settings.stopTimeout - ExitReserve;
    bool isIdle = runner_.isIdle();
    if (callers_) {
        // The balancer may still send requests here if half of its entries are unavailable, and a request accepted later than this
        // could not be finished.
        if (since >= BalancerNoticeDelay) {
            callers_->stopAccepting();
            callers_->closeIdle();
        }
        isIdle = isIdle && since >= BalancerNoticeDelay && callers_->openExchanges() == 0 && context_.relayedCalls == 0;
    }
    if (!isIdle && !isDeadlineReached)
        return;
    auto const connections = callers_ ? callers_->connections() : std::map<Http::ConnectionState, std::size_t>();
    auto const countOf = [&](Http::ConnectionState state) {
        auto const found = connections.find(state);
        return std::to_string(found == connections.end() ? 0 : found->second);
    };
    Observe::log(Observe::Events::NodeStopped,
                 {{"open_requests", std::to_string(callers_ ? callers_->openExchanges() : 0)},
                  {"forced", isIdle ? "false" : "true"},
                  {"idle", countOf(Http::ConnectionState::Idle)},
                  {"reading", countOf(Http::ConnectionState::ReadingRequest)},
                  {"handling", countOf(Http::ConnectionState::Handling)},
                  {"streaming", countOf(Http::ConnectionState::Streaming)},
                  {"finishing", countOf(Http::ConnectionState::Finishing)},
                  {"draining", countOf(Http::ConnectionState::Draining)}});
    if (auto const onStopped = std::exchange(onStopped_, nullptr))
        onStopped();
}

namespace {

/// An exception in a handler fails only the current request; the process continues.
void runGuarded(Http::EventLoop &loop)
{
    for (;;) {
        try {
            return loop.run();
        } catch (std::exception const &exception) {
            Observe::log(Observe::Events::NodeFault, {{"error", exception.what()}});
        }
    }
}

/// An invalid file leaves the settings unchanged.
void reload(std::string const &file, NodeProgram &node, Observe::JsonLog &log)
{
    auto reader = Service::SettingsReader::fromFile(file);
    auto const common = Service::readCommonSettings(reader);
    auto const settings = readNodeSettings(reader);
    if (auto const faults = reader.finish(); !faults.empty()) {
        for (auto const &fault : faults)
            Observe::log(Observe::Events::NodeReloadFailed, {{"error", fault.toString()}});
        return;
    }
    log.setMinSeverity(common.log.minSeverity);
    node.applySettings(settings);
}

} // namespace

Service::ExitCode runNode(NodeProgramOptions options, Service::CommonSettings const &common)
{
    auto &loop = options.loop;
    Observe::JsonLog log({.instance = options.settings.instance.value(), .minSeverity = common.log.minSeverity});
    options.onTick = [&log] { log.flush(); };
    options.droppedLogLines = [&log] { return log.droppedLines(); };
    options.onStopped = [&loop] { loop.stop(); };
    NodeProgram node(std::move(options));
    auto const signals = Signals::watch(loop,
                                        {
                                            .onStop = [&] { node.stop(); },
                                            .onReload = [&] { reload(common.file, node, log); },
                                        });
    if (auto started = node.start(); !started) {
        std::cerr << "anvilyard-node: " << started.error().toString() << '\n';
        return Service::ExitCode::Failed;
    }
    runGuarded(loop);
    return Service::ExitCode::Done;
}

} // namespace Anvilyard::Node
