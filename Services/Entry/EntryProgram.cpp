#include "Services/Entry/EntryProgram.h"

#include "LibBatch/JobApi.h"
#include "LibObserve/Events.h"
#include "LibPeer/AgentFollower.h"
#include "LibPlatform/BudgetedObjectStore.h"
#include "LibService/AdminServer.h"

#include <atomic>

namespace Anvilyard::Entry {

namespace {

Service::ExitCode failStart(Error const &error)
{
    Observe::log(Observe::Events::ServiceStartFailed, {{"error", error.toString()}});
    return Service::ExitCode::Failed;
}

/// Pointers used by the components on traffic threads. They are null until the service and the follower have been created.
struct ServicePointers {
    std::atomic<EntryService *> service{nullptr};
    std::atomic<Peer::AgentFollower *> follower{nullptr};
};

JobsHandlers makeJobsHandlers(Http::EventLoop &loop,
                              std::shared_ptr<Platform::ObjectStore> const &store,
                              Observe::MetricsRegistry &metrics,
                              ServicePointers const &pointers)
{
    std::shared_ptr<Batch::JobApi> const api = Batch::JobApi::create({
        .loop = loop,
        .store = *store,
        .metrics = metrics,
        .rules =
            [&pointers] {
                auto const *service = pointers.service.load();
                return service ? service->view()->fleet().rules : std::make_shared<Rules::RuleSet const>();
            },
        .onJobsChanged =
            [&pointers] {
                if (auto *follower = pointers.follower.load())
                    follower->raiseJobsMark();
            },
    });
    return {
        .handles = [](std::string_view path) { return Batch::JobApi::handles(path); },
        // The handler also captures the store, which must outlive the API that uses it.
        .handle =
            [api, store](CustomerId customer, Http::HttpRequest request, std::shared_ptr<Http::ResponseWriter> writer) {
                api->handle(std::move(customer), std::move(request), std::move(writer));
            },
        .streamBody =
            [api](CustomerId customer, Http::HttpRequest const &head, std::shared_ptr<Http::ResponseWriter> const &writer) {
                return api->streamBody(std::move(customer), head, writer);
            },
    };
}

} // namespace

EntryProgram::EntryProgram(Service::StopSignal &stop)
    : stop_(stop)
{
}

void EntryProgram::readSettings(Service::SettingsReader &reader)
{
    settings_ = readEntrySettings(reader);
}

Service::ExitCode EntryProgram::serve(Service::CommonSettings const &common)
{
    Observe::MetricsRegistry metrics;
    ServicePointers pointers;
    std::atomic<std::size_t> liveInstances = 0;
    auto tracer = Observe::Tracer::create({.file = common.traceFile, .program = "anvilyard-entry"});
    if (!tracer)
        return failStart(tracer.error());
    auto const usageSender = Peer::UsageReportSender::create(settings_.fleetKey);
    auto const onlineSender = Peer::OnlineReportSender::create(settings_.fleetKey);
    auto service = EntryService::create({
        .settings = settings_,
        .metrics = metrics,
        .tracer = **tracer,
        .makeStore =
            [&](Http::EventLoop &loop) {
                return Platform::BudgetedObjectStore::createOverHttp({
                    .http = {.loop = loop, .platform = settings_.platform},
                    .budget = {.processShare = Platform::EntryBudgetShare / static_cast<double>(settings_.threads)},
                    .metrics = &metrics,
                    .liveInstances = [&liveInstances] { return liveInstances.load(); },
                });
            },
        .makeJobsHandlers = [&](Http::EventLoop &loop, auto const &store) { return makeJobsHandlers(loop, store, metrics, pointers); },
        .sendUsage = [&](Address const &peer,
                         Peer::UsageReport report,
                         auto reply) { usageSender->send(peer, std::move(report), std::move(reply)); },
        .sendOnline = [&](Address const &peer, Peer::OnlineReport report) { onlineSender->send(peer, std::move(report)); },
    });
    if (!service)
        return failStart(service.error());
    pointers.service = service->get();
    auto usageServer = Peer::UsageReportServer::create({
        .listen = settings_.peerListen,
        .sharedKey = settings_.fleetKey,
        .onReport = [&](Peer::UsageReport report) { return (*service)->onUsageReport(std::move(report)); },
    });
    if (!usageServer)
        return failStart(usageServer.error());
    auto admin = Service::AdminServer::create({
        .listen = common.adminListen,
        .metrics = &metrics,
        .status = [&] { return (*service)->status(); },
    });
    if (!admin)
        return failStart(admin.error());
    auto follower = Peer::AgentFollower::create({
        .agent = settings_.agent,
        .sharedKey = settings_.fleetKey,
        .role = "entry",
        .onView =
            [&](std::shared_ptr<Fleet::FleetView const> view) {
                liveInstances = view->instances.size();
                (*service)->onFleetView(std::move(view));
                // Without rules the entry could only refuse requests, so it becomes ready for the load balancer with its first view.
                if (!isStopping_)
                    (*admin)->setReadiness(Service::Readiness::Ready);
            },
    });
    pointers.follower = follower.get();
    Observe::log(
        Observe::Events::ServiceStarted,
        {{"listen", (*service)->address().value()}, {"peer", (*usageServer)->address().value()}, {"admin", (*admin)->address().value()}});
    stop_.wait();
    Observe::log(Observe::Events::ServiceStopping);
    isStopping_ = true;
    (*admin)->setReadiness(Service::Readiness::Leaving);
    (*service)->drain();
    // Components that call the service are destroyed before it.
    pointers.follower = nullptr;
    follower.reset();
    admin->reset();
    usageServer->reset();
    pointers.service = nullptr;
    service->reset();
    (*tracer)->flush();
    Observe::log(Observe::Events::ServiceStopped);
    return Service::ExitCode::Done;
}

} // namespace Anvilyard::Entry
