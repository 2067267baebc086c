#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibJobs/SlotPlan.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <iostream>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;

namespace {

struct ReplayOptions {
    std::string name;
    Duration meanRun = 300ms;
    /// Online load relative to the slots, low and high, 3.4 s each.
    double low = 0.27;
    double high = 0.95;
    std::size_t items = 20'000;
    SlotPlanOptions plan = {};
    /// Preemptions at a server that are left out in each round.
    std::uint32_t tolerated = 0;
};

struct ReplayResult {
    std::size_t online = 0;
    std::size_t late = 0;
    Duration waited{0};
    std::size_t done = 0;
    std::size_t cut = 0;
    /// Cuts after which the server had a free slot for the whole of the allowed wait.
    std::size_t unused = 0;
    /// Other cuts after which a run ended by itself at the server within the allowed wait.
    std::size_t replaceable = 0;
};

/// Online load in steps on servers that run requests in order of arrival, with one runner that fills free slots by planSlots(). The runner
/// knows online requests as of 50 to 100 ms ago.
class SlotReplay
{
public:
    explicit SlotReplay(ReplayOptions options)
        : options_(std::move(options))
        , servers_(Servers)
        , waitingItems_(options_.items)
    {
    }

    ReplayResult run()
    {
        for (auto now = Start; now < Start + Length; now += Step) {
            for (auto &server : servers_)
                finishRuns(server, now);
            addArrivals(now);
            for (auto &server : servers_)
                startWaiting(server, now);
            watchCuts(now);
            if ((now - Start) % RoundInterval == Duration::zero())
                planRound(now);
        }
        return result_;
    }

private:
    static constexpr Instant Start{std::chrono::hours(1)};
    static constexpr Duration Length = 27200ms;
    static constexpr Duration Step = 5ms;
    static constexpr Duration RoundInterval = 50ms;
    static constexpr Duration AllowedWait = 210ms;
    static constexpr Duration ItemRun = 2s;
    static constexpr Duration PromptTime = 50ms;
    static constexpr std::size_t Servers = 90;
    static constexpr std::uint32_t Slots = 8;

    struct Server {
        std::multiset<Instant> online;
        std::vector<Instant> items;
        std::deque<Instant> waiting;
        std::uint32_t observed = 0;
        std::uint32_t reported = 0;

        [[nodiscard]] std::size_t occupied() const
        {
            return online.size() + items.size();
        }

        [[nodiscard]] std::uint32_t onlineCount() const
        {
            return static_cast<std::uint32_t>(online.size() + waiting.size());
        }
    };

    struct Cut {
        std::size_t server = 0;
        Instant until;
        bool wasNeeded = false;
        bool runEnded = false;
    };

    void finishRuns(Server &server, Instant now)
    {
        auto const before = server.occupied();
        server.online.erase(server.online.begin(), server.online.upper_bound(now));
        result_.done += std::erase_if(server.items, [now](Instant end) { return end <= now; });
        if (server.occupied() == before)
            return;
        auto const index = static_cast<std::size_t>(&server - servers_.data());
        for (auto &cut : cuts_)
            cut.runEnded = cut.runEnded || cut.server == index;
    }

    void addArrivals(Instant now)
    {
        auto const load = (now - Start) % 6800ms < 3400ms ? options_.low : options_.high;
        auto const perStep = load * Servers * Slots * std::chrono::duration<double>(Step) / std::chrono::duration<double>(options_.meanRun);
        std::uniform_int_distribution<std::size_t> any(0, Servers - 1);
        for (int left = std::poisson_distribution<int>(perStep)(arrivalRandom_); left > 0; --left) {
            auto chosen = any(random_);
            for (int choice = 0; choice < 2; ++choice) {
                auto const other = any(random_);
                chosen = servers_[other].onlineCount() < servers_[chosen].onlineCount() ? other : chosen;
            }
            servers_[chosen].waiting.push_back(now);
            ++result_.online;
        }
    }

    void startWaiting(Server &server, Instant now)
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        while (!server.waiting.empty() && server.occupied() < Slots) {
            auto const wait = now - server.waiting.front();
            server.waiting.pop_front();
            server.online.insert(now + std::chrono::duration_cast<Duration>(options_.meanRun * factor(random_)));
            result_.waited += wait;
            result_.late += wait > AllowedWait ? 1 : 0;
        }
    }

