#include "Tests/LibRouting/LimitSimulation.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>

namespace Anvilyard::Testing {

using Routing::LimitReply;
using Routing::LimitReport;

namespace {

constexpr Duration Step = 1ms;
constexpr Duration TickInterval = 50ms;
constexpr Duration Window = 5s;
constexpr double AllowedOverrun = 1.1;
constexpr double AllowedSlack = 20;

CustomerId const customer("customer");

InstanceId entryId(std::size_t index)
{
    return InstanceId("entry-" + std::to_string(index));
}

InstanceId runnerId(std::size_t index)
{
    return InstanceId("runner-" + std::to_string(index));
}

} // namespace

LimitSimulation::LimitSimulation(LimitSimulationOptions options)
    : options_(options)
    , random_(options.seed)
    , entries_(options.entries)
    , nextTick_(options.entries)
    , runners_(options.runners)
    , views_(options.entries)
{
    restartAll();
}

void LimitSimulation::restartAll()
{
    network_ = {};
    for (std::size_t index = 0; index < runners_.size(); ++index)
        startRunner(index);
    for (std::size_t index = 0; index < entries_.size(); ++index)
        startEntry(index);
}

void LimitSimulation::startEntry(std::size_t index)
{
    views_[index].clear();
    for (std::size_t runner = 0; runner < runners_.size(); ++runner)
        views_[index].insert(runner);
    entries_[index] = std::make_unique<Routing::FractionLimiter>(Routing::FractionLimiterOptions{
        .self = entryId(index),
        .startedAt = ++starts_,
        .coordinatorOf = [this, index](CustomerId const &) { return coordinatorFor(index); },
    });
    entries_[index]->setKnownEntries(entries_.size());
    entries_[index]->setLimits({{customer, options_.limit}}, now_);
    nextTick_[index] = now_ + Duration(static_cast<Duration::rep>(random_() % TickInterval.count()));
}

void LimitSimulation::startRunner(std::size_t index)
{
    runners_[index] = std::make_unique<Routing::LimitCoordinator>(Routing::LimitCoordinatorOptions{.self = runnerId(index)}, now_);
    runners_[index]->setLimits({{customer, options_.limit}}, now_);
    std::vector<InstanceId> entries;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry)
        entries.push_back(entryId(entry));
    runners_[index]->setKnownEntries(entries, now_);
}

std::optional<InstanceId> LimitSimulation::coordinatorFor(std::size_t entry) const
{
    auto const &view = views_[entry];
    auto const owner = rendezvousOwner(customer.value(), view, [](std::size_t runner) { return runnerId(runner).value(); });
    return owner == view.end() ? std::nullopt : std::optional(runnerId(*owner));
}

void LimitSimulation::setDemand(double perSecond)
{
    demand_ = perSecond;
}

void LimitSimulation::concentrateDemand(std::size_t entries, double share)
{
    busyShare_ = share;
    busy_.clear();
    while (busy_.size() < entries)
        busy_.push_back(random_() % entries_.size());
}

void LimitSimulation::setLimit(Routing::RequestLimit const &limit)
{
    options_.limit = limit;
    for (auto const &entry : entries_)
        entry->setLimits({{customer, limit}}, now_);
    for (auto const &runner : runners_) {
        if (runner)
            runner->setLimits({{customer, limit}}, now_);
    }
}

void LimitSimulation::partition(std::size_t firstEntry, std::size_t firstRunner)
{
    cut_ = {firstEntry, firstRunner};
    scheduleViewChange();
}

void LimitSimulation::heal()
{
    cut_.reset();
    scheduleViewChange();
}

void LimitSimulation::killCoordinator()
{
    std::set<std::size_t> alive;
    for (std::size_t runner = 0; runner < runners_.size(); ++runner) {
        if (runners_[runner])
            alive.insert(runner);
    }
    auto const owner = rendezvousOwner(customer.value(), alive, [](std::size_t runner) { return runnerId(runner).value(); });
    runners_[*owner].reset();
    scheduleViewChange();
}

