#include "Services/Node/ServerLimits.h"

#include "LibObserve/Events.h"

#include <algorithm>

namespace Anvilyard::Node {

using Serving::ServerProcess;

namespace {

ServerProcess processOf(Serving::ServerRecord const &server)
{
    return {.id = server.id, .startedAt = server.startedAt};
}

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
    if (table_.onResponse(processOf(server), stated, sentAt, readLocalClock()))
        logLimit(table_.all().at(server.id), "response");
}

bool ServerLimits::isLimited(Serving::ServerRecord const &server) const
{
    return table_.find(processOf(server)).has_value();
}

std::size_t ServerLimits::limitedServers() const
{
    auto const &limits = table_.all();
    return static_cast<std::size_t>(
        std::count_if(limits.begin(), limits.end(), [](auto const &entry) { return entry.second.rate.has_value(); }));
}

} // namespace Anvilyard::Node
