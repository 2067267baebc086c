#include "Services/Entry/ShareExchange.h"

#include "LibCore/Random.h"
#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <future>
#include <map>
#include <tuple>
#include <utility>

namespace Anvilyard::Entry {

ShareExchange::ShareExchange(ShareExchangeOptions options)
    : options_(std::move(options))
    , dividers_(options_.shares, static_cast<std::uint32_t>(seedFromSystem()()))
    , self_(std::make_shared<ShareExchange *>(this))
{
    options_.table.onShareNeeded([this] { options_.control.post([this] { onShareNeeded(); }); });
    dividers_.onInstancesChanged(readLocalClock());
    scheduleTick();
}

void ShareExchange::scheduleTick()
{
    options_.control.postAt(readLocalClock() + options_.interval, [weak = std::weak_ptr(self_)] {
        if (auto const self = weak.lock())
            (*self)->tick();
    });
}

void ShareExchange::tick()
{
    scheduleTick();
    options_.table.removeIdle(readLocalClock());
    reportUsage(UsageSelection::Active);
}

/// Reports the first key that needs a share at once. Keys that follow within `urgentReportInterval` are reported together at its end.
void ShareExchange::onShareNeeded()
{
    if (std::exchange(isUrgentReportScheduled_, true))
        return;
    auto const at = std::max(readLocalClock(), nextUrgentReportAt_);
    nextUrgentReportAt_ = at + options_.urgentReportInterval;
    options_.control.postAt(at, [weak = std::weak_ptr(self_)] {
        auto const self = weak.lock();
        if (!self)
            return;
        (*self)->isUrgentReportScheduled_ = false;
        (*self)->reportUsage(UsageSelection::ShareNeeded);
    });
}

std::vector<Fleet::Instance> ShareExchange::aliveInstances()
{
    auto const fleet = options_.fleet();
    std::vector<Fleet::Instance> alive;
    std::copy_if(fleet->instances.begin(), fleet->instances.end(), std::back_inserter(alive), [](auto const &instance) {
        return instance.state == Fleet::InstanceState::Alive;
    });
    updateInstances(alive, readLocalClock());
    return alive;
}

void ShareExchange::updateInstances(std::vector<Fleet::Instance> const &alive, Instant now)
{
    std::set<InstanceId> ids;
    for (auto const &instance : alive)
        ids.insert(instance.id);
    if (std::exchange(alive_, ids) != ids)
        dividers_.onInstancesChanged(now);
}

void ShareExchange::reportUsage(UsageSelection which)
{
    auto const alive = aliveInstances();
    std::map<InstanceId, std::pair<Fleet::Instance, std::vector<Peer::UsageCount>>> byDivider;
    for (auto &count : options_.table.takeUsage(which, readLocalClock())) {
        auto const owner =
            rendezvousOwner(count.customer.value(), alive, [](auto const &instance) -> std::string const & { return instance.id.value(); });
        // While no instance is known to be alive, this instance divides the limits for itself.
        auto const divider = owner == alive.end() ? Fleet::Instance{.id = options_.instance} : *owner;
        auto &[instance, counts] = byDivider[divider.id];
        instance = divider;
        counts.push_back(std::move(count));
    }
    for (auto &[id, entry] : byDivider)
        report(entry.first, std::move(entry.second));
}

void ShareExchange::report(Fleet::Instance const &divider, std::vector<Peer::UsageCount> counts)
{
    auto const sentAt = readLocalClock();
    Peer::UsageReport usage{.from = options_.instance, .processIncarnation = options_.processIncarnation, .counts = std::move(counts)};
    auto const apply = [&table = options_.table, sentAt, maxDelay = options_.shares.maxDeliveryTime](auto const &shares) {
        auto const now = readLocalClock();
        // The divider assumes that a share delivered later than this is not used.
        if (now - sentAt > maxDelay)
            return;
        for (auto const &share : shares)
            table.applyShare(share, sentAt, now);
    };
    if (divider.id == options_.instance)
        return apply(dividers_.onReport(*options_.fleet()->rules, usage, sentAt));
    if (options_.send)
        options_.send(divider.entryPeerAddress, std::move(usage), apply);
}

std::vector<Peer::GrantedShare> ShareExchange::onReport(Peer::UsageReport report)
{
    auto const answer = std::make_shared<std::promise<std::vector<Peer::GrantedShare>>>();
    auto future = answer->get_future();
    options_.control.post([weak = std::weak_ptr(self_), answer, report = std::move(report)] {
        auto const self = weak.lock();
        if (!self)
            return answer->set_value({});
        auto &shareExchange = **self;
        std::ignore = shareExchange.aliveInstances();
        answer->set_value(shareExchange.dividers_.onReport(*shareExchange.options_.fleet()->rules, report, readLocalClock()));
    });
    // A control thread that ends discards its tasks together with the promise.
    if (future.wait_for(options_.shares.maxDeliveryTime) != std::future_status::ready)
        return {};
    try {
        return future.get();
    } catch (std::future_error const &) {
        return {};
    }
}

} // namespace Anvilyard::Entry
