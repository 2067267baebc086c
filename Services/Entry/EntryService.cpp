#include "Services/Entry/EntryService.h"

#include "LibObserve/Events.h"
#include "Services/Entry/AdmissionFilter.h"
#include "Services/Entry/CacheEventFeeds.h"
#include "Services/Entry/IntentFilter.h"
#include "Services/Entry/LimitFilter.h"
#include "Services/Entry/LoadPoller.h"
#include "Services/Entry/ServerProbe.h"

#include <boost/json/serialize.hpp>
#include <thread>

namespace Anvilyard::Entry {

namespace {

constexpr Duration DrainPollInterval = 20ms;

Routing::ChooserOptions chooserOptions(EntrySettings const &settings)
{
    return {.instance = settings.instance, .dataCentre = settings.dataCentre, .maxLoad = static_cast<double>(settings.inFlightPerServer)};
}

} // namespace

Result<std::unique_ptr<EntryService>> EntryService::create(EntryServiceOptions options)
{
    std::unique_ptr<EntryService> service(new EntryService(std::move(options)));
    if (auto started = service->startThreads(); !started)
        return tl::unexpected(started.error());
    return service;
}

EntryService::EntryService(EntryServiceOptions options)
    : options_(std::move(options))
    , processIncarnation_(static_cast<std::uint64_t>(readClocks().wall.time_since_epoch().count()))
    , metrics_(options_.metrics)
    , view_(std::make_shared<EntryView const>())
    , limits_({})
    , control_(Control::ControlThread::create())
    , health_({.control = *control_,
               .probe = [this](ServerId const &server, Address const &address) { probe(server, address); },
               .onChange = [this] { publish(view_.read()->fleetPointer()); }})
    , shareExchange_({.control = *control_,
                      .table = limits_,
                      .instance = options_.settings.instance,
                      .processIncarnation = processIncarnation_,
                      .fleet = [this] { return view_.read()->fleetPointer(); },
                      .send = options_.sendUsage})
    , onlineReporter_({.control = *control_,
                       .instance = options_.settings.instance,
                       .processIncarnation = processIncarnation_,
                       .fleet = [this] { return view_.read()->fleetPointer(); },
                       .send = options_.sendOnline})
{
}

EntryService::~EntryService()
{
    // Traffic threads and the control thread post tasks to each other, so all of them stop before any of them is destroyed.
    for (auto const &thread : threads_)
        thread->stop();
    if (control_)
        control_->stop();
    control_.reset();
}

Result<std::monostate> EntryService::startThreads()
{
    auto listen = options_.settings.listen;
    for (std::size_t index = 0; index < options_.settings.threads; ++index) {
        auto thread = TrafficThread::create({
            .listen = listen,
            .chooser = chooserOptions(options_.settings),
            .limits = options_.settings.limits,
            .view = view_,
            .tracer = options_.tracer,
            .metrics = metrics_,
            .hooks = makeHooks(),
            .makeComponents = [this](ThreadContext &context) { return makeComponents(context); },
        });
        if (!thread)
            return tl::unexpected(thread.error());
        // The settings may leave the choice of the port to the system. The other threads share the port of the first one.
        listen = (*thread)->address();
        threads_.push_back(std::move(*thread));
    }
    // The feeds pass their data to all threads, so they start once all threads exist.
    threads_.front()->post([this](ThreadContext &context) { startServerFeeds(context); });
    return std::monostate{};
}

void EntryService::startServerFeeds(ThreadContext &context)
{
    auto &thread = *threads_.front();
    thread.keepAlive(std::make_shared<LoadPoller>(
        context,
        options_.settings.loadPollsPerSecond,
        LoadPoller::Handlers{
            .onLoad =
                [this](PoolName const &pool, ServerId const &server, Routing::LoadReport const &report) {
                    updateChoosers(pool, [server, report](auto &chooser) { chooser.onLoadReport(server, report, readLocalClock()); });
                },
            .onModels =
                [this](PoolName const &pool, ServerId const &server, std::set<std::string> const &models) {
                    updateChoosers(pool, [server, models](auto &chooser) { chooser.onModels(server, models); });
                },
        }));
    thread.keepAlive(std::make_shared<CacheEventFeeds>(
        context,
        CacheEventFeedsOptions{
            .maxEngines = options_.settings.cacheEventStreams,
            .onEvent = [this](Fleet::BackendServer const &server, CacheEvent const &event) { onCacheEvent(server, event); },
            .onGap =
                [this](Fleet::BackendServer const &server) {
                    updateChoosers(server.pool, [id = server.id](auto &chooser) { chooser.onCacheUnknown(id); });
                },
        }));
}

void EntryService::onCacheEvent(Fleet::BackendServer const &server, CacheEvent const &event)
{
    updateChoosers(server.pool, [id = server.id, event](Routing::ServerChooser &chooser) {
        for (auto const hash : event.stored)
            chooser.onCacheStored(id, hash);
        for (auto const hash : event.removed)
            chooser.onCacheEvicted(id, hash);
    });
}

TrafficHooks EntryService::makeHooks()
{
    TrafficHooks hooks;
    hooks.onServerEvidence = [this](ServerId const &server, Routing::ServerEvidence evidence) {
        control_->post([this, server, evidence] { health_.onEvidence(server, evidence); });
    };
    if (!options_.sendOnline)
        return hooks;
    hooks.onOnlineStarted = [this](ServerId const &server) { control_->post([this, server] { onlineReporter_.onStarted(server); }); };
    hooks.onOnlineFinished = [this](ServerId const &server) { control_->post([this, server] { onlineReporter_.onFinished(server); }); };
    return hooks;
}

TrafficComponents EntryService::makeComponents(ThreadContext &context)
{
    auto const &settings = options_.settings;
    TrafficComponents components;
    auto const store = options_.makeStore ? options_.makeStore(context.loop) : nullptr;
    components.filters.push_back(std::make_unique<LimitFilter>(context, limits_));
    components.filters.push_back(std::make_unique<AdmissionFilter>(
        context, Routing::AdmissionQueueOptions{.maxLength = settings.queueLength, .maxWait = settings.queueWait}));
    components.filters.push_back(std::make_unique<IntentFilter>(context, store, settings.instance));
    if (options_.makeJobsHandlers)
        components.jobs = options_.makeJobsHandlers(context.loop, store);
    return components;
}

void EntryService::onFleetView(std::shared_ptr<Fleet::FleetView const> view)
{
    control_->post([this, view = std::move(view)] {
        auto const before = view_.read()->fleet().rules->generation;
        if (view->rules->generation < before)
            return;
        health_.setServers(view->servers);
        publish(view);
        if (view->rules->generation != before)
            Observe::log(Observe::Events::EntryViewInForce, {{"generation", std::to_string(view->rules->generation.value())}});
    });
}

void EntryService::publish(std::shared_ptr<Fleet::FleetView const> fleet)
{
    view_.publish(std::make_shared<EntryView const>(std::move(fleet), health_.ejected()));
}

void EntryService::probe(ServerId const &server, Address const &address)
{
    threads_.front()->post([this, server, address](ThreadContext &context) {
        probeServer(context.client, address, [this, server](Routing::ProbeOutcome outcome) {
            control_->post([this, server, outcome] { health_.onProbe(server, outcome); });
        });
    });
}

void EntryService::updateChoosers(PoolName const &pool, std::function<void(Routing::ServerChooser &)> const &update)
{
    for (auto const &thread : threads_) {
        thread->post([pool, update](ThreadContext &context) {
            if (auto *chooser = context.choosers.find(pool))
                update(*chooser);
        });
    }
}

std::vector<Peer::GrantedShare> EntryService::onUsageReport(Peer::UsageReport report)
{
    return shareExchange_.onReport(std::move(report));
}

Address EntryService::address() const
{
    return threads_.front()->address();
}

std::size_t EntryService::openExchanges() const
{
    std::size_t count = 0;
    for (auto const &thread : threads_)
        count += thread->openExchanges();
    return count;
}

std::shared_ptr<EntryView const> EntryService::view() const
{
    return view_.read();
}

std::string EntryService::status() const
{
    auto const view = view_.read();
    boost::json::array ejected;
    for (auto const &server : view->ejected())
        ejected.emplace_back(server.value());
    boost::json::value const status = {
        {"instance", options_.settings.instance.value()},
        {"generation", view->fleet().rules->generation.value()},
        {"servers", view->fleet().servers.size()},
        {"ejected", std::move(ejected)},
        {"open_requests", openExchanges()},
    };
    return boost::json::serialize(status);
}

bool EntryService::waitUntilIdle(Instant deadline) const
{
    while (openExchanges() > 0) {
        if (readLocalClock() >= deadline)
            return false;
        std::this_thread::sleep_for(DrainPollInterval);
    }
    return true;
}

void EntryService::drain()
{
    auto const start = readLocalClock();
    for (auto const &thread : threads_)
        thread->announceLeaving();
    std::this_thread::sleep_until(start + options_.settings.leavingNotice);
    auto const deadline = start + std::max(options_.settings.drainTimeout, options_.settings.leavingNotice);
    bool isIdle = waitUntilIdle(deadline);
    for (auto const &thread : threads_)
        thread->stopAccepting();
    // A request may have arrived just before the port was closed.
    isIdle = waitUntilIdle(deadline) && isIdle;
    if (!isIdle)
        Observe::log(Observe::Events::EntryStopForced, {{"open_requests", std::to_string(openExchanges())}});
}

} // namespace Anvilyard::Entry
