#include "LibRouting/ShareDivider.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Routing {

namespace {

/// Headroom above the observed demand, so that a share can follow growing demand.
constexpr double DemandHeadroom = 1.25;
/// Part of an equal share that an instance gets at least, however low its demand is.
constexpr double MinPartOfEqualShare = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ShareDivider::ShareDivider(ShareDividerOptions options, double limitPerSecond, Instant grantsFrom)
    : options_(options)
    , limitPerSecond_(limitPerSecond)
    , grantsFrom_(grantsFrom)
{
}

void ShareDivider::setLimit(double limitPerSecond)
{
    limitPerSecond_ = limitPerSecond;
}

double ShareDivider::reserveShare(ShareDividerOptions const &options, double limitPerSecond, std::size_t instances)
{
    return limitPerSecond * options.reserve / static_cast<double>(std::max<std::size_t>(1, instances));
}

/// Cumulative counters make lost and duplicated reports harmless. A report older than the latest one is ignored.
void ShareDivider::updateDemand(Reporter &reporter, std::uint64_t incarnation, UsageCounters const &counters, Instant now)
{
    if (incarnation < reporter.incarnation)
        return;
    if (incarnation > reporter.incarnation) {
        reporter.incarnation = incarnation;
        reporter.latestCounters = {};
    }
    auto const gained = counters.used + counters.refused - reporter.latestCounters.used - reporter.latestCounters.refused;
    if (gained < 0)
        return;
    auto const elapsed = std::max(seconds(now - reporter.reportedAt), 0.05);
    auto const weight = std::exp(-elapsed / seconds(options_.demandWindow));
    reporter.demandPerSecond = weight * reporter.demandPerSecond + (1 - weight) * gained / elapsed;
    reporter.latestCounters = counters;
    reporter.reportedAt = now;
    if (gained > 0)
        reporter.demandedAt = now;
}

double ShareDivider::inUse(Reporter const &reporter, Instant now)
{
    double maxInUse = 0;
    for (auto const &grant : reporter.grants) {
        if (now < grant.until)
            maxInUse = std::max(maxInUse, grant.perSecond);
    }
    return maxInUse;
}

void ShareDivider::removeIdle(Instant now)
{
    std::erase_if(reporters_, [&](auto const &entry) {
        return entry.second.demandedAt + options_.idleLifetime <= now && inUse(entry.second, now) <= 0;
    });
}

/// Divides all that may be granted by demand, with a minimum for each instance that reported demand recently.
double ShareDivider::target(InstanceId const &instance) const
{
    auto const grantable = limitPerSecond_ * (1 - options_.reserve);
    auto const minimum = MinPartOfEqualShare * grantable / static_cast<double>(reporters_.size());
    double demand = 0;
    double totalDemand = 0;
    for (auto const &[id, reporter] : reporters_) {
        auto const reporterDemand = std::max(minimum, DemandHeadroom * reporter.demandPerSecond);
        totalDemand += reporterDemand;
        if (id == instance)
            demand = reporterDemand;
    }
    return totalDemand > 0 ? grantable * demand / totalDemand : 0;
}

/// Ignores the serial of another divider, which gives no information about the shares granted here.
void ShareDivider::removeReplaced(Reporter &reporter, std::uint64_t serialInUse)
{
    auto &grants = reporter.grants;
    bool const isOurs = std::any_of(grants.begin(), grants.end(), [&](auto const &grant) { return grant.serial == serialInUse; });
    if (isOurs)
        std::erase_if(grants, [&](auto const &grant) { return grant.serial < serialInUse; });
}

std::optional<double>
ShareDivider::onReport(InstanceId const &from, std::uint64_t incarnation, UsageCounters const &counters, std::uint64_t serial, Instant now)
{
    removeIdle(now);
    auto const [position, isNew] = reporters_.try_emplace(from);
    auto &reporter = position->second;
    if (isNew) {
        // The counters of the first report may cover any length of time, so only later increases count as demand.
        reporter.incarnation = incarnation;
        reporter.latestCounters = counters;
        reporter.reportedAt = now;
        reporter.demandedAt = now;
    }
    updateDemand(reporter, incarnation, counters, now);
    removeReplaced(reporter, counters.shareSerial);
    if (now < grantsFrom_)
        return std::nullopt;
    double others = 0;
    for (auto const &[id, other] : reporters_) {
        if (id != from)
            others += inUse(other, now);
    }
    auto const available = std::max(0.0, limitPerSecond_ * (1 - options_.reserve) - others);
    auto const share = std::min(target(from), available);
    std::erase_if(reporter.grants, [&](auto const &grant) { return grant.until <= now; });
    reporter.grants.push_back({.serial = serial, .perSecond = share, .until = now + options_.shareLifetime + options_.maxDeliveryTime});
    return share;
}

double ShareDivider::maxGranted(Instant now) const
{
    double sum = 0;
    for (auto const &[id, reporter] : reporters_)
        sum += inUse(reporter, now);
    return sum;
}

bool ShareDivider::isIdle(Instant now) const
{
    return std::all_of(reporters_.begin(), reporters_.end(), [&](auto const &entry) {
        return entry.second.demandedAt + options_.idleLifetime <= now && inUse(entry.second, now) <= 0;
    });
}

} // namespace Anvilyard::Routing
