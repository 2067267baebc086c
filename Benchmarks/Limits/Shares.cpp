// Measures how far a customer's limit is exceeded or left unused when many instances enforce shares of it. Reports and replies are
// lost, duplicated, delayed and reordered, and the instance that divides the limit is replaced. Runs the entry's LimitTable and
// ShareDividerRegistry on a simulated clock.

#include "Benchmarks/Limits/Measurements.h"
#include "LibCore/Random.h"
#include "Services/Entry/LimitTable.h"
#include "Services/Entry/ShareDividerRegistry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace {

using namespace Anvilyard;

constexpr Duration Step = 5ms;
constexpr Duration RunLength = 3min;
/// Time at which the instance that divides the limit is replaced and its state is lost.
constexpr Duration DividerReplacedAt = 90s;
constexpr Duration ReportInterval = 1s;
constexpr Duration UrgentReportInterval = 200ms;
/// Interval at which demand shifts to other instances.
constexpr Duration DemandShiftInterval = 20s;
constexpr Duration Window = 10s;
constexpr double LostShare = 0.1;
constexpr double DuplicatedShare = 0.05;
constexpr double DelayedShare = 0.1;
constexpr double OverrunTarget = 0.05;
constexpr double UnderuseTarget = 0.2;

Entry::LimitKey const key{CustomerId("shop-17"), ServiceName("fault-notes")};

struct Message {
    Instant arrivesAt;
    std::size_t instance = 0;
    Instant sentAt;
    /// A report to the divider, or shares in reply to one.
    std::variant<Peer::UsageReport, std::vector<Peer::GrantedShare>> content;

    bool operator>(Message const &other) const
    {
        return arrivesAt > other.arrivesAt;
    }
};

struct Outcome {
    double admitted = 0;
    double offered = 0;
    double allowed = 0;
    double worstWindow = 0;
};

/// Simulates the instances, their network and the demand of one customer.
class LimitRun
{
public:
    LimitRun(LimitRun const &) = delete;
    LimitRun &operator=(LimitRun const &) = delete;

    LimitRun(std::size_t instances, double limit, double demand)
        : random_(instances)
        , limit_(limit)
        , demand_(demand)
        , needsShare_(instances)
        , nextUrgentReport_(instances)
        , registry_(std::make_unique<Entry::ShareDividerRegistry>(dividerOptions_, 1))
    {
        rules_.limits = {{.customer = key.customer, .service = key.service, .requestsPerSecond = limit}};
        for (std::size_t index = 0; index < instances; ++index) {
            tables_.push_back(std::make_unique<Entry::LimitTable>(dividerOptions_));
            tables_.back()->onShareNeeded([this, index] { needsShare_[index] = true; });
            nextReport_.push_back(now_
                                  + Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(ReportInterval.count()))));
        }
    }

    Outcome run()
    {
        bool isDividerReplaced = false;
        while (now_ < Instant{} + RunLength) {
            now_ += Step;
            if (!isDividerReplaced && now_ >= Instant{} + DividerReplacedAt) {
                registry_ = std::make_unique<Entry::ShareDividerRegistry>(dividerOptions_, 2);
                registry_->onInstancesChanged(now_);
                isDividerReplaced = true;
            }
            shiftDemand();
            handleArrival();
            report();
            deliver();
        }
        outcome_.allowed = limit_ * std::chrono::duration<double>(RunLength).count();
        return outcome_;
    }

