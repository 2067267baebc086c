#include "LibServing/PermitIssuer.h"

#include <algorithm>

namespace Anvilyard::Serving {

PermitIssuer::PermitIssuer(PermitIssuerOptions options)
    : options_(options)
{
}

Permit PermitIssuer::request(PermitRequest const &request, Instant now)
{
    auto const rate = std::max(request.rate, options_.minRate).value();
    auto const saved = std::max(options_.minSaved, rate * std::chrono::duration<double>(options_.savedTime).count());
    auto found = servers_.find(request.server.id);
    if (found == servers_.end() || found->second.startedAt != request.server.startedAt) {
        removeIdle(now);
        Server server{.startedAt = request.server.startedAt, .permits = Routing::RateLimiter(rate, saved, now), .usedAt = now};
        server.permits.charge(saved - 1, now);
        found = servers_.insert_or_assign(request.server.id, server).first;
    }
    auto &server = found->second;
    server.usedAt = now;
    if (server.permits.perSecond() != rate)
        server.permits.setRate(rate, saved, now);
    auto const wait = server.permits.tryTake(1, reserveFor(request.urgency, saved), now);
    return {.isGranted = wait == Duration::zero(), .wait = wait};
}

double PermitIssuer::reserveFor(Urgency urgency, double saved)
{
    return (saved - 1) * static_cast<double>(urgency) / static_cast<double>(Urgency::Batch);
}

std::size_t PermitIssuer::serverCount() const
{
    return servers_.size();
}

void PermitIssuer::removeIdle(Instant now)
{
    std::erase_if(servers_, [&](auto const &entry) { return now - entry.second.usedAt >= options_.idleTime; });
}

} // namespace Anvilyard::Serving
