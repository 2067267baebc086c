#include "LibServing/ServerAllowances.h"

#include <algorithm>

namespace Anvilyard::Serving {

ServerProcess processOf(ServerRecord const &server)
{
    return {.id = server.id, .startedAt = server.startedAt};
}

ServerLimitTable &ServerAllowances::limits()
{
    return limits_;
}

ServerLimitTable const &ServerAllowances::limits() const
{
    return limits_;
}

void ServerAllowances::onDenied(ServerProcess const &server, Urgency urgency, Instant until)
{
    std::erase_if(exhausted_, [&](auto const &entry) { return !limits_.all().contains(entry.first); });
    auto const limit = limits_.all().find(server.id);
    if (limit == limits_.all().end() || limit->second.server != server)
        return;
    auto &exhaustion = exhausted_[server.id];
    if (exhaustion.server != server || exhaustion.rate != limit->second.rate)
        exhaustion = {.server = server, .rate = limit->second.rate};
    for (auto rank = static_cast<std::size_t>(urgency); rank < UrgencyCount; ++rank)
        exhaustion.until[rank] = std::max(exhaustion.until[rank], until);
}

std::optional<ServerAllowance> ServerAllowances::find(ServerRecord const &server, Urgency urgency, Instant now) const
{
    if (!limits_.find(processOf(server)))
        return std::nullopt;
    auto const &limit = limits_.all().at(server.id);
    ServerAllowance allowance{.rate = *limit.rate};
    auto const found = exhausted_.find(server.id);
    if (found != exhausted_.end() && found->second.server == limit.server && found->second.rate == limit.rate) {
        if (auto const until = found->second.until[static_cast<std::size_t>(urgency)]; until > now)
            allowance.exhaustedUntil = until;
    }
    return allowance;
}

} // namespace Anvilyard::Serving
