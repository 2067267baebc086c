#include "Services/Batch/BatchService.h"

#include "LibFleet/BatchOwners.h"
#include "LibObserve/Events.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <future>
#include <utility>

namespace Anvilyard::Batch {

namespace {

/// Returns a name that is unique among all processes that ever ran on the instance.
std::string generateProcessName(RandomSource &random)
{
    static constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::uniform_int_distribution<std::size_t> distribution(0, Letters.size() - 1);
    std::string name;
    for (int letter = 0; letter < 12; ++letter)
        name += Letters[distribution(random)];
    return name;
}

} // namespace

Result<std::unique_ptr<BatchService>> BatchService::create(BatchServiceOptions options)
{
    std::unique_ptr<BatchService> service(new BatchService(std::move(options)));
    service->startTraffic();
    if (auto started = service->startControl(); !started)
        return tl::unexpected(started.error());
    return service;
}

BatchService::BatchService(BatchServiceOptions options)
    : options_(std::move(options))
{
}

BatchService::~BatchService()
{
    follower_.reset();
    reports_.reset();
    // The loop's callbacks post to the control thread, so the loop is stopped first. Tasks that the control thread still posts to
    // the loop never run.
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
    if (control_)
        control_->stop();
    control_.reset();
    housekeeper_.reset();
    transport_.reset();
    poller_.reset();
    sender_.reset();
    store_.reset();
}

void BatchService::startTraffic()
{
    store_ = Platform::BudgetedObjectStore::createOverHttp({
        .http = {.loop = loop_, .platform = options_.settings.platform},
        .budget = {.processShare = Platform::BatchBudgetShare},
        .metrics = &options_.metrics,
        .liveInstances = [this] { return statusView_.read()->instances.size(); },
    });
    sender_ = std::make_unique<ItemSender>(ItemSenderOptions{
        .loop = loop_,
        .tracer = options_.tracer,
        .route = [this](ServerId const &server, ServiceName const &service) { return routes_.read()->find(server, service, random_); },
        .onEnd = [this](AttemptRef const &item, AttemptResult end) { transport_->onItemEnded(item, std::move(end)); },
        .onTokenInterval =
            [this](ServerId const &server, Duration interval) {
                control_->post([this, server, interval] { applyGateChanges(gate_.onTokenGap(server, interval, readLocalClock())); });
            },
        .attemptTimeout = options_.settings.attemptTimeout,
    });
    poller_ = std::make_unique<EngineLoadPoller>(EngineLoadPollerOptions{
        .loop = loop_,
        .runningOn = [this](ServerId const &server) { return transport_->runner().runningOn(server); },
        .onLoad =
            [this](ServerId const &server, Yield::EngineLoad const &load) {
                control_->post([this, server, load] { applyGateChanges(gate_.onEngineLoad(server, load, readLocalClock())); });
            },
        .random = random_,
    });
    transport_ = std::make_shared<RunnerTransport>(RunnerTransportOptions{
        .loop = loop_,
        .store = *store_,
        .metrics = options_.metrics,
        .runner = {.self = options_.settings.instance, .process = generateProcessName(random_), .seed = random_()},
        .sendItem = [this](SendItem const &item) { sender_->send(item); },
        .stopItem = [this](StopItem const &item) { sender_->stop(item); },
    });
    housekeeper_ = std::make_shared<Housekeeper>(HousekeeperOptions{
        .store = std::make_shared<StoreCaller>(StoreCallerOptions{.loop = loop_, .store = *store_, .random = RandomSource(random_())}),
    });
    control_ = Control::ControlThread::create();
    loop_.post([this] {
        transport_->start();
        poller_->start();
    });
    thread_ = std::thread([this] { loop_.run(); });
}

Result<std::monostate> BatchService::startControl()
{
    auto reports = Peer::OnlineReportServer::create({
        .listen = options_.settings.peerListen,
        .sharedKey = options_.settings.fleetKey,
        .onReport = [this](Peer::OnlineReport report) { control_->post([this, report = std::move(report)] { onOnlineReport(report); }); },
    });
    if (!reports)
        return tl::unexpected(reports.error());
    reports_ = std::move(*reports);
    follower_ = Peer::AgentFollower::create({
        .agent = options_.settings.agent,
        .sharedKey = options_.settings.fleetKey,
        .role = "batch",
        .onView = [this](std::shared_ptr<Fleet::FleetView const> view) { control_->post([this, view] { onView(view); }); },
    });
    control_->post([this] {
        planPeriodically();
        cleanPeriodically();
    });
    return std::monostate{};
}

void BatchService::onView(std::shared_ptr<Fleet::FleetView const> view)
{
    auto const before = std::exchange(view_, std::move(view));
    statusView_.publish(view_);
    routes_.publish(std::make_shared<RouteTable const>(*view_));
    std::vector<InstanceId> alive;
    Fleet::BatchOwners const owners(*view_);
    for (auto const &instance : owners.instances())
        alive.push_back(instance.id);
    loop_.post([this, alive = std::move(alive)] { transport_->setInstances(alive); });
    removeDepartedInstances(*before);
    planServers();
    if (before->jobsMark != view_->jobsMark)
        loop_.post([this] { transport_->onJobsChanged(); });
}

void BatchService::removeDepartedInstances(Fleet::FleetView const &before)
{
    for (auto const &instance : before.instances) {
        auto const isSame = [&](Fleet::Instance const &other) { return other.id == instance.id; };
        if (std::none_of(view_->instances.begin(), view_->instances.end(), isSame))
            applyGateChanges(gate_.onInstanceDeparted(instance.id, readLocalClock()));
    }
}

void BatchService::planServers()
{
    owned_ = ownedServers(*view_, options_.settings.instance, readClocks().wall);
    std::map<ServerId, Yield::GateLimits> engines;
    std::vector<Fleet::BackendServer> servers;
    for (auto const &[server, rule, isAdmitted] : owned_) {
        engines[server.id] = {.maxSlots = isAdmitted ? rule.slotsPerServer : 0, .share = rule.share, .floorSlots = rule.floorSlots};
        servers.push_back(server);
    }
    loop_.post([this, servers] { poller_->setServers(servers); });
    static_cast<void>(gate_.setEngines(engines, readLocalClock()));
    publishSlots();
    scheduleGateTick();
}

void BatchService::planPeriodically()
{
    // Daily admission windows open and close without an event.
    planServers();
    control_->postAt(readLocalClock() + PlanInterval, [this] { planPeriodically(); });
}

void BatchService::cleanPeriodically()
{
    Fleet::BatchOwners const owners(*view_);
    auto const *owner = owners.ownerOf("housekeeping");
    if (owner && owner->id == options_.settings.instance)
        loop_.post([this] { housekeeper_->runRound(); });
    control_->postAt(readLocalClock() + CleanInterval, [this] { cleanPeriodically(); });
}

void BatchService::onOnlineReport(Peer::OnlineReport const &report)
{
    std::vector<Yield::OnlineTally> tallies;
    for (auto const &count : report.counts)
        tallies.push_back({.server = count.server, .started = count.started, .finished = count.finished});
    applyGateChanges(gate_.onOnlineReport(report.from, report.processIncarnation, tallies, readLocalClock()));
}

void BatchService::applyGateChanges(std::vector<Yield::SlotsChanged> const &changes)
{
    if (!changes.empty())
        publishSlots();
    scheduleGateTick();
}

void BatchService::scheduleGateTick()
{
    auto const next = gate_.nextTick();
    if (!next || (nextGateTickAt_ && *nextGateTickAt_ <= *next))
        return;
    nextGateTickAt_ = next;
    control_->postAt(*next, [this, at = *next] {
        if (nextGateTickAt_ != at)
            return;
        nextGateTickAt_.reset();
        applyGateChanges(gate_.onTick(readLocalClock()));
    });
}

void BatchService::publishSlots()
{
    auto const allowed = [this](OwnedServer const &server) {
        if (options_.settings.yielding == Yielding::On)
            return gate_.allowedSlots(server.server.id);
        return server.isAdmitted ? static_cast<std::uint32_t>(server.rule.share * server.rule.slotsPerServer) : 0;
    };
    loop_.post([this, servers = planSlots(*view_, owned_, allowed)] { transport_->setServers(servers); });
}

Address BatchService::peerAddress() const
{
    return reports_->address();
}

std::string BatchService::status() const
{
    auto const view = statusView_.read();
    boost::json::value const status = {
        {"instance", options_.settings.instance.value()},
        {"generation", view->rules->generation.value()},
        {"instances", view->instances.size()},
        {"servers", view->servers.size()},
    };
    return boost::json::serialize(status);
}

void BatchService::drain()
{
    auto const stopped = std::make_shared<std::promise<void>>();
    auto const done = stopped->get_future();
    loop_.post([this, stopped] { transport_->stop([stopped] { stopped->set_value(); }); });
    if (done.wait_for(options_.settings.drainTimeout) == std::future_status::ready) {
        Observe::log(Observe::Events::BatchHandedBack);
        return;
    }
    Observe::log(Observe::Events::BatchStopForced);
    loop_.post([this] { transport_->abandonRunning(); });
    if (done.wait_for(ReleaseTimeout) != std::future_status::ready)
        Observe::log(Observe::Events::BatchHandBackFailed);
}

} // namespace Anvilyard::Batch