void LimitSimulation::scheduleViewChange()
{
    viewChangeAt_ = now_ + options_.peerTimeout;
}

bool LimitSimulation::isCut(std::size_t entry, std::size_t runner) const
{
    return cut_ && (entry >= cut_->first) != (runner >= cut_->second);
}

bool LimitSimulation::chance(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(random_);
}

void LimitSimulation::run(Duration duration)
{
    for (auto const end = now_ + duration; now_ < end;) {
        now_ += Step;
        if (viewChangeAt_ && now_ >= *viewChangeAt_) {
            viewChangeAt_.reset();
            for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
                views_[entry].clear();
                for (std::size_t runner = 0; runner < runners_.size(); ++runner) {
                    if (runners_[runner] && !isCut(entry, runner))
                        views_[entry].insert(runner);
                }
                entries_[entry]->refreshCoordinators();
            }
        }
        deliver();
        arrive();
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            if (now_ < nextTick_[entry])
                continue;
            nextTick_[entry] += TickInterval;
            report(entry);
        }
    }
}

void LimitSimulation::arrive()
{
    if (demand_ <= 0)
        return;
    auto const mean = demand_ * std::chrono::duration<double>(Step).count();
    for (auto count = std::poisson_distribution<int>(mean)(random_); count > 0; --count) {
        auto const entry = chance(busyShare_) ? busy_[random_() % busy_.size()] : random_() % entries_.size();
        ++counts_.offered;
        if (!entries_[entry]->tryAdmit(customer, now_)) {
            ++counts_.admitted;
            admitted_.push_back(now_);
        }
        if (entries_[entry]->isReportUrgent())
            report(entry);
    }
}

void LimitSimulation::report(std::size_t entry)
{
    for (auto &[runner, report] : entries_[entry]->takeReports(now_)) {
        std::size_t index = 0;
        while (runnerId(index) != runner)
            ++index;
        send({.entry = entry, .runner = index, .content = std::move(report)});
    }
}

void LimitSimulation::send(Message message)
{
    ++counts_.datagrams;
    if (auto const *report = std::get_if<LimitReport>(&message.content))
        counts_.records += report->usage.size();
    else
        counts_.records += std::get<LimitReply>(message.content).grants.size();
    if (chance(options_.lostShare))
        return;
    for (int copy = chance(options_.duplicatedShare) ? 2 : 1; copy > 0; --copy) {
        auto const range = (options_.maxDelay - options_.delay).count();
        auto const extra = chance(options_.delayedShare) ? static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(range)) : 0;
        message.arrivesAt = now_ + options_.delay + Duration(extra);
        network_.push(message);
    }
}

void LimitSimulation::deliver()
{
    while (!network_.empty() && network_.top().arrivesAt <= now_) {
        auto const message = network_.top();
        network_.pop();
        if (isCut(message.entry, message.runner))
            continue;
        if (auto const *reply = std::get_if<LimitReply>(&message.content)) {
            entries_[message.entry]->onReply(*reply, now_);
            continue;
        }
        if (auto const &runner = runners_[message.runner])
            send({.entry = message.entry,
                  .runner = message.runner,
                  .content = runner->onReport(std::get<LimitReport>(message.content), now_)});
    }
}

LimitSimulation::Counts const &LimitSimulation::counts() const
{
    return counts_;
}

std::size_t LimitSimulation::worstWindow(Instant since) const
{
    std::size_t worst = 0;
    auto first = admitted_.begin();
    for (auto last = admitted_.begin(); last != admitted_.end(); ++last) {
        while (*first + Window <= *last)
            ++first;
        if (*last >= since)
            worst = std::max(worst, static_cast<std::size_t>(last - first) + 1);
    }
    return worst;
}

double LimitSimulation::allowedInWindow(Routing::RequestLimit const &limit)
{
    auto const inWindow = limit.perSecond * std::chrono::duration<double>(Window).count() + limit.burst;
    return inWindow * AllowedOverrun + AllowedSlack;
}

Instant LimitSimulation::now() const
{
    return now_;
}

} // namespace Anvilyard::Testing
