#include "Services/Entry/LimitTable.h"

#include <algorithm>
#include <utility>

namespace Anvilyard::Entry {

namespace {

/// Keys without requests for this long need no share.
constexpr Duration DemandPeriod = 10s;
/// Counts are kept for this long after the last request, so that the divider discards an instance before its counts restart at zero.
constexpr Duration RetentionPeriod = 300s;

/// A bucket holds a few seconds of its rate, so that uneven traffic can use its share, and at least one request.
constexpr double BurstSeconds = 3;

double burstOf(double perSecond)
{
    return std::max(1.0, BurstSeconds * perSecond);
}

} // namespace

std::optional<Limit> findLimit(Rules::RuleSet const &rules, LimitKey const &key)
{
    static CustomerId const eachCustomer("*");
    std::optional<Limit> limit;
    for (auto const &rule : rules.limits) {
        if (rule.service != key.service)
            continue;
        if (rule.customer == key.customer)
            return Limit{.requestsPerSecond = rule.requestsPerSecond, .tokensPerSecond = rule.tokensPerSecond};
        if (rule.customer == eachCustomer)
            limit = Limit{.requestsPerSecond = rule.requestsPerSecond, .tokensPerSecond = rule.tokensPerSecond};
    }
    return limit;
}

LimitTable::Entry::Entry(Limit const &entryLimit, double requestShare, double tokenShare, Instant now)
    : limit(entryLimit)
    , requests(requestShare, burstOf(requestShare), now)
    , tokens(tokenShare, burstOf(tokenShare), now)
{
}

LimitTable::LimitTable(Routing::ShareDividerOptions options)
    : options_(options)
{
}

void LimitTable::setShares(Entry &entry, double requestShare, double tokenShare, Instant now)
{
    entry.requests.setRate(requestShare, burstOf(requestShare), now);
    entry.tokens.setRate(tokenShare, burstOf(tokenShare), now);
}

LimitTable::Entry &LimitTable::entryFor(LimitKey const &key, Limit const &limit, std::size_t instances, Instant now)
{
    auto const requestShare = Routing::ShareDivider::reserveShare(options_, limit.requestsPerSecond.value_or(0), instances);
    auto const tokenShare = Routing::ShareDivider::reserveShare(options_, limit.tokensPerSecond.value_or(0), instances);
    auto const [position, isNew] = entries_.try_emplace(key, limit, requestShare, tokenShare, now);
    auto &entry = position->second;
    if (isNew) {
        entry.count.customer = key.customer;
        entry.count.service = key.service;
    }
    // Without a valid share, or when the limit has changed since it was granted, only the reserve is available.
    if (now >= entry.shareExpiresAt || entry.limit != limit) {
        entry.limit = limit;
        entry.shareExpiresAt = now;
        setShares(entry, requestShare, tokenShare, now);
    }
    return entry;
}

void LimitTable::onShareNeeded(std::function<void()> callback)
{
    onShareNeeded_ = std::move(callback);
}

Duration LimitTable::admit(LimitKey const &key, Limit const &limit, std::size_t instances, Instant now)
{
    bool isNewNeed = false;
    auto wait = Duration(0);
    {
        std::lock_guard const guard(mutex_);
        auto &entry = entryFor(key, limit, instances, now);
        entry.lastDemandAt = now;
        wait = take(entry, now);
        // A missing or insufficient share is requested at once instead of with the next regular report.
        if (wait > Duration(0) || now >= entry.shareExpiresAt)
            isNewNeed = !std::exchange(entry.isShareNeeded, true);
    }
    if (isNewNeed && onShareNeeded_)
        onShareNeeded_();
    return wait;
}

Duration LimitTable::take(Entry &entry, Instant now)
{
    auto wait = entry.limit.tokensPerSecond ? entry.tokens.waitUntilPositive(now) : Duration(0);
    if (wait == Duration(0) && entry.limit.requestsPerSecond)
        wait = entry.requests.tryTake(1, now);
    if (wait == Duration(0))
        ++entry.count.requests;
    else
        ++entry.count.refused;
    return wait;
}

void LimitTable::chargeTokens(LimitKey const &key, std::uint64_t tokens, Instant now)
{
    std::lock_guard const guard(mutex_);
    auto const found = entries_.find(key);
    if (found == entries_.end())
        return;
    found->second.tokens.charge(static_cast<double>(tokens), now);
    found->second.count.tokens += tokens;
}

/// Serials increase only within one divider registry, which is identified by their upper half.
bool LimitTable::isNewer(Peer::GrantedShare const &share, Instant reportedAt, Entry const &entry)
{
    bool const isSameDivider = share.serial >> 32 == entry.count.shareSerial >> 32;
    return reportedAt > entry.shareReportedAt && (!isSameDivider || share.serial > entry.count.shareSerial);
}

std::vector<Peer::UsageCount> LimitTable::takeUsage(UsageSelection which, Instant now)
{
    std::lock_guard const guard(mutex_);
    std::vector<Peer::UsageCount> counts;
    for (auto &[key, entry] : entries_) {
        if (which == UsageSelection::ShareNeeded ? !entry.isShareNeeded : now >= entry.lastDemandAt + DemandPeriod)
            continue;
        entry.isShareNeeded = false;
        counts.push_back(entry.count);
    }
    return counts;
}

void LimitTable::applyShare(Peer::GrantedShare const &share, Instant reportedAt, Instant now)
{
    std::lock_guard const guard(mutex_);
    auto const found = entries_.find({share.customer, share.service});
    if (found == entries_.end() || !isNewer(share, reportedAt, found->second))
        return;
    auto &entry = found->second;
    setShares(entry, share.requestsPerSecond, share.tokensPerSecond, now);
    entry.shareExpiresAt = now + share.validFor;
    entry.shareReportedAt = reportedAt;
    entry.count.shareSerial = share.serial;
}

std::uint64_t LimitTable::shareSerial(LimitKey const &key)
{
    std::lock_guard const guard(mutex_);
    auto const found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second.count.shareSerial;
}

void LimitTable::removeIdle(Instant now)
{
    std::lock_guard const guard(mutex_);
    std::erase_if(entries_, [&](auto const &entry) { return entry.second.lastDemandAt + RetentionPeriod <= now; });
}

} // namespace Anvilyard::Entry
