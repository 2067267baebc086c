#include "Agent.h"
#include "AgentSettings.h"

#include "LibObserve/Events.h"
#include "LibService/AdminServer.h"
#include "LibService/Program.h"

using namespace Anvilyard;

namespace {

namespace Events = Observe::Events;
using Service::ExitCode;

ExitCode failToStart(Error const &error)
{
    Observe::log(Events::ServiceStartFailed, {{"reason", error.toString()}});
    return ExitCode::Failed;
}

ExitCode serve(Service::CommonSettings const &common, Agent::AgentSettings const &settings)
{
    // Created before any thread starts, so that all threads inherit its signal mask.
    Service::StopSignal stopSignal;
    Observe::MetricsRegistry metrics;
    auto const tracer = Observe::Tracer::create({.file = common.traceFile, .program = "anvilyard-agent"});
    if (!tracer)
        return failToStart(tracer.error());
    auto agent = Agent::Agent::create(settings, metrics, **tracer);
    if (!agent)
        return failToStart(agent.error());
    auto const admin =
        Service::AdminServer::create({.listen = common.adminListen, .metrics = &metrics, .status = [&] { return (*agent)->status(); }});
    if (!admin)
        return failToStart(admin.error());
    (*admin)->setReadiness(Service::Readiness::Ready);
    Observe::log(Events::ServiceStarted,
                 {{"instance", settings.instance.value()}, {"agent", (*agent)->address().value()}, {"admin", (*admin)->address().value()}});
    stopSignal.wait();
    Observe::log(Events::ServiceStopping);
    (*admin)->setReadiness(Service::Readiness::Leaving);
    (*agent)->leave();
    (*tracer)->flush();
    Observe::log(Events::ServiceStopped);
    return ExitCode::Done;
}

} // namespace

int main(int argumentCount, char const *const *arguments)
{
    Agent::AgentSettings settings;
    return Service::runProgram(
        {.name = "anvilyard-agent", .summary = "Supplies the processes of an instance with rules, servers and peers."},
        {.readSettings = [&](Service::SettingsReader &reader) { settings = Agent::readAgentSettings(reader); },
         .serve = [&](Service::CommonSettings const &common) { return serve(common, settings); }},
        argumentCount,
        arguments);
}
