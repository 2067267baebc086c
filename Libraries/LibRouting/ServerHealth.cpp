#include "LibRouting/ServerHealth.h"

#include <algorithm>

namespace Anvilyard::Routing {

ServerEvidence evidenceOf(int status)
{
    constexpr int TooManyRequests = 429;
    constexpr int FirstServerError = 500;
    return status < FirstServerError && status != TooManyRequests ? ServerEvidence::Answered : ServerEvidence::Responded;
}

char const *nameOf(ServerEvidence evidence)
{
    switch (evidence) {
    case ServerEvidence::Answered:
        return "answered";
    case ServerEvidence::Responded:
        return "responded";
    case ServerEvidence::ErrorResponse:
        return "error-response";
    case ServerEvidence::FreshConnectionFailed:
        return "fresh-connection-failed";
    case ServerEvidence::ReusedConnectionFailed:
        return "reused-connection-failed";
    }
    return "unknown";
}

ServerHealth::ServerHealth(ServerHealthOptions options, RandomSource random)
    : options_(options)
    , random_(random)
{
}

void ServerHealth::setServers(std::map<ServerId, PoolName> const &servers)
{
    std::erase_if(servers_, [&](auto const &entry) { return !servers.contains(entry.first); });
    for (auto const &[id, pool] : servers)
        servers_[id].pool = pool;
}

std::vector<HealthAction> ServerHealth::onEvidence(ServerId const &server, ServerEvidence evidence, Instant now)
{
    std::vector<HealthAction> actions;
    if (evidence == ServerEvidence::Answered)
        onAnswered(server, now, now);
    auto const found = servers_.find(server);
    if (found == servers_.end() || !isInUse(found->second) || evidence == ServerEvidence::Answered
        || evidence == ServerEvidence::ReusedConnectionFailed)
        return actions;
    auto &entry = found->second;
    bool const isOnTrial = entry.state == Server::State::OnTrial;
    if (evidence == ServerEvidence::Responded) {
        if (!isOnTrial)
            entry.points = 0;
        return actions;
    }
    // The first failure on trial counts, whenever it comes.
    if (now >= entry.evidenceUntil && !isOnTrial)
        entry.points = 0;
    entry.evidenceUntil = now + options_.evidenceLifetime;
    entry.failedAt = now;
    entry.points +=
        evidence == ServerEvidence::FreshConnectionFailed ? options_.pointsPerFailedConnection : options_.pointsPerErrorResponse;
    ejectIfDue(server, entry, evidence, now, actions);
    return actions;
}

void ServerHealth::onAnswered(ServerId const &server, Instant sentAt, Instant now)
{
    auto const found = servers_.find(server);
    if (found == servers_.end())
        return;
    auto &entry = found->second;
    entry.answeredAt = now;
    // Only a probe restores a server. One that fails all new requests may still go on with older streams.
    bool const isNews = sentAt >= (entry.state == Server::State::OnTrial ? entry.restoredAt : entry.failedAt);
    if (!isInUse(entry) || !isNews)
        return;
    entry.state = Server::State::InUse;
    entry.points = 0;
    entry.ejections = 0;
}

void ServerHealth::onSent(ServerId const &server, Instant now)
{
    if (auto const found = servers_.find(server); found != servers_.end())
        found->second.nextTrialAt = now + options_.trialInterval;
}

bool ServerHealth::isInUse(Server const &server)
{
    return server.state == Server::State::InUse || server.state == Server::State::OnTrial;
}

bool ServerHealth::mayEject(PoolName const &pool) const
{
    std::size_t all = 0;
    std::size_t ejected = 0;
    for (auto const &[id, server] : servers_) {
        if (server.pool != pool)
            continue;
        ++all;
        ejected += isInUse(server) ? 0 : 1;
    }
    auto const maxEjected =
        std::max<std::size_t>(all >= 2 ? 1 : 0, static_cast<std::size_t>(static_cast<double>(all) * options_.maxEjectedShare));
    return ejected < maxEjected;
}

void ServerHealth::ejectIfDue(ServerId const &id, Server &server, ServerEvidence evidence, Instant now, std::vector<HealthAction> &actions)
{
    if (server.points < options_.ejectAtPoints || !mayEject(server.pool))
        return;
    server.state = Server::State::Ejected;
    bool const isFirst = server.ejections == 0;
    server.probeDelay = isFirst ? options_.firstProbeDelay : std::min(server.probeDelay * 2, options_.maxProbeDelay);
    if (isFirst)
        server.unhealthyTrialDelay = options_.firstUnhealthyTrialDelay;
    server.unhealthyTrialAt = now + server.unhealthyTrialDelay;
    ++server.ejections;
    scheduleProbe(server, now);
    actions.emplace_back(ServerEjected{.server = id, .evidence = evidence, .ejections = server.ejections});
}

/// Spreads the probes of instances that ejected the server at the same time.
void ServerHealth::scheduleProbe(Server &server, Instant now)
{
    std::uniform_real_distribution<double> spread(0.75, 1.25);
    server.probeAt = now + Duration(static_cast<Duration::rep>(static_cast<double>(server.probeDelay.count()) * spread(random_)));
}

std::vector<HealthAction> ServerHealth::onProbe(ServerId const &server, ProbeOutcome outcome, Instant now)
{
    std::vector<HealthAction> actions;
    auto const found = servers_.find(server);
    if (found == servers_.end() || found->second.state != Server::State::Probing)
        return actions;
    auto &entry = found->second;
    bool const isTriedUnhealthy = outcome == ProbeOutcome::Unhealthy && now >= entry.unhealthyTrialAt;
    if (outcome != ProbeOutcome::Answered && !isTriedUnhealthy) {
        entry.state = Server::State::Ejected;
        entry.probeDelay = std::min(entry.probeDelay * 2, options_.maxProbeDelay);
        scheduleProbe(entry, now);
        return actions;
    }
    if (isTriedUnhealthy)
        entry.unhealthyTrialDelay = std::min(entry.unhealthyTrialDelay * 2, options_.maxUnhealthyTrialDelay);
    startTrial(entry, now);
    actions.emplace_back(ServerRestored{.server = server, .outcome = outcome, .ejections = entry.ejections});
    // The bound now allows another server with enough evidence to be ejected.
    for (auto &[id, other] : servers_) {
        if (id != server && other.pool == entry.pool && isInUse(other) && now < other.evidenceUntil)
            ejectIfDue(id, other, ServerEvidence::FreshConnectionFailed, now, actions);
    }
    return actions;
}

void ServerHealth::startTrial(Server &server, Instant now)
{
    server.state = Server::State::OnTrial;
    server.restoredAt = now;
    server.nextTrialAt = now;
    // One more failure ejects it again, because a probe exercises less than a request does.
    server.points = options_.ejectAtPoints - 1;
    server.evidenceUntil = now + options_.evidenceLifetime;
}

std::vector<HealthAction> ServerHealth::onTick(Instant now)
{
    std::vector<HealthAction> actions;
    for (auto &[id, server] : servers_) {
        if (server.state != Server::State::Ejected || now < server.probeAt)
            continue;
        server.state = Server::State::Probing;
        actions.emplace_back(ProbeServer{id});
    }
    return actions;
}

void ServerHealth::onPathRestored(Instant now)
{
    for (auto &[id, server] : servers_) {
        if (server.state == Server::State::Ejected)
            server.probeAt = now;
    }
}

std::set<ServerId> ServerHealth::ejected() const
{
    std::set<ServerId> ejected;
    for (auto const &[id, server] : servers_) {
        if (!isInUse(server))
            ejected.insert(id);
    }
    return ejected;
}

std::set<ServerId> ServerHealth::onTrial() const
{
    std::set<ServerId> onTrial;
    for (auto const &[id, server] : servers_) {
        if (server.state == Server::State::OnTrial)
            onTrial.insert(id);
    }
    return onTrial;
}

bool ServerHealth::isAvoided(Server const &server, SendsLeft sendsLeft, Instant now) const
{
    switch (server.state) {
    case Server::State::InUse:
        return sendsLeft == SendsLeft::None && server.points > 0 && now < server.evidenceUntil;
    case Server::State::OnTrial: {
        auto const openAt = sendsLeft == SendsLeft::Some ? server.restoredAt : server.restoredAt + options_.repeatableTrialTime;
        return now < std::max(openAt, server.nextTrialAt);
    }
    case Server::State::Ejected:
    case Server::State::Probing:
        break;
    }
    return false;
}

std::vector<ServerId> ServerHealth::avoided(SendsLeft sendsLeft, Instant now) const
{
    std::vector<ServerId> avoided;
    for (auto const &[id, server] : servers_) {
        if (isAvoided(server, sendsLeft, now))
            avoided.push_back(id);
    }
    return avoided;
}

std::optional<Instant> ServerHealth::answeredAt(ServerId const &server) const
{
    auto const found = servers_.find(server);
    return found == servers_.end() ? std::nullopt : found->second.answeredAt;
}

std::optional<Instant> ServerHealth::nextTick() const
{
    std::optional<Instant> next;
    for (auto const &[id, server] : servers_) {
        if (server.state == Server::State::Ejected && (!next || server.probeAt < *next))
            next = server.probeAt;
    }
    return next;
}

} // namespace Anvilyard::Routing
