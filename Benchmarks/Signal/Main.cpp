// Compares two ways of reporting the number of online requests in flight to the owner of an engine: cumulative counters, as used by
// BatchGate, and differences from the previous message. Both use the same stream of lost, duplicated and reordered messages.

#include "LibYield/BatchGate.h"
#include "LibYield/OnlineReporter.h"

#include <boost/json.hpp>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace Anvilyard;

constexpr Duration RunLength = 10min;
constexpr Duration SampleInterval = 10ms;
constexpr double RequestsPerSecond = 20;
constexpr double RequestSeconds = 0.5;
/// Number of requests that arrive at the same time in a burst.
constexpr int BurstSize = 12;
constexpr double BurstShare = 0.02;
constexpr double LostShare = 0.01;
constexpr double DuplicatedShare = 0.01;
constexpr double DelayedShare = 0.05;
constexpr Duration Delay = 1ms;
constexpr Duration LongDelay = 200ms;

ServerId const engine{"engine-1"};
InstanceId const entry{"entry-1"};

struct Message {
    std::uint64_t sequence = 0;
    Yield::OnlineTally tally;
    std::int64_t difference = 0;
    Instant arrivesAt;

    bool operator>(Message const &other) const
    {
        return arrivesAt > other.arrivesAt;
    }
};

using MessageQueue = std::priority_queue<Message, std::vector<Message>, std::greater<>>;

/// Simulates the network: drops, duplicates or delays a message.
void deliver(Message message, Instant now, std::mt19937_64 &random, MessageQueue &network)
{
    if (std::bernoulli_distribution(LostShare)(random))
        return;
    int const copies = std::bernoulli_distribution(DuplicatedShare)(random) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        message.arrivesAt = now + (std::bernoulli_distribution(DelayedShare)(random) ? LongDelay : Delay);
        network.push(message);
    }
}

/// Three receivers, each with its own estimate of the requests in flight: counters, differences, and differences without
/// duplicates.
class Receivers
{
public:
    explicit Receivers(Instant now)
        : gate_({})
    {
        gate_.setEngines({{engine, {}}}, now);
    }

    void onMessage(Message const &message)
    {
        gate_.onOnlineReport(entry, 1, {message.tally}, message.arrivesAt);
        differences_ += message.difference;
        if (seenSequences_.insert(message.sequence).second)
            deduplicatedDifferences_ += message.difference;
    }

    void sample(double actual)
    {
        ++samples_;
        counterError_ += std::abs(static_cast<double>(gate_.onlineInFlight(engine)) - actual);
        differenceError_ += std::abs(static_cast<double>(std::max<std::int64_t>(differences_, 0)) - actual);
        deduplicatedError_ += std::abs(static_cast<double>(std::max<std::int64_t>(deduplicatedDifferences_, 0)) - actual);
    }

    void print() const
    {
        print("error_counters", counterError_);
        print("error_differences", differenceError_);
        print("error_differences_numbered", deduplicatedError_);
    }

private:
    void print(char const *metric, double sum) const
    {
        std::cout << boost::json::serialize(
            boost::json::object{{"bench", "signal"}, {"metric", metric}, {"value", sum / samples_}, {"unit", "requests"}})
                  << '\n';
    }

    Yield::BatchGate gate_;
    std::int64_t differences_ = 0;
    std::int64_t deduplicatedDifferences_ = 0;
    std::set<std::uint64_t> seenSequences_;
    double samples_ = 0;
    double counterError_ = 0;
    double differenceError_ = 0;
    double deduplicatedError_ = 0;
};

/// Simulates the online requests of one entry at one engine.
class Traffic
{
public:
    Traffic(std::mt19937_64 &random, Instant now)
        : random_(random)
        , nextStart_(now)
    {
    }

    void advance(Instant now, Yield::OnlineReporter &reporter)
    {
        while (nextStart_ <= now) {
            int const size = std::bernoulli_distribution(BurstShare)(random_) ? BurstSize : 1;
            for (int index = 0; index < size; ++index) {
                reporter.onStarted(engine, now);
                ends_.push(now + draw(RequestSeconds));
            }
            nextStart_ += draw(1 / RequestsPerSecond);
        }
        for (; !ends_.empty() && ends_.top() <= now; ends_.pop())
            reporter.onFinished(engine, now);
    }

    [[nodiscard]] double inFlight() const
    {
        return static_cast<double>(ends_.size());
    }

private:
    Duration draw(double meanSeconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution(1 / meanSeconds)(random_)));
    }

    std::mt19937_64 &random_;
    Instant nextStart_;
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> ends_;
};

} // namespace

int main()
{
    std::mt19937_64 random(1);
    Instant const start{1s};
    Yield::OnlineReporter reporter({});
    Traffic traffic(random, start);
    Receivers receivers(start);
    MessageQueue network;
    Message lastMessage{.tally = {.server = engine}};
    auto nextSampleAt = start;
    for (auto now = start; now < start + RunLength; now += 1ms) {
        traffic.advance(now, reporter);
        for (auto const &tally : reporter.takeDue(now)) {
            auto const before = static_cast<std::int64_t>(lastMessage.tally.started - lastMessage.tally.finished);
            Message const message{.sequence = lastMessage.sequence + 1,
                                  .tally = tally,
                                  .difference = static_cast<std::int64_t>(tally.started - tally.finished) - before};
            deliver(message, now, random, network);
            lastMessage = message;
        }
        for (; !network.empty() && network.top().arrivesAt <= now; network.pop())
            receivers.onMessage(network.top());
        if (now >= nextSampleAt) {
            receivers.sample(traffic.inFlight());
            nextSampleAt += SampleInterval;
        }
    }
    receivers.print();
    return 0;
}
