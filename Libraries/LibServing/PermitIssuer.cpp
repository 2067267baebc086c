#include "LibServing/PermitIssuer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Anvilyard::Serving {

namespace {

/// Instances that return after a pause may all do so at once. Together they then send what the limit allows in this time.
constexpr Duration ShareIdleTime = 1s;

} // namespace

PermitIssuer::PermitIssuer(PermitIssuerOptions options)
    : options_(std::move(options))
{
}

Permit PermitIssuer::request(PermitRequest const &request, Instant now)
{
    auto const rate = std::max(request.rate, options_.minRate);
    auto const capacity = capacityFor(rate);
    auto found = servers_.find(request.server.id);
    if (found == servers_.end() || found->second.startedAt != request.server.startedAt || isIdle(found->second, now)) {
        removeIdle(now);
        Server server{.startedAt = request.server.startedAt, .permits = Routing::RateLimiter(rate.value(), capacity, now), .usedAt = now};
        server.permits.charge(capacity - std::min(capacity, options_.firstPermits(rate)), now);
        found = servers_.insert_or_assign(request.server.id, server).first;
    }
    auto &server = found->second;
    server.usedAt = now;
    if (server.permits.perSecond() != rate.value())
        server.permits.setRate(rate.value(), capacity, now);
    auto const wait = server.permits.tryTake(1, reserveFor(request.urgency, capacity), now);
    return {.isGranted = wait == Duration::zero(), .wait = wait};
}

double PermitIssuer::capacityFor(RequestRate rate) const
{
    return std::max(options_.minSaved, rate.value() * std::chrono::duration<double>(options_.savedTime).count());
}

double PermitIssuer::reserveFor(Urgency urgency, double capacity)
{
    return (capacity - 1) * static_cast<double>(urgency) / static_cast<double>(Urgency::Batch);
}

std::size_t PermitIssuer::serverCount() const
{
    return servers_.size();
}

bool PermitIssuer::isIdle(Server const &server, Instant now) const
{
    return now - server.usedAt >= options_.idleTime;
}

void PermitIssuer::removeIdle(Instant now)
{
    std::erase_if(servers_, [&](auto const &entry) { return isIdle(entry.second, now); });
}

PermitIssuerOptions makeShareOptions(RandomSource &random)
{
    return {.minSaved = 1, .minRate = RequestRate(0), .idleTime = ShareIdleTime, .firstPermits = [&random](RequestRate share) {
                auto const inIdleTime = share.value() * std::chrono::duration<double>(ShareIdleTime).count();
                return inIdleTime + std::uniform_real_distribution(0.0, 1.0)(random);
            }};
}

} // namespace Anvilyard::Serving
