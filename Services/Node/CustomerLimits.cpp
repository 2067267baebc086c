#include "Services/Node/CustomerLimits.h"

#include "LibObserve/Events.h"

#include <algorithm>

namespace Anvilyard::Node {

namespace {

constexpr Duration InstancesRefreshInterval = 1s;
/// A customer whose demand pulsates around its limit is logged once.
constexpr Duration LimitedLogHold = 10s;
/// Each customer has three metrics. Those beyond this number share the label "other".
constexpr std::size_t MaxCustomerLabels = 256;
CustomerId const otherCustomers("other");

std::unordered_map<CustomerId, Routing::RequestLimit> limitsOf(Serving::RouteTable const &routes)
{
    std::unordered_map<CustomerId, Routing::RequestLimit> limits;
    if (auto const *customers = routes.customers()) {
        for (auto const &customer : customers->all()) {
            if (customer.requestsPerSecond > 0)
                limits[customer.id] = {.perSecond = customer.requestsPerSecond, .burst = customer.burst};
        }
    }
    return limits;
}

} // namespace

CustomerLimits::CustomerLimits(NodeContext &context, SendDatagram send)
    : context_(context)
    , send_(std::move(send))
{
    context_.onLimitDatagram = [this](std::string_view content) { onDatagram(content); };
    if (context_.settings.role == Serving::InstanceRole::Runner) {
        coordinator_.emplace(Routing::LimitCoordinatorOptions{.self = context_.settings.instance}, readLocalClock());
        return;
    }
    limiter_.emplace(Routing::FractionLimiterOptions{
        .self = context_.settings.instance,
        .startedAt = readClocks().wall.time_since_epoch().count(),
        .coordinatorOf = [this](CustomerId const &customer) { return context_.peers.limitCoordinatorOf(customer); },
    });
}

std::optional<Duration> CustomerLimits::tryAdmit(Serving::Customer const &customer, Instant now)
{
    if (!limiter_)
        return std::nullopt;
    auto const wait = limiter_->tryAdmit(customer.id, now);
    if (limiter_->isReportUrgent())
        scheduleReports(now);
    return wait;
}

/// The report leaves after the current turn of the event loop, so that the request is not delayed.
void CustomerLimits::scheduleReports(Instant now)
{
    if (reportTimer_)
        return;
    reportTimer_ = context_.loop.at(now, [this] {
        reportTimer_.reset();
        sendReports(readLocalClock());
    });
}

void CustomerLimits::onStateChanged(Instant now)
{
    if (!context_.routes || appliedRoutes_ == context_.routes)
        return;
    appliedRoutes_ = context_.routes;
    auto const limits = limitsOf(*context_.routes);
    hasLimits_ = !limits.empty();
    refreshInstances(now);
    if (limiter_) {
        limiter_->setLimits(limits, now);
        sendReports(now);
    }
    if (coordinator_)
        coordinator_->setLimits(limits, now);
}

void CustomerLimits::refreshInstances(Instant now)
{
    instancesRefreshAt_ = now + InstancesRefreshInterval;
    auto const others = context_.otherEntries();
    if (limiter_)
        limiter_->setKnownEntries(others.size() + 1);
    if (!coordinator_)
        return;
    std::vector<InstanceId> ids;
    std::vector<InstanceId> alive;
    for (auto const &entry : others) {
        ids.push_back(entry.id);
        if (context_.peers.find(entry.id))
            alive.push_back(entry.id);
    }
    coordinator_->setKnownEntries(ids, now);
    coordinator_->onEntriesAlive(alive, now);
}

void CustomerLimits::onTick(Instant now)
{
    onStateChanged(now);
    if (!hasLimits_)
        return;
    if (!instancesRefreshAt_ || now >= *instancesRefreshAt_)
        refreshInstances(now);
    sendReports(now);
    logGrantChange(now);
    logLimitedCustomers(now);
}

void CustomerLimits::sendReports(Instant now)
{
    if (!limiter_ || !hasLimits_)
        return;
    if (auto const topology = context_.peers.topologyVersion(); std::exchange(seenTopology_, topology) != topology)
        limiter_->refreshCoordinators();
    for (auto &[runner, report] : limiter_->takeReports(now)) {
        auto const address = context_.peers.addressOf(runner);
        if (!address)
            continue;
        auto const usage = std::exchange(report.usage, {});
        for (std::size_t first = 0; first < usage.size() || first == 0; first += Serving::MaxCustomersPerMessage) {
            auto const last = std::min(usage.size(), first + Serving::MaxCustomersPerMessage);
            report.usage.assign(usage.begin() + static_cast<std::ptrdiff_t>(first), usage.begin() + static_cast<std::ptrdiff_t>(last));
            send_(*address, Serving::encodeLimitReport({.replyTo = context_.settings.peers, .report = report}));
        }
    }
}

void CustomerLimits::onDatagram(std::string_view content)
{
    auto const reject = [](Error const &error) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", "limits of customers of a peer"}, {"error", error.toString()}});
    };
    auto const now = readLocalClock();
    if (Serving::isLimitReply(content)) {
        auto const reply = Serving::decodeLimitReply(content);
        if (!reply)
            return reject(reply.error());
        if (limiter_)
            limiter_->onReply(*reply, now);
        return;
    }
    auto const report = Serving::decodeLimitReport(content);
    return report ? onReport(*report, now) : reject(report.error());
}

