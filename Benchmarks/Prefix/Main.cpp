// Compares prefix affinity with random and least-loaded choice on the same arrivals: the share of prompt bytes found in the engines'
// caches, and the time to the first token. Each engine is simulated with a cache of limited size and one prefill at a time, whose
// duration is proportional to the uncached part of the prompt.

#include "LibRouting/ServerChooser.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>
#include <list>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace {

using namespace Anvilyard;

constexpr std::size_t Engines = 9;
constexpr std::size_t Groups = 300;
constexpr std::size_t GroupBytes = 6 * 1024;
constexpr std::size_t UniqueBytes = 1024;
/// Capacity of one engine's cache in prompt groups.
constexpr std::size_t MaxCachedGroups = 40;
constexpr int Requests = 60'000;
constexpr double ArrivalsPerSecond = 60;
constexpr double PrefillBytesPerSecond = 64 * 1024;
constexpr Duration DecodeTime = 800ms;
constexpr Duration ReportInterval = 1s;
constexpr Duration ReportLag = 500ms;
constexpr double BurstShare = 0.01;
constexpr int BurstSize = 12;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Simulates the time to the first token of one model engine.
class EngineModel
{
public:
    /// Admits a request and returns the time of its first token.
    Instant admit(std::size_t group, Instant now)
    {
        bool const isCached = touch(group);
        hitBytes_ += isCached ? GroupBytes : 0;
        auto const bytes = static_cast<double>(UniqueBytes + (isCached ? 0 : GroupBytes));
        prefillEndsAt_ = std::max(prefillEndsAt_, now) + fromSeconds(bytes / PrefillBytesPerSecond);
        ends_.push_back(prefillEndsAt_ + DecodeTime);
        return prefillEndsAt_;
    }

    [[nodiscard]] double running(Instant now)
    {
        std::erase_if(ends_, [now](Instant end) { return end <= now; });
        return static_cast<double>(ends_.size());
    }

    [[nodiscard]] double hitBytes() const
    {
        return hitBytes_;
    }

private:
    bool touch(std::size_t group)
    {
        auto const found = std::find(cache_.begin(), cache_.end(), group);
        bool const isCached = found != cache_.end();
        if (isCached)
            cache_.erase(found);
        cache_.push_front(group);
        if (cache_.size() > MaxCachedGroups)
            cache_.pop_back();
        return isCached;
    }

    std::list<std::size_t> cache_;
    std::vector<Instant> ends_;
    Instant prefillEndsAt_;
    double hitBytes_ = 0;
};

enum class Policy {
    Affinity,
    LeastLoaded,
    Random,
};

struct Outcome {
    double hitShare = 0;
    double ttftP99 = 0;
};

std::string groupText(std::size_t group)
{
    std::string text;
    while (text.size() < GroupBytes)
        text += "manual " + std::to_string(group) + " goes on; ";
    text.resize(GroupBytes);
    return text;
}

