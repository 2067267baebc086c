#include "LibRouting/FractionLimiter.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Routing {

namespace {

/// Capacity of the bucket that limits an entry to its share, as a time at the share's rate.
constexpr Duration ShareBurst = 100ms;
/// The multiples of this number modulo 1 are evenly spread, so that refused callers return at different times.
constexpr double SpreadStep = 0.618033988749895;
constexpr double MinFraction = 0.001;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns a number from 0 to 1 that differs between entries and customers.
double spreadOf(std::string_view entry, std::string_view customer)
{
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(rendezvousScore(customer, entry)) / Range;
}

} // namespace

FractionLimiter::FractionLimiter(FractionLimiterOptions options)
    : options_(std::move(options))
{
}

void FractionLimiter::setLimits(std::unordered_map<CustomerId, RequestLimit> const &limits, Instant now)
{
    std::erase_if(customers_, [&](auto const &entry) { return !limits.contains(entry.first); });
    for (auto const &[id, limit] : limits) {
        auto const found = customers_.find(id);
        if (found != customers_.end()) {
            found->second.limit = limit;
            continue;
        }
        auto const allowance = allowanceFor(id);
        customers_.emplace(id,
                           Customer{
                               .limit = limit,
                               // Entries with few requests of a customer would otherwise all refuse the first one.
                               .credit = spreadOf(options_.self.value(), id.value()),
                               .share = RateLimiter(0, allowance, now),
                           });
    }
    refreshCoordinators();
}

void FractionLimiter::setKnownEntries(std::size_t count)
{
    knownEntries_ = std::max<std::size_t>(1, count);
}

void FractionLimiter::refreshCoordinators()
{
    for (auto &[id, coordinator] : coordinators_)
        coordinator.customers.clear();
    for (auto &[id, customer] : customers_) {
        auto const runner = options_.coordinatorOf(id);
        customer.coordinator = runner ? &coordinators_[*runner] : nullptr;
        if (runner && std::exchange(customer.lastCoordinator, runner) != runner)
            ++customer.coordinatorChanges;
        if (customer.coordinator)
            customer.coordinator->customers.push_back(id);
    }
    std::erase_if(coordinators_, [](auto const &entry) { return entry.second.customers.empty(); });
}

double FractionLimiter::equalShare(Customer const &customer) const
{
    return customer.limit.perSecond / static_cast<double>(knownEntries_);
}

/// All entries together get `ungrantedRequests`. If these are fewer than entries, some get one each and the others none.
double FractionLimiter::allowanceFor(CustomerId const &id) const
{
    auto const part = std::min(1.0, options_.ungrantedRequests / static_cast<double>(knownEntries_));
    return spreadOf(id.value(), options_.self.value()) < part ? 1 : 0;
}

bool FractionLimiter::decide(Customer &customer, Instant now)
{
    bool const isGranted = now < customer.grantUntil;
    bool const isCurrent = isGranted && (!customer.unansweredSince || now - *customer.unansweredSince < options_.replyTimeout);
    if (!isCurrent) {
        auto const rate = isGranted ? customer.sharePerSecond : equalShare(customer);
        customer.share.setRate(rate, std::max(1.0, rate * seconds(ShareBurst)), now);
        if (customer.share.tryTake(1, now) > Duration(0))
            return false;
    }
    if (!isGranted)
        return true;
    if (static_cast<double>(customer.admitted) >= customer.admittedUntil)
        return false;
    if (customer.fraction >= 1)
        return true;
    customer.credit += customer.fraction;
    if (customer.credit < 1)
        return false;
    customer.credit -= 1;
    return true;
}

std::optional<Duration> FractionLimiter::tryAdmit(CustomerId const &id, Instant now)
{
    auto const found = customers_.find(id);
    if (found == customers_.end())
        return std::nullopt;
    auto &customer = found->second;
    customer.demandAt = now;
    if (!customer.unansweredSince)
        customer.unansweredSince = now;
    bool const isAdmitted = decide(customer, now);
    ++(isAdmitted ? customer.admitted : customer.refused);
    if (auto const *coordinator = customer.coordinator)
        isReportUrgent_ = isReportUrgent_ || isDue(*coordinator, demandOf(customer), now);
    return isAdmitted ? std::nullopt : std::optional(retryAfter(customer, now));
}

/// Within the settling time, (1/p - 1) requests are refused for each admitted one. If these return, they are spread over the time that the
/// limit needs for them.
Duration FractionLimiter::retryAfter(Customer const &customer, Instant now)
{
    auto const fraction = now < customer.grantUntil ? std::max(customer.fraction, MinFraction) : 0.5;
    auto const backlog = 1 / customer.limit.perSecond + seconds(options_.replyTimeout) * (1 / fraction - 1);
    auto const spread = 0.5 + std::fmod(static_cast<double>(++refusals_) * SpreadStep, 1.0);
    auto const wait = std::min(backlog * spread, seconds(options_.maxRetryAfter));
    return std::max(options_.minRetryAfter, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)));
}

FractionLimiter::Demand FractionLimiter::demandOf(Customer const &customer)
{
    // Until a reply arrives, as the report or the reply may be lost.
    if (!customer.unansweredSince)
        return Demand::None;
    return static_cast<double>(customer.admitted) >= customer.urgentFrom ? Demand::Urgent : Demand::Some;
}

