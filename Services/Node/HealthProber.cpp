#include "Services/Node/HealthProber.h"

#include "LibObserve/Events.h"

#include <algorithm>

namespace Anvilyard::Node {

namespace {

/// A server responds to a probe within milliseconds, or once the request in its last slot ends.
constexpr Duration ProbeTimeout = 1s;
constexpr Duration ProbeConnectTimeout = 300ms;
/// A connection within a region is established in a few milliseconds.
constexpr Duration ReachProbeTimeout = 250ms;
/// Only the head of a response counts.
constexpr std::size_t MaxProbeResponseBytes = 64 * 1024;

} // namespace

HealthProber::HealthProber(NodeContext &context, PermitClient &permits, std::function<void()> onEjectionsChanged)
    : context_(context)
    , permits_(permits)
    , onEjectionsChanged_(std::move(onEjectionsChanged))
{
}

void HealthProber::onEvidence(ServerId const &server, Routing::ServerEvidence evidence)
{
    auto const known = context_.directory.find(server, readLocalClock());
    // The path is to blame, and the servers are not to be ejected when it is restored.
    if (known && evidence != Routing::ServerEvidence::Responded && context_.reach.isOutOfReach(known->record.pool))
        return;
    perform(context_.health.onEvidence(server, evidence, readLocalClock()));
}

void HealthProber::onResponse(ServerId const &server, int status, Instant sentAt)
{
    if (auto const evidence = Routing::evidenceOf(status); evidence == Routing::ServerEvidence::Answered)
        context_.health.onAnswered(server, sentAt, readLocalClock());
    else
        onEvidence(server, evidence);
}

void HealthProber::onConnectFailed(ServerId const &server)
{
    auto const now = readLocalClock();
    context_.reach.onConnectFailed(server, now);
    checkReach(now);
}

void HealthProber::checkReach(Instant now)
{
    for (auto const &id : context_.reach.takeChecks(now, context_.random)) {
        auto const onDone = [this, id](Http::ListenProbe::Outcome outcome) {
            auto const probe = reachProbes_.extract(id);
            auto const ended = readLocalClock();
            bool const isConnected = outcome == Http::ListenProbe::Outcome::Listening;
            auto const server = context_.directory.find(id, ended);
            if (context_.reach.onChecked(id, isConnected, ended) && server)
                onReachChanged(server->record.pool);
        };
        if (auto const server = context_.directory.find(id, now))
            reachProbes_[id] = std::make_unique<Http::ListenProbe>(context_.loop, server->record.address, now + ReachProbeTimeout, onDone);
        else
            static_cast<void>(context_.reach.onChecked(id, false, now));
    }
}

void HealthProber::onReachChanged(PoolName const &pool)
{
    if (context_.reach.isOutOfReach(pool)) {
        Observe::log(Observe::Events::NodePoolOutOfReach, {{"pool", pool.value()}});
        return;
    }
    Observe::log(Observe::Events::NodePoolInReach, {{"pool", pool.value()}});
    auto const now = readLocalClock();
    context_.health.onPathRestored(now);
    perform(context_.health.onTick(now));
}

void HealthProber::onTick(Instant now)
{
    checkReach(now);
    perform(context_.health.onTick(now));
    context_.prompts.onTick(context_.directory, now);
    probeLostServers(now);
}

void HealthProber::probeLostServers(Instant now)
{
    for (auto const &server : context_.prompts.takeProbes(now)) {
        auto const onDone = [this, server, now](Http::ListenProbe::Outcome outcome) {
            auto const probe = listenProbes_.extract(server.id);
            if (outcome == Http::ListenProbe::Outcome::Refused)
                context_.prompts.onRefused(server);
            else if (outcome == Http::ListenProbe::Outcome::Listening)
                context_.prompts.onReached(server, now);
        };
        listenProbes_[server.id] = std::make_unique<Http::ListenProbe>(context_.loop, server.address, now + ProbeConnectTimeout, onDone);
    }
}

void HealthProber::perform(std::vector<Routing::HealthAction> const &actions)
{
    for (auto const &action : actions) {
        if (auto const *ejected = std::get_if<Routing::ServerEjected>(&action)) {
            Observe::log(Observe::Events::NodeServerEjected,
                         {{"server", ejected->server.value()},
                          {"evidence", Routing::nameOf(ejected->evidence)},
                          {"ejections", std::to_string(ejected->ejections)}});
            onEjectionsChanged_();
        } else if (auto const *restored = std::get_if<Routing::ServerRestored>(&action)) {
            Observe::log(Observe::Events::NodeServerRestored,
                         {{"server", restored->server.value()},
                          {"evidence", restored->outcome == Routing::ProbeOutcome::Answered ? "probe" : "connection"},
                          {"ejections", std::to_string(restored->ejections)}});
            onEjectionsChanged_();
        } else if (auto const *due = std::get_if<Routing::ProbeServer>(&action)) {
            probe(due->server);
        }
    }
}

void HealthProber::probe(ServerId const &id)
{
    auto const now = readLocalClock();
    auto const server = context_.directory.find(id, now);
    auto const report = [this, id](Routing::ProbeOutcome outcome) { perform(context_.health.onProbe(id, outcome, readLocalClock())); };
    if (!server)
        return report(Routing::ProbeOutcome::Failed);
    probe(server->record, report);
}

void HealthProber::checkResponds(Serving::ServerRecord const &server, std::function<void(Routing::ProbeOutcome)> onChecked)
{
    if (!responseChecks_.insert(server.id).second)
        return;
    probe(server, [this, id = server.id, onChecked = std::move(onChecked)](Routing::ProbeOutcome outcome) {
        responseChecks_.erase(id);
        onChecked(outcome);
    });
}

void HealthProber::probe(Serving::ServerRecord const &server, std::function<void(Routing::ProbeOutcome)> const &report)
{
    if (!context_.routes)
        return report(Routing::ProbeOutcome::Failed);
    auto const &pools = context_.routes->state().pools;
    auto const pool =
        std::find_if(pools.begin(), pools.end(), [&](Serving::PoolDescription const &known) { return known.name == server.pool; });
    if (pool == pools.end())
        return report(Routing::ProbeOutcome::Failed);
    permits_.request(server, Serving::Urgency::Highest, [this, server, path = pool->healthPath, report](bool isGranted) {
        // Other instances use up what the server takes, so it gets no probe for now.
        if (!isGranted)
            return report(Routing::ProbeOutcome::Failed);
        sendProbe(server, path, report);
    });
}

void HealthProber::sendProbe(Serving::ServerRecord const &server,
                             std::string const &path,
                             std::function<void(Routing::ProbeOutcome)> const &report)
{
    auto const now = readLocalClock();
    Http::ClientRequest request{
        .server = server.address,
        .request = {.method = "GET", .target = path},
        .deadline = now + ProbeTimeout,
        .connectTimeout = ProbeConnectTimeout,
        .bodyLimitBytes = MaxProbeResponseBytes,
        .connection = Http::ClientRequest::Connection::FreshOnly,
    };
    context_.serverClient->fetch(
        std::move(request), [this, server, report, now](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
            if (answer) {
                auto const response = context_.protocol.readResponseHead({.status = answer->status, .headers = answer->headers});
                reportIfLeaving(context_, server, response);
                recordResponse(context_, server, response, now);
            }
            // Any response will do: a server without a free slot refuses the probe but is reachable.
            if (answer)
                return report(Routing::ProbeOutcome::Answered);
            bool const isConnected = answer.error().reached != Http::Reached::NothingSent;
            report(isConnected ? Routing::ProbeOutcome::Unhealthy : Routing::ProbeOutcome::Failed);
        });
}

} // namespace Anvilyard::Node
