#include "Services/Node/ServerLimits.h"

#include "LibObserve/Events.h"

#include <algorithm>

namespace Anvilyard::Node {

namespace {

void logLimit(Serving::ServerLimit const &limit, char const *source)
{
    Observe::log(Observe::Events::NodeServerLimitChanged,
                 {{"server", limit.server.id.value()},
                  {"server_started_at", std::to_string(limit.server.startedAt)},
                  {"requests_per_second", limit.rate ? std::to_string(limit.rate->value()) : "unlimited"},
                  {"source", source}});
}

} // namespace

void ServerLimits::onResponse(Serving::ServerRecord const &server, Serving::StatedLimit const &stated, Instant sentAt)
{
    if (stated.kind == Serving::StatedLimit::Kind::Unreadable) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", server.id.value()}, {"error", "the stated limit is not a rate"}});
        return;
    }
    auto &limits = allowances_.limits();
    if (limits.onResponse(processOf(server), stated, sentAt, readLocalClock()))
        logLimit(limits.all().at(server.id), "response");
}

void ServerLimits::merge(std::span<Serving::ServerLimit const> limits, Instant now)
{
    auto &known = allowances_.limits();
    for (auto const &limit : limits) {
        if (known.merge(std::span(&limit, 1), now))
            logLimit(known.all().at(limit.server.id), "peer");
    }
}

void ServerLimits::onDenied(Serving::ServerProcess const &server, Serving::Urgency urgency, Instant until)
{
    allowances_.onDenied(server, urgency, until);
}

Serving::ServerAllowances const &ServerLimits::allowances() const
{
    return allowances_;
}

bool ServerLimits::isLimited(Serving::ServerRecord const &server) const
{
    return allowances_.limits().find(processOf(server)).has_value();
}

std::size_t ServerLimits::limitedServers() const
{
    auto const &limits = allowances_.limits().all();
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](auto const &entry) { return entry.second.rate.has_value(); }));
}

} // namespace Anvilyard::Node
