#include "Services/Batch/BatchProgram.h"

#include "LibObserve/Events.h"
#include "LibService/AdminServer.h"
#include "Services/Batch/BatchService.h"

namespace Anvilyard::Batch {

namespace {

Service::ExitCode reportStartFailure(Error const &error)
{
    Observe::log(Observe::Events::ServiceStartFailed, {{"error", error.toString()}});
    return Service::ExitCode::Failed;
}

} // namespace

BatchProgram::BatchProgram(Service::StopSignal &stop)
    : stop_(stop)
{
}

void BatchProgram::readSettings(Service::SettingsReader &reader)
{
    settings_ = readBatchSettings(reader);
}

Service::ExitCode BatchProgram::serve(Service::CommonSettings const &common)
{
    Observe::MetricsRegistry metrics;
    auto tracer = Observe::Tracer::create({.file = common.traceFile, .program = "anvilyard-batch"});
    if (!tracer)
        return reportStartFailure(tracer.error());
    auto service = BatchService::create({.settings = settings_, .metrics = metrics, .tracer = **tracer});
    if (!service)
        return reportStartFailure(service.error());
    auto admin = Service::AdminServer::create({
        .listen = common.adminListen,
        .metrics = &metrics,
        .status = [&] { return (*service)->status(); },
    });
    if (!admin)
        return reportStartFailure(admin.error());
    (*admin)->setReadiness(Service::Readiness::Ready);
    Observe::log(Observe::Events::ServiceStarted, {{"peer", (*service)->peerAddress().value()}, {"admin", (*admin)->address().value()}});
    stop_.wait();
    Observe::log(Observe::Events::ServiceStopping);
    (*admin)->setReadiness(Service::Readiness::Leaving);
    (*service)->drain();
    // The admin server uses the service for its status, so it is destroyed first.
    admin->reset();
    service->reset();
    (*tracer)->flush();
    Observe::log(Observe::Events::ServiceStopped);
    return Service::ExitCode::Done;
}

} // namespace Anvilyard::Batch
