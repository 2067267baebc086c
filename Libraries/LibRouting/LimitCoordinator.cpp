#include "LibRouting/LimitCoordinator.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace Anvilyard::Routing {

namespace {

constexpr Duration ForgetInterval = 1s;
/// Counts of an entry that arrive closer together than this are averaged as if they had taken this long.
constexpr Duration MinCountInterval = 20ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double weightOf(Duration elapsed, Duration timeConstant)
{
    return 1 - std::exp(-seconds(elapsed) / seconds(timeConstant));
}

} // namespace

LimitCoordinator::LimitCoordinator(LimitCoordinatorOptions options, Instant now)
    : options_(std::move(options))
    , forgetAt_(now + ForgetInterval)
{
}

void LimitCoordinator::setLimits(std::unordered_map<CustomerId, RequestLimit> const &limits, Instant now)
{
    std::erase_if(customers_, [&](auto const &entry) { return !limits.contains(entry.first); });
    for (auto const &[id, limit] : limits) {
        auto const [position, isNew] = customers_.try_emplace(id);
        auto &customer = position->second;
        if (isNew) {
            customer.refilledAt = now;
            customer.fractionAt = now;
        }
        if (customer.limit == limit)
            continue;
        refill(customer, now);
        customer.limit = limit;
        customer.level = std::min(customer.level, capacityOf(customer));
    }
}

void LimitCoordinator::setKnownEntries(std::vector<InstanceId> const &entries, Instant now)
{
    for (auto const &id : entries)
        entries_.try_emplace(id, Entry{.aliveAt = now});
}

void LimitCoordinator::onEntriesAlive(std::vector<InstanceId> const &entries, Instant now)
{
    for (auto const &id : entries) {
        if (auto const found = entries_.find(id); found != entries_.end())
            found->second.aliveAt = now;
    }
}

bool LimitCoordinator::isSilent(Entry const &entry, Instant now) const
{
    return !entry.heardAt || now - *entry.heardAt >= options_.silenceTimeout;
}

double LimitCoordinator::capacityOf(Customer const &customer) const
{
    auto const &limit = customer.limit;
    auto const inWindow = limit.perSecond * seconds(options_.toleranceWindow) + limit.burst;
    return limit.burst + options_.tolerance + options_.tolerancePart * inWindow;
}

double LimitCoordinator::withheldRate(Customer const &customer, InstanceId const &id, Entry const &entry, Instant now) const
{
    if (!isSilent(entry, now) || now - entry.aliveAt >= options_.forgetTimeout)
        return 0;
    auto const equalShare = customer.limit.perSecond / static_cast<double>(entries_.size());
    auto const found = customer.usage.find(id);
    if (!entry.heardAt || now - *entry.heardAt >= options_.equalShareTimeout || found == customer.usage.end())
        return equalShare;
    return found->second.sharePerSecond;
}

void LimitCoordinator::refill(Customer &customer, Instant now)
{
    if (now <= customer.refilledAt)
        return;
    auto const elapsed = seconds(now - customer.refilledAt);
    auto rate = customer.limit.perSecond;
    for (auto const &[id, entry] : entries_) {
        auto const withheld = std::min(rate, withheldRate(customer, id, entry, now));
        if (withheld <= 0)
            continue;
        rate -= withheld;
        if (auto const found = customer.usage.find(id); found != customer.usage.end())
            found->second.withheld += withheld * elapsed;
    }
    customer.level = std::min(capacityOf(customer), customer.level + rate * elapsed);
    customer.refilledAt = now;
}

/// The first counts of an entry may have been charged by another coordinator, so only later increases are charged. An entry counts from
/// zero after its start, and after the customer was removed and added again.
void LimitCoordinator::charge(Customer &customer, LimitReport const &report, CustomerUsage const &counts, Instant now)
{
    auto const [position, isNew] = customer.usage.try_emplace(report.entry);
    auto &usage = position->second;
    // The first coordinator of an entry charges all of its counts, a later one only what it decides on since then.
    auto const sinceStart =
        usage.startedAt == report.startedAt ? usage.counts.coordinatorChanges : std::min<std::uint64_t>(1, counts.coordinatorChanges);
    bool const hasReturned = counts.coordinatorChanges != sinceStart;
    if (isNew || hasReturned)
        return startCounting(customer, usage, report, counts, now);
    customer.countedAt = now;
    bool const hasRestarted =
        usage.startedAt != report.startedAt || counts.admitted < usage.counts.admitted || counts.refused < usage.counts.refused;
    if (hasRestarted) {
        usage.startedAt = report.startedAt;
        usage.counts = {};
    }
    auto const admitted = static_cast<double>(counts.admitted - usage.counts.admitted);
    auto const refused = static_cast<double>(counts.refused - usage.counts.refused);
    customer.level += std::min(admitted, std::exchange(usage.withheld, 0)) - admitted;
    customer.offeredSince += admitted + refused;
    auto const elapsed = std::max(now - usage.countedAt, MinCountInterval);
    auto const before = usage.admittedPerSecond;
    usage.admittedPerSecond += (admitted / seconds(elapsed) - before) * weightOf(elapsed, options_.shareWindow);
    customer.admittedPerSecond += usage.admittedPerSecond - before;
    usage.counts = counts;
    usage.countedAt = now;
    if (admitted + refused > 0)
        usage.demandAt = now;
}