    void watchCuts(Instant now)
    {
        for (auto &cut : cuts_)
            cut.wasNeeded = cut.wasNeeded || servers_[cut.server].occupied() >= Slots;
        std::erase_if(cuts_, [&](Cut const &cut) {
            if (cut.until > now)
                return false;
            result_.unused += cut.wasNeeded ? 0 : 1;
            result_.replaceable += cut.wasNeeded && cut.runEnded ? 1 : 0;
            return true;
        });
    }

    /// Returns the time that the next item needs. One that was cut goes on and reads its prompt again.
    Duration takeItem()
    {
        if (begun_.empty()) {
            --waitingItems_;
            return ItemRun;
        }
        auto const left = begun_.front();
        begun_.pop_front();
        return left;
    }

    void planRound(Instant now)
    {
        InstanceId const self("r");
        std::vector<ServerSlots> view;
        for (std::size_t index = 0; index < Servers; ++index) {
            auto &server = servers_[index];
            server.reported = std::exchange(server.observed, server.onlineCount());
            view.push_back({.server = ServerId(std::to_string(index)),
                            .slots = Slots,
                            .online = server.reported,
                            .batch = {{.runner = self, .items = static_cast<std::uint32_t>(server.items.size())}}});
        }
        for (auto const &change : planSlots(self, view, waitingItems_ + begun_.size(), options_.plan)) {
            auto const index = std::stoul(change.server.value());
            auto &items = servers_[index].items;
            for (auto left = change.start; left > 0; --left)
                items.push_back(now + takeItem());
            for (auto left = change.preempt - std::min(change.preempt, options_.tolerated); left > 0; --left) {
                begun_.push_back(items.back() - now + PromptTime);
                items.pop_back();
                ++result_.cut;
                cuts_.push_back({.server = index, .until = now + AllowedWait});
            }
        }
    }

    ReplayOptions options_;
    std::vector<Server> servers_;
    std::size_t waitingItems_;
    /// Time that each item still needs that was cut.
    std::deque<Duration> begun_;
    std::vector<Cut> cuts_;
    /// Arrivals are the same for all variants.
    RandomSource arrivalRandom_{7};
    RandomSource random_{20261206};
    ReplayResult result_;
};

ReplayResult replay(ReplayOptions const &options)
{
    auto const result = SlotReplay(options).run();
    auto const meanWait = std::chrono::duration<double, std::milli>(result.waited).count() / static_cast<double>(result.online);
    std::cout << options.name << ": late " << result.late << " of " << result.online << " mean wait ms " << meanWait << " items done "
              << result.done << " cut " << result.cut << " unused " << result.unused << " replaceable " << result.replaceable << '\n';
    return result;
}

/// Variants of today's plan, for comparison.
std::vector<ReplayOptions> variantsOf(ReplayOptions const &today)
{
    std::vector<ReplayOptions> variants(5, today);
    variants[0].name = "  nothing freed ahead";
    variants[0].plan.freedAhead = 0;
    variants[1].name = "  nothing freed ahead, one preemption left out";
    variants[1].plan.freedAhead = 0;
    variants[1].tolerated = 1;
    variants[2].name = "  reserve 4 at high load";
    variants[2].plan.highLoadReserve = 4;
    variants[3].name = "  reserve 2, 4 at high load";
    variants[3].plan.reserve = 2;
    variants[3].plan.highLoadReserve = 4;
    variants[4].name = "  reserve 2, 3 at high load";
    variants[4].plan.reserve = 2;
    return variants;
}

} // namespace

/// Guards against items that make online requests late. The output shows how many cuts were of no use, and what variants would change.
TEST(SlotPlanReplay, LoadInSteps)
{
    for (auto const meanRun : {300ms, 1500ms}) {
        for (auto const high : {0.7, 0.95}) {
            ReplayOptions const today{.name = "  today", .meanRun = meanRun, .high = high};
            std::cout << "runs of " << meanRun.count() << " ms, load " << today.low << " and " << high << '\n';
            auto withoutItems = today;
            withoutItems.name = "  without items";
            withoutItems.items = 0;
            auto const alone = replay(withoutItems);
            auto const result = replay(today);
            EXPECT_LE(result.late, alone.late + result.online / 100);
            for (auto const &variant : variantsOf(today))
                replay(variant);
        }
    }
}
