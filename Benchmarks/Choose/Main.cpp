// Measures the time to choose a server of a pool for several pool sizes, and the time to hash the prefixes of a prompt.

#include "LibRouting/ServerChooser.h"
#include "LibServing/OnlinePlacement.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <vector>

namespace {

using namespace Anvilyard;

constexpr int Batches = 200;
constexpr int ChoicesPerBatch = 500;
constexpr std::size_t GroupCount = 64;
constexpr std::size_t PromptBytes = 8000;
constexpr double ChoiceTargetNanoseconds = 2000;

std::vector<Fleet::BackendServer> makeServers(int count)
{
    std::vector<Fleet::BackendServer> servers;
    for (int number = 0; number < count; ++number) {
        servers.push_back({.id = ServerId("engine-" + std::to_string(number)),
                           .pool = PoolName("engines"),
                           .address = Address("10.0.0." + std::to_string(number % 250) + ":8000"),
                           .dataCentre = DataCentreId("dc-" + std::to_string(number % 3))});
    }
    return servers;
}

std::string makePrompt(std::size_t group)
{
    std::string prompt;
    while (prompt.size() < PromptBytes)
        prompt += "manual " + std::to_string(group) + " says what to look at first; ";
    return prompt;
}

std::vector<Routing::PromptPrefix> makePrefixes()
{
    std::vector<Routing::PromptPrefix> prefixes;
    for (std::size_t group = 0; group < GroupCount; ++group)
        prefixes.emplace_back(makePrompt(group));
    return prefixes;
}

/// Returns the median over all batches of the mean nanoseconds per call.
template<typename Call>
double medianNanoseconds(Call call)
{
    std::vector<double> samples;
    for (int batch = 0; batch < Batches; ++batch) {
        auto const start = std::chrono::steady_clock::now();
        for (int turn = 0; turn < ChoicesPerBatch; ++turn)
            call(turn);
        auto const elapsed = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start);
        samples.push_back(elapsed.count() / ChoicesPerBatch);
    }
    std::nth_element(samples.begin(), samples.begin() + Batches / 2, samples.end());
    return samples[Batches / 2];
}

/// Measures one choice, including the updates at the start and the end of the request.
double measureChoice(int serverCount, std::size_t subsetSize)
{
    RandomSource random(1);
    Routing::ServerChooser chooser({.instance = InstanceId("instance-1"), .dataCentre = DataCentreId("dc-0"), .subsetSize = subsetSize});
    auto const servers = makeServers(serverCount);
    chooser.setServers(servers);
    Instant const now{};
    for (auto const &server : servers)
        chooser.onLoadReport(server.id, {.running = static_cast<double>(random() % 10)}, now);
    auto const prefixes = makePrefixes();
    return medianNanoseconds([&](int turn) {
        auto const &prefix = prefixes[static_cast<std::size_t>(turn) % GroupCount];
        auto const *server = chooser.choose({.prefix = &prefix}, now + Duration(turn), random);
        chooser.onStarted(server->id, &prefix);
        chooser.onFinished(server->id);
    });
}

/// Measures the complete placement of an online request with reports of one other instance. `prepare` is called with the placement.
double measurePlacement(int serverCount, std::function<void(Serving::OnlinePlacement &, Serving::ServerRecord const &)> const &prepare)
{
    RandomSource random(1);
    Serving::OnlinePlacement placement({.instance = InstanceId("instance-1"), .dataCentre = DataCentreId("dc-0")});
    Serving::PeerTable peers({.self = InstanceId("instance-1")});
    Serving::LoadTracker const load;
    Serving::PeerReport report{.sender = InstanceId("instance-2"), .startedAt = 1, .number = 1};
    std::vector<Serving::UsableServer> servers;
    for (auto const &server : makeServers(serverCount)) {
        servers.push_back(
            {.record = {.id = server.id, .pool = server.pool, .address = server.address, .dataCentre = server.dataCentre, .slots = 8}});
        report.inFlight[server.id].online = static_cast<std::uint32_t>(random() % 8);
    }
    placement.setServers(servers, {});
    peers.onReport(report, Instant{});
    for (auto const &server : servers)
        prepare(placement, server.record);
    auto const prefixes = makePrefixes();
    return medianNanoseconds([&](int turn) {
        auto const now = Instant{} + Duration(turn);
        Serving::PlacementRequest const request{.pool = PoolName("engines"),
                                                .prefix = &prefixes[static_cast<std::size_t>(turn) % GroupCount],
                                                .loadAge = {.near = 100ms, .far = 200ms}};
        auto const placed = placement.place(request, load, peers, now, random);
        placement.onStarted(placed.server, request.prefix);
        placement.onFinished(placed.server);
    });
}

double measureHashing()
{
    auto const prompt = makePrompt(1);
    std::uint64_t sum = 0;
    auto const nanoseconds = medianNanoseconds([&](int) { sum += Routing::PromptPrefix(prompt).groupHash(); });
    return sum == 0 ? 0 : nanoseconds;
}

void print(boost::json::object figure)
{
    figure["bench"] = "choose";
    std::cout << boost::json::serialize(figure) << '\n';
}

} // namespace

int main()
{
    constexpr std::size_t Subset = 64;
    auto const ten = measureChoice(10, Subset);
    auto const all = measureChoice(600, Subset);
    print({{"metric", "ns_per_choice_600"}, {"value", all}, {"unit", "ns"}, {"target", ChoiceTargetNanoseconds}, {"at_most", true}});
    print({{"metric", "growth_10_to_600"}, {"value", all / ten}, {"unit", "ratio"}});
    print({{"metric", "ns_per_choice_10"}, {"value", ten}, {"unit", "ns"}});
    print({{"metric", "ns_per_choice_600_without_subset"}, {"value", measureChoice(600, 600)}, {"unit", "ns"}});
    constexpr int Engines = 90;
    auto const place = measurePlacement(Engines, [](Serving::OnlinePlacement &, Serving::ServerRecord const &) {});
    print({{"metric", "ns_per_placement_90"}, {"value", place}, {"unit", "ns"}});
#ifndef WITHOUT_PACE
    auto const placeWithPace = measurePlacement(Engines, [](Serving::OnlinePlacement &placement, Serving::ServerRecord const &server) {
        placement.onLoadStated(server, {.slowness = server.id.value().ends_with('1') ? 1.8 : 1}, Instant{});
    });
    print({{"metric", "ns_per_placement_90_with_pace"}, {"value", placeWithPace}, {"unit", "ns"}});
#endif
    print({{"metric", "ns_per_prompt_hash_8kb"}, {"value", measureHashing()}, {"unit", "ns"}});
}