void CustomerLimits::onReport(Serving::AddressedLimitReport const &addressed, Instant now)
{
    if (!coordinator_ || !hasLimits_)
        return;
    send_(addressed.replyTo, Serving::encodeLimitReply(coordinator_->onReport(addressed.report, now)));
}

/// Logs when coordinators do not reply, so that this entry uses equal shares.
void CustomerLimits::logGrantChange(Instant now)
{
    if (!limiter_)
        return;
    auto const ungranted = limiter_->ungrantedWithDemand(now);
    if (std::exchange(isUngranted_, ungranted > 0) == (ungranted > 0))
        return;
    if (isUngranted_)
        Observe::log(Observe::Events::NodeLimitGrantsLost, {{"customers", std::to_string(ungranted)}});
    else
        Observe::log(Observe::Events::NodeLimitGrantsBack);
}

void CustomerLimits::logLimitedCustomers(Instant now)
{
    if (!coordinator_)
        return;
    for (auto const &limited : coordinator_->limitedCustomers(now)) {
        if (limitedUntil_.insert_or_assign(limited.customer, now + LimitedLogHold).second)
            Observe::log(Observe::Events::NodeCustomerLimited,
                         {{"customer", limited.customer.value()},
                          {"requests_per_second", std::to_string(limited.offeredPerSecond)},
                          {"limit", std::to_string(limited.limit.perSecond)}});
    }
    std::erase_if(limitedUntil_, [&](auto const &entry) { return now >= entry.second; });
}

CustomerLimits::Metrics &CustomerLimits::metricsOf(CustomerId const &customer)
{
    bool const isNew = !metrics_.contains(customer);
    auto const &name = isNew && metrics_.size() >= MaxCustomerLabels ? otherCustomers : customer;
    auto const [position, isAdded] = metrics_.try_emplace(name);
    auto &metrics = position->second;
    if (!isAdded)
        return metrics;
    auto const requests = [&](char const *decision) -> Observe::Counter & {
        return context_.metrics.counter("anvilyard_node_customer_requests_total",
                                        "Online requests of customers with a rate limit, by the decision",
                                        {{"customer", name.value()}, {"decision", decision}});
    };
    metrics.admitted = &requests("admitted");
    metrics.refused = &requests("refused");
    metrics.fraction = &context_.metrics.gauge("anvilyard_node_customer_admission_fraction",
                                               "Part of the requests of a customer that are admitted; -1 without a valid grant",
                                               {{"customer", name.value()}});
    return metrics;
}

void CustomerLimits::refreshMetrics(Instant now)
{
    if (!limiter_)
        return;
    std::map<CustomerId, std::pair<std::uint64_t, std::uint64_t>> sums;
    for (auto const &[customer, counts] : limiter_->counts(now)) {
        auto &metrics = metricsOf(customer);
        auto const &label = metrics_.contains(customer) ? customer : otherCustomers;
        sums[label].first += counts.admitted;
        sums[label].second += counts.refused;
        metrics.fraction->set(counts.fraction.value_or(-1));
    }
    for (auto const &[label, sum] : sums) {
        auto &metrics = metrics_.at(label);
        // A customer that was removed and added again counts from zero.
        auto const increase = [](std::uint64_t count, std::uint64_t &before) {
            auto const last = std::exchange(before, count);
            return count >= last ? count - last : count;
        };
        metrics.admitted->add(increase(sum.first, metrics.admittedBefore));
        metrics.refused->add(increase(sum.second, metrics.refusedBefore));
    }
}

} // namespace Anvilyard::Node
