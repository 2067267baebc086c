// Measures the time until an accepted change of the rules is in force on every instance, and the bytes that agents send and receive
// for it, at the daily rate of changes. The production code runs on simulated time. Sizes are those of the encoded messages.

#include "LibPeer/PeerCodecContext.h"
#include "Tests/LibFleet/FleetSimulation.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>

namespace {

using namespace Anvilyard;
using Testing::FleetSimulation;

constexpr int ChangesPerDay = 1'400;
constexpr Duration ChangeInterval = std::chrono::duration_cast<Duration>(24h) / ChangesPerDay;
constexpr int MeasuredChanges = 10;
constexpr Duration WarmUp = 90s;
/// Maximum one-way delay between data centres of different regions.
constexpr Duration SlowestDelay = 60ms;
/// Overhead bytes of an exchange in addition to its two messages: HTTP/2 frames, pings, and TCP and IP headers of both directions.
/// Agents keep a few dozen connections, so most exchanges in a larger fleet open a new one.
constexpr std::size_t FrameBytesOnReusedConnection = 720;
constexpr std::size_t FrameBytesOnNewConnection = 1'400;
constexpr std::size_t MaxReusedConnections = 32;
constexpr int RulesLines = 200;
constexpr double TargetSeconds = 14;
constexpr double TargetSecondsForNineInstances = 2;
constexpr double TargetBytesPerSecond = 3'072;

struct Size {
    std::size_t instances;
    std::size_t dataCentres;
    std::size_t servers;
};

struct Outcome {
    double slowestInForceSeconds = 0;
    double bytesPerSecondPerNode = 0;
    double platformReadsPerSecond = 0;
};

std::string rulesText(int change)
{
    std::string text = "{pool: coldline-llm, kind: model-engine}  # asked by Minji Park: nine engines\n";
    for (int line = 0; line < RulesLines; ++line) {
        auto const number = line == change % RulesLines ? RulesLines + change : line;
        text += "{leaving: engine-" + std::to_string(number) + "}  # asked by Minji Park: benchmark\n";
    }
    return text;
}

Outcome measure(Size const &size)
{
    FleetSimulation loop(size.instances, size.dataCentres, size.instances);
    loop.faults.maxDelay = SlowestDelay;
    for (std::size_t server = 0; server < size.servers; ++server) {
        loop.listing.push_back({.id = ServerId("engine-" + std::to_string(server)),
                                .pool = PoolName("coldline-llm"),
                                .address = Address("10.2.0.1:8000"),
                                .dataCentre = DataCentreId("kr-central-a")});
    }
    loop.accept(rulesText(0));
    loop.run(WarmUp);

    std::size_t bytes = 0;
    std::size_t messages = 0;
    loop.onMessage = [&](Fleet::Exchange const &message, auto, auto) {
        anvilyard::peer::ExchangeRequest encoded;
        Peer::encode(message, encoded);
        bytes += encoded.ByteSizeLong();
        ++messages;
    };
    auto const readsBefore = loop.platformReads;
    auto const begin = loop.now();
    Instant lastInForce;
    std::vector<std::uint64_t> inForce(size.instances);
    loop.afterEvent = [&](std::size_t node) {
        auto const generation = loop.node(node).rules().inForce()->generation.value();
        if (std::exchange(inForce[node], generation) != generation)
            lastInForce = loop.now();
    };
    Outcome outcome;
    for (int change = 1; change <= MeasuredChanges; ++change) {
        loop.accept(rulesText(change));
        auto const accepted = loop.now();
        loop.run(ChangeInterval);
        auto const lagging = std::count_if(inForce.begin(), inForce.end(), [&](auto generation) { return generation != loop.newest(); });
        if (lagging > 0)
            std::cerr << lagging << " instances do not have the newest rules in force\n";
        auto const seconds = std::chrono::duration<double>(lagging > 0 ? ChangeInterval : lastInForce - accepted).count();
        outcome.slowestInForceSeconds = std::max(outcome.slowestInForceSeconds, seconds);
    }
    auto const elapsedSeconds = std::chrono::duration<double>(loop.now() - begin).count();
    // Each byte counts twice because one instance sends it and another receives it.
    auto const frameBytes = size.instances <= MaxReusedConnections ? FrameBytesOnReusedConnection : FrameBytesOnNewConnection;
    auto const wireBytes = 2 * (bytes + messages / 2 * frameBytes);
    outcome.bytesPerSecondPerNode = static_cast<double>(wireBytes) / elapsedSeconds / static_cast<double>(size.instances);
    outcome.platformReadsPerSecond = static_cast<double>(loop.platformReads - readsBefore) / elapsedSeconds;
    return outcome;
}

void print(std::string const &metric, double value, std::string const &unit, std::optional<double> target)
{
    boost::json::object figure{{"bench", "spread"}, {"metric", metric}, {"value", value}, {"unit", unit}};
    if (target) {
        figure["target"] = *target;
        figure["at_most"] = true;
    }
    std::cout << boost::json::serialize(figure) << std::endl;
}

} // namespace

int main()
{
    for (auto const &size : {Size{9, 3, 22}, Size{50, 5, 100}, Size{360, 9, 600}}) {
        auto const outcome = measure(size);
        auto const suffix = "_" + std::to_string(size.instances);
        print(
            "in_force_s" + suffix, outcome.slowestInForceSeconds, "s", size.instances == 9 ? TargetSecondsForNineInstances : TargetSeconds);
        print("bytes_per_s_per_node" + suffix, outcome.bytesPerSecondPerNode, "bytes/s", TargetBytesPerSecond);
        print("platform_reads_per_s" + suffix, outcome.platformReadsPerSecond, "reads/s", std::nullopt);
    }
}