private:
    bool chance(double share)
    {
        return std::bernoulli_distribution(share)(random_);
    }

    /// Selects the busy instances, up to an eighth of all, which get half of the demand. The other half is spread over all instances.
    void shiftDemand()
    {
        if (now_ < nextDemandShift_)
            return;
        nextDemandShift_ = now_ + DemandShiftInterval;
        busy_.clear();
        for (std::size_t count = 0; count < std::max<std::size_t>(1, tables_.size() / 8); ++count)
            busy_.push_back(random_() % tables_.size());
    }

    void handleArrival()
    {
        auto const mean = demand_ * std::chrono::duration<double>(Step).count();
        for (auto count = std::poisson_distribution<int>(mean)(random_); count > 0; --count) {
            auto const instance = chance(0.5) ? busy_[random_() % busy_.size()] : random_() % tables_.size();
            outcome_.offered += 1;
            if (tables_[instance]->admit(key, {.requestsPerSecond = limit_}, tables_.size(), now_) > Duration(0))
                continue;
            outcome_.admitted += 1;
            window_.push(now_);
        }
        while (!window_.empty() && window_.front() + Window <= now_)
            window_.pop();
        outcome_.worstWindow = std::max(outcome_.worstWindow, static_cast<double>(window_.size()));
    }

    /// Sends regular reports, and urgent reports of instances that need a larger share, at their intervals.
    void report()
    {
        for (std::size_t index = 0; index < tables_.size(); ++index) {
            if (needsShare_[index] && now_ >= nextUrgentReport_[index]) {
                needsShare_[index] = false;
                nextUrgentReport_[index] = now_ + UrgentReportInterval;
                report(index, Entry::UsageSelection::ShareNeeded);
            }
            if (now_ >= nextReport_[index]) {
                nextReport_[index] += ReportInterval;
                report(index, Entry::UsageSelection::Active);
            }
        }
    }

    void report(std::size_t index, Entry::UsageSelection selection)
    {
        Peer::UsageReport report{.from = InstanceId("instance-" + std::to_string(index)),
                                 .processIncarnation = 1,
                                 .counts = tables_[index]->takeUsage(selection, now_)};
        if (!report.counts.empty())
            send({.instance = index, .sentAt = now_, .content = std::move(report)});
    }

    void send(Message message)
    {
        if (chance(LostShare))
            return;
        for (int copy = chance(DuplicatedShare) ? 2 : 1; copy > 0; --copy) {
            message.arrivesAt = now_ + (chance(DelayedShare) ? Duration(300ms) : Duration(3ms));
            network_.push(message);
        }
    }

    void deliver()
    {
        while (!network_.empty() && network_.top().arrivesAt <= now_) {
            auto const message = network_.top();
            network_.pop();
            if (auto const *report = std::get_if<Peer::UsageReport>(&message.content))
                send({.instance = message.instance, .sentAt = message.sentAt, .content = registry_->onReport(rules_, *report, now_)});
            else if (now_ - message.sentAt <= dividerOptions_.maxDeliveryTime)
                apply(message);
        }
    }

    void apply(Message const &message)
    {
        for (auto const &share : std::get<std::vector<Peer::GrantedShare>>(message.content))
            tables_[message.instance]->applyShare(share, message.sentAt, now_);
    }

    Routing::ShareDividerOptions dividerOptions_;
    RandomSource random_;
    double limit_;
    double demand_;
    Rules::RuleSet rules_;
    Instant now_{};
    Instant nextDemandShift_{};
    std::vector<std::unique_ptr<Entry::LimitTable>> tables_;
    std::vector<Instant> nextReport_;
    std::vector<bool> needsShare_;
    std::vector<Instant> nextUrgentReport_;
    std::vector<std::size_t> busy_;
    std::unique_ptr<Entry::ShareDividerRegistry> registry_;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> network_;
    std::queue<Instant> window_;
    Outcome outcome_;
};

void print(std::string const &metric, double value, std::optional<double> target)
{
    boost::json::object figure = {{"bench", "limits"}, {"metric", metric}, {"value", value}, {"unit", "ratio"}};
    if (target) {
        figure["target"] = *target;
        figure["at_most"] = true;
    }
    std::cout << boost::json::serialize(figure) << '\n';
}

void measure(std::size_t instances, double limit)
{
    auto const suffix = "_" + std::to_string(instances);
    auto const overloaded = LimitRun(instances, limit, 3 * limit).run();
    auto const withinLimit = LimitRun(instances, limit, 0.7 * limit).run();
    auto const windowAllowed = limit * std::chrono::duration<double>(Window).count();
    print("overrun" + suffix, std::max(0.0, overloaded.admitted / overloaded.allowed - 1), OverrunTarget);
    print("overrun_worst_10s" + suffix, std::max(0.0, overloaded.worstWindow / windowAllowed - 1), std::nullopt);
    print("underuse" + suffix, std::max(0.0, 1 - overloaded.admitted / overloaded.allowed), UnderuseTarget);
    print("refused_within_limit" + suffix, 1 - withinLimit.admitted / withinLimit.offered, std::nullopt);
}

} // namespace

void Anvilyard::measureShares()
{
    measure(8, 100);
    measure(360, 1000);
}