class PrefixRun
{
public:
    explicit PrefixRun(Policy policy)
        : policy_(policy)
        , chooser_({.instance = InstanceId("instance-1"), .dataCentre = DataCentreId("dc-0")})
        , engines_(Engines)
    {
        std::vector<Fleet::BackendServer> servers;
        for (std::size_t index = 0; index < Engines; ++index) {
            servers.push_back({.id = ServerId("engine-" + std::to_string(index)), .dataCentre = DataCentreId("dc-0")});
            indexOf_.emplace(servers.back().id, index);
        }
        chooser_.setServers(servers);
        std::vector<double> weights;
        for (std::size_t group = 0; group < Groups; ++group) {
            prefixes_.emplace_back(groupText(group) + std::string(UniqueBytes, 'q'));
            // Zipf-like weights: a few groups are frequent and most are rare.
            weights.push_back(1 / std::pow(static_cast<double>(group + 1), 0.8));
        }
        groups_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    Outcome run()
    {
        std::exponential_distribution<double> gaps(ArrivalsPerSecond * (1 - BurstShare * BurstSize));
        for (int request = 0; request < Requests;) {
            now_ += fromSeconds(gaps(random_));
            int const count = std::bernoulli_distribution(BurstShare)(random_) ? BurstSize : 1;
            for (int one = 0; one < count; ++one, ++request)
                handleArrival(groups_(random_));
        }
        std::sort(waits_.begin(), waits_.end());
        double hits = 0;
        for (auto const &engine : engines_)
            hits += engine.hitBytes();
        auto const bytes = static_cast<double>(waits_.size() * (GroupBytes + UniqueBytes));
        return {.hitShare = hits / bytes, .ttftP99 = waits_[waits_.size() * 99 / 100]};
    }

private:
    void handleArrival(std::size_t group)
    {
        finishDue();
        reportLoads();
        auto const index = pick(group);
        auto const id = ServerId("engine-" + std::to_string(index));
        auto const firstToken = engines_[index].admit(group, now_);
        waits_.push_back(std::chrono::duration<double>(firstToken - now_).count());
        chooser_.onStarted(id, policy_ == Policy::Affinity ? &prefixes_[group] : nullptr);
        running_.emplace(firstToken + DecodeTime, index);
    }

    std::size_t pick(std::size_t group)
    {
        if (policy_ == Policy::Random)
            return random_() % Engines;
        auto const *prefix = policy_ == Policy::Affinity ? &prefixes_[group] : nullptr;
        return indexOf_.at(chooser_.choose({.prefix = prefix}, now_, random_)->id);
    }

    void finishDue()
    {
        while (!running_.empty() && running_.top().first <= now_) {
            chooser_.onFinished(ServerId("engine-" + std::to_string(running_.top().second)));
            running_.pop();
        }
    }

    /// Passes the loads to the chooser, ReportLag after they were sampled.
    void reportLoads()
    {
        if (now_ >= nextSampleAt_) {
            for (auto &engine : engines_)
                sampledLoads_.push_back(engine.running(now_));
            nextSampleAt_ = now_ + ReportInterval;
            reportAt_ = now_ + ReportLag;
        }
        if (sampledLoads_.empty() || now_ < reportAt_)
            return;
        for (std::size_t index = 0; index < Engines; ++index)
            chooser_.onLoadReport(ServerId("engine-" + std::to_string(index)), {.running = sampledLoads_[index]}, now_);
        sampledLoads_.clear();
    }

    Policy policy_;
    RandomSource random_{7};
    Routing::ServerChooser chooser_;
    std::vector<EngineModel> engines_;
    std::unordered_map<ServerId, std::size_t> indexOf_;
    std::vector<Routing::PromptPrefix> prefixes_;
    std::discrete_distribution<std::size_t> groups_;
    Instant now_;
    Instant nextSampleAt_;
    Instant reportAt_;
    std::vector<double> sampledLoads_;
    std::vector<double> waits_;
    using End = std::pair<Instant, std::size_t>;
    std::priority_queue<End, std::vector<End>, std::greater<>> running_;
};

void print(std::string const &metric, double value, std::string const &unit)
{
    std::cout << boost::json::serialize(boost::json::object{{"bench", "prefix"}, {"metric", metric}, {"value", value}, {"unit", unit}})
              << '\n';
}

} // namespace

int main()
{
    auto const affinity = PrefixRun(Policy::Affinity).run();
    auto const leastLoaded = PrefixRun(Policy::LeastLoaded).run();
    auto const random = PrefixRun(Policy::Random).run();
    print("hit_share", affinity.hitShare, "share");
    print("hit_share_random", random.hitShare, "share");
    print("hit_share_least_loaded", leastLoaded.hitShare, "share");
    print("ttft_p99_ratio_to_least_loaded", affinity.ttftP99 / leastLoaded.ttftP99, "ratio");
    print("ttft_p99_ratio_to_random", affinity.ttftP99 / random.ttftP99, "ratio");
}