void LimitCoordinator::startCounting(
    Customer &customer, Usage &usage, LimitReport const &report, CustomerUsage const &counts, Instant now) const
{
    // Another coordinator may have granted what was left here.
    if (customer.countedAt != Instant::min() && now - customer.countedAt >= options_.silenceTimeout)
        customer.level = std::min(customer.level, 0.0);
    customer.countedAt = now;
    customer.admittedPerSecond -= usage.admittedPerSecond;
    usage = {.startedAt = report.startedAt, .counts = counts, .countedAt = now};
}

void LimitCoordinator::updateFraction(Customer &customer, Instant now)
{
    auto const elapsed = now - customer.fractionAt;
    if (elapsed < options_.fractionInterval)
        return;
    refill(customer, now);
    auto &offered = customer.offeredPerSecond;
    offered += (std::exchange(customer.offeredSince, 0) / seconds(elapsed) - offered) * weightOf(elapsed, options_.offeredWindow);
    customer.fractionAt = now;
    customer.activeEntries = static_cast<std::size_t>(std::count_if(customer.usage.begin(), customer.usage.end(), [&](auto const &entry) {
        return entry.second.demandAt != Instant::min() && now - entry.second.demandAt < options_.shareWindow;
    }));
    auto const available = customer.limit.perSecond + customer.level / seconds(options_.settlingTime);
    customer.fraction = available >= offered ? 1 : std::max(0.0, available / offered);
}

void LimitCoordinator::updateShare(Customer const &customer, Usage &usage) const
{
    auto const limit = customer.limit.perSecond;
    auto const spare = std::max(0.0, limit - customer.admittedPerSecond) / static_cast<double>(entries_.size());
    auto const scale = customer.admittedPerSecond > limit ? limit / customer.admittedPerSecond : 1;
    usage.sharePerSecond = usage.admittedPerSecond * scale + spare;
}

double LimitCoordinator::advanceFor(Customer const &customer, Usage const &usage, Instant now) const
{
    auto const aheadTime = seconds(options_.advanceTime);
    bool const isActive = usage.demandAt != Instant::min() && now - usage.demandAt < options_.shareWindow;
    auto const sharers = static_cast<double>(customer.activeEntries + (isActive ? 0 : 1));
    auto const left = std::max(0.0, customer.level + customer.limit.perSecond * aheadTime);
    return options_.minAdvance + left / std::max(1.0, sharers) + usage.admittedPerSecond * aheadTime;
}

LimitReply LimitCoordinator::onReport(LimitReport const &report, Instant now)
{
    LimitReply reply{.coordinator = options_.self, .startedAt = report.startedAt, .reportSentAt = report.sentAt};
    forgetSilent(now);
    auto &entry = entries_.try_emplace(report.entry, Entry{.aliveAt = now}).first->second;
    bool const isNewest = std::tie(report.startedAt, report.sentAt) >= std::tie(entry.startedAt, entry.reportSentAt);
    // Refilled first, as long as the entry counts as silent.
    for (auto const &counts : report.usage) {
        auto const found = customers_.find(counts.customer);
        if (found == customers_.end())
            continue;
        auto &customer = found->second;
        if (now - customer.refilledAt >= options_.fractionInterval)
            refill(customer, now);
        if (isNewest)
            charge(customer, report, counts, now);
    }
    if (!isNewest)
        return reply;
    entry.startedAt = report.startedAt;
    entry.reportSentAt = report.sentAt;
    entry.heardAt = now;
    entry.aliveAt = now;
    for (auto const &counts : report.usage) {
        auto const found = customers_.find(counts.customer);
        if (found == customers_.end())
            continue;
        auto &customer = found->second;
        updateFraction(customer, now);
        auto &usage = customer.usage.at(report.entry);
        updateShare(customer, usage);
        reply.grants.push_back({
            .customer = counts.customer,
            .fraction = customer.fraction,
            .sharePerSecond = usage.sharePerSecond,
            .counted = usage.counts.admitted,
            .advance = advanceFor(customer, usage, now),
        });
    }
    return reply;
}

void LimitCoordinator::forgetSilent(Instant now)
{
    if (now < forgetAt_)
        return;
    forgetAt_ = now + ForgetInterval;
    for (auto const &[id, entry] : entries_) {
        if (now - entry.aliveAt < options_.forgetTimeout)
            continue;
        for (auto &[customerId, customer] : customers_) {
            if (auto const usage = customer.usage.find(id); usage != customer.usage.end()) {
                customer.admittedPerSecond -= usage->second.admittedPerSecond;
                customer.usage.erase(usage);
            }
        }
    }
}

std::vector<LimitCoordinator::LimitedCustomer> LimitCoordinator::limitedCustomers(Instant now) const
{
    std::vector<LimitedCustomer> limited;
    for (auto const &[id, customer] : customers_) {
        bool const isCurrent = now - customer.fractionAt < options_.silenceTimeout;
        if (isCurrent && customer.fraction < 1)
            limited.push_back({.customer = id, .limit = customer.limit, .offeredPerSecond = customer.offeredPerSecond});
    }
    return limited;
}

} // namespace Anvilyard::Routing
