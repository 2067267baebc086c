#include "Utilities/Load/ArrivalPlan.h"

#include <algorithm>
#include <random>

namespace Anvilyard::Load {

namespace {

Duration drawInterval(RandomSource &random, double meanSeconds)
{
    std::exponential_distribution<double> interval(1 / meanSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval(random)));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void addSteady(ArrivalOptions const &options, RandomSource &random, std::vector<Duration> &arrivals)
{
    if (options.requestsPerSecond <= 0)
        return;
    auto const mean = 1 / options.requestsPerSecond;
    for (auto when = drawInterval(random, mean); when < options.runDuration; when += drawInterval(random, mean))
        arrivals.push_back(when);
}

void addBursts(ArrivalOptions const &options, RandomSource &random, std::vector<Duration> &arrivals)
{
    if (options.meanBurstInterval <= Duration(0))
        return;
    auto const mean = toSeconds(options.meanBurstInterval);
    std::uniform_int_distribution<Duration::rep> within(0, options.burstDuration.count());
    for (auto start = drawInterval(random, mean); start < options.runDuration; start += drawInterval(random, mean)) {
        for (std::uint32_t request = 0; request < options.burstRequests; ++request)
            arrivals.push_back(start + Duration(within(random)));
    }
}

/// Returns readable filler text that differs by key.
std::string makeFiller(std::string const &key, std::size_t bytes)
{
    std::string text = key;
    for (std::uint64_t word = 0; text.size() < bytes; ++word)
        text += " word" + std::to_string(word);
    text.resize(std::max(bytes, key.size()));
    return text;
}

} // namespace

std::vector<Duration> planArrivals(ArrivalOptions const &options)
{
    RandomSource random(options.seed);
    std::vector<Duration> arrivals;
    addSteady(options, random, arrivals);
    addBursts(options, random, arrivals);
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

std::string makePrompt(PromptOptions const &options, std::uint64_t seed, std::uint64_t number)
{
    RandomSource random(seed * 1'000'003 + number);
    auto const prefix = options.prefixes == 0 ? 0 : random() % options.prefixes;
    auto const uniqueKey = "request " + std::to_string(seed) + "-" + std::to_string(number);
    return makeFiller("instructions " + std::to_string(prefix), options.prefixBytes) + " " + makeFiller(uniqueKey, options.uniqueBytes);
}

} // namespace Anvilyard::Load