bool FractionLimiter::isDue(Coordinator const &coordinator, Demand demand, Instant now) const
{
    if (coordinator.reportedAt == Instant::min())
        return true;
    auto const sinceReport = now - coordinator.reportedAt;
    bool const isAnswering = now - std::max(coordinator.repliedAt, coordinator.firstReportedAt) < options_.unansweredTimeout;
    if (!isAnswering)
        return sinceReport >= options_.unansweredReportInterval;
    bool const isReportAnswered = coordinator.repliedAt >= coordinator.reportedAt;
    if (demand == Demand::Urgent && isReportAnswered)
        return sinceReport >= options_.urgentReportInterval;
    return sinceReport >= (demand == Demand::None ? options_.idleReportInterval : options_.reportInterval);
}

std::optional<LimitReport> FractionLimiter::composeFor(Coordinator &coordinator, Instant now)
{
    std::vector<CustomerId const *> idle;
    LimitReport report{.entry = options_.self, .startedAt = options_.startedAt, .sentAt = now.time_since_epoch().count()};
    auto demand = Demand::None;
    auto const add = [&](CustomerId const &id, Customer const &customer) {
        report.usage.push_back({.customer = id,
                                .admitted = customer.admitted,
                                .refused = customer.refused,
                                .coordinatorChanges = customer.coordinatorChanges});
    };
    for (auto const &id : coordinator.customers)
        demand = std::max(demand, demandOf(customers_.at(id)));
    if (!isDue(coordinator, demand, now))
        return std::nullopt;
    // Reports between two regular ones are only about customers with demand.
    bool const isRegular =
        coordinator.regularlyReportedAt == Instant::min() || now - coordinator.regularlyReportedAt >= options_.idleReportInterval;
    if (isRegular)
        coordinator.regularlyReportedAt = now;
    for (auto const &id : coordinator.customers) {
        auto const &customer = customers_.at(id);
        if (customer.demandAt != Instant::min() && now - customer.demandAt < options_.demandRetention)
            add(id, customer);
        else
            idle.push_back(&id);
    }
    auto const idleCount = isRegular ? std::min(idle.size(), options_.idleCustomersPerReport) : 0;
    for (std::size_t count = 0; count < idleCount; ++count) {
        auto const &id = *idle[coordinator.nextIdle++ % idle.size()];
        add(id, customers_.at(id));
    }
    if (coordinator.reportedAt == Instant::min())
        coordinator.firstReportedAt = now;
    coordinator.reportedAt = now;
    return report;
}

std::vector<std::pair<InstanceId, LimitReport>> FractionLimiter::takeReports(Instant now)
{
    isReportUrgent_ = false;
    std::vector<std::pair<InstanceId, LimitReport>> reports;
    for (auto &[id, coordinator] : coordinators_) {
        if (auto report = composeFor(coordinator, now))
            reports.emplace_back(id, std::move(*report));
    }
    return reports;
}

bool FractionLimiter::isReportUrgent() const
{
    return isReportUrgent_;
}

void FractionLimiter::onReply(LimitReply const &reply, Instant now)
{
    auto const coordinator = coordinators_.find(reply.coordinator);
    if (reply.startedAt != options_.startedAt || coordinator == coordinators_.end())
        return;
    auto const sentAt = Instant(Duration(reply.reportSentAt));
    coordinator->second.repliedAt = std::max(coordinator->second.repliedAt, std::min(sentAt, now));
    for (auto const &grant : reply.grants) {
        auto const found = customers_.find(grant.customer);
        if (found == customers_.end() || found->second.coordinator != &coordinator->second)
            continue;
        auto &customer = found->second;
        if (reply.reportSentAt <= customer.grantSentAt || sentAt > now || sentAt + options_.grantLifetime <= now)
            continue;
        customer.grantSentAt = reply.reportSentAt;
        customer.grantUntil = sentAt + options_.grantLifetime;
        customer.fraction = std::clamp(grant.fraction, 0.0, 1.0);
        customer.sharePerSecond = std::max(0.0, grant.sharePerSecond);
        customer.admittedUntil = static_cast<double>(grant.counted) + grant.advance;
        customer.urgentFrom = static_cast<double>(grant.counted) + grant.advance / 2;
        // Requests after the report are not answered yet.
        if (customer.unansweredSince && *customer.unansweredSince <= sentAt)
            customer.unansweredSince = customer.demandAt > sentAt ? std::optional(sentAt) : std::nullopt;
        customer.share = RateLimiter(0, allowanceFor(found->first), now);
    }
}

std::size_t FractionLimiter::ungrantedWithDemand(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(customers_.begin(), customers_.end(), [&](auto const &entry) {
        auto const &customer = entry.second;
        bool const isAwaited = customer.unansweredSince && now - *customer.unansweredSince >= options_.replyTimeout;
        return isAwaited && now >= customer.grantUntil && now - customer.demandAt < options_.demandRetention;
    }));
}

std::map<CustomerId, FractionLimiter::CustomerCounts> FractionLimiter::counts(Instant now) const
{
    std::map<CustomerId, CustomerCounts> counts;
    for (auto const &[id, customer] : customers_)
        counts[id] = {.admitted = customer.admitted,
                      .refused = customer.refused,
                      .fraction = now < customer.grantUntil ? std::optional(customer.fraction) : std::nullopt};
    return counts;
}

} // namespace Anvilyard::Routing
