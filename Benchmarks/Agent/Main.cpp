// Measures the processor time and memory of an agent for several numbers of instances, at the daily rate of changes and with a rules
// file of full size. The production code for decisions and messages runs for 15 minutes of simulated time. The cost of gRPC is
// measured separately with real calls over loopback.

#include "Benchmarks/Capacity/FleetData.h"
#include "LibFleet/FleetNode.h"
#include "LibPeer/AgentClient.h"
#include "LibPeer/AgentServer.h"
#include "LibPeer/PeerCodecContext.h"
#include "LibRules/RuleSetObject.h"

#include <boost/json.hpp>
#include <ctime>
#include <fstream>
#include <future>
#include <iostream>
#include <unistd.h>

namespace {

using namespace Anvilyard;
namespace messages = anvilyard::peer;

constexpr Duration RunLength = 15min;
constexpr Duration TickInterval = 200ms;
constexpr Duration ChangeInterval = std::chrono::duration_cast<Duration>(24h) / 1'400;
/// A rules file of full size has a key and a limit for each of 1,800 customers, and some hundred other lines.
constexpr int Customers = 1'800;
constexpr int Engines = 600;
constexpr int MeasuredCalls = 2'000;
constexpr double TargetCoreShare = 0.01;
constexpr double TargetMegabytes = 256;

double cpuSeconds(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double residentMegabytes()
{
    std::ifstream stream("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    stream >> total >> resident;
    return static_cast<double>(resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))) / 1e6;
}

std::string rulesText(int change)
{
    std::string text = "{pool: coldline-llm, kind: model-engine}  # asked by Minji Park: engines\n"
                       "{service: fault-notes, pool: coldline-llm, model: coldline-7b}  # asked by Jun: notes\n";
    for (int customer = 0; customer < Customers; ++customer) {
        auto const name = "shop-" + std::to_string(customer);
        text += "{customer: " + name + ", key-sha256: \"" + Rules::rulesDigest(name) + "\"}  # asked by Ara: contract\n";
        text += "{limit: " + name + ", service: fault-notes, requests-per-second: " + std::to_string(10 + (customer == change ? 1 : 0))
            + "}  # asked by Ara: contract\n";
    }
    return text;
}

/// Accumulates the processor time of the calls that it runs.
class Stopwatch
{
public:
    template<typename Work>
    auto time(Work work)
    {
        Span const span(seconds_);
        return work();
    }

    [[nodiscard]] double seconds() const
    {
        return seconds_;
    }

private:
    class Span
    {
    public:
        explicit Span(double &total)
            : total_(total)
            , begin_(cpuSeconds(CLOCK_THREAD_CPUTIME_ID))
        {
        }

        ~Span()
        {
            total_ += cpuSeconds(CLOCK_THREAD_CPUTIME_ID) - begin_;
        }

        Span(Span const &) = delete;
        Span &operator=(Span const &) = delete;

    private:
        double &total_;
        double begin_;
    };

    double seconds_ = 0;
};

/// The measured node and a single peer that represents all others.
class NodePair
{
public:
    explicit NodePair(std::size_t instances)
        : node_({.self = Benchmarks::instanceRecord(0), .randomSeed = 1})
        , peer_({.self = Benchmarks::instanceRecord(1), .randomSeed = 2})
    {
        Fleet::Exchange message;
        for (std::size_t number = 0; number < instances; ++number)
            message.instances.push_back(Benchmarks::instanceRecord(number));
        for (auto const &server : Benchmarks::servers(Engines))
            message.servers.push_back({.server = server, .version = 1});
        Fleet::Exchange reply;
        node_.onExchange(message, reply, clocks());
        peer_.onExchange(message, reply, clocks());
    }

    /// Returns the node's processor seconds per second of simulated time.
    double run()
    {
        auto const until = now_ + RunLength;
        Instant nextChange = now_;
        int change = 0;
        while (now_ < until) {
            now_ += TickInterval;
            if (now_ >= nextChange) {
                nextChange += ChangeInterval;
                offerRules(change++);
            }
            execute(stopwatch_.time([&] { return node_.onTick(clocks()); }));
            for (auto const &action : peer_.onTick(clocks())) {
                if (auto const *send = std::get_if<Fleet::SendExchange>(&action))
                    receive(send->message);
            }
        }
        return stopwatch_.seconds() / std::chrono::duration<double>(RunLength).count();
    }

private:
    [[nodiscard]] CurrentTime clocks() const
    {
        return {.local = now_, .wall = WallInstant(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()))};
    }

    /// Gives a change of the rules to the peer, which sends the difference to the node.
    void offerRules(int change)
    {
        auto const text = rulesText(change);
        Fleet::RuleSetUpdate const update{
            .generation = Generation(static_cast<std::uint64_t>(change) + 1), .text = text, .digest = Rules::rulesDigest(text)};
        peer_.onRulesRead(update, clocks());
    }

    void execute(Fleet::FleetActions const &actions)
    {
        for (auto const &action : actions) {
            if (auto const *send = std::get_if<Fleet::SendExchange>(&action))
                exchange(*send);
            else if (std::holds_alternative<Fleet::ViewChanged>(action))
                stopwatch_.time([&] { return node_.view(); });
        }
    }

    void exchange(Fleet::SendExchange const &send)
    {
        messages::ExchangeRequest request;
        stopwatch_.time([&] {
            Peer::encode(send.message, request);
            return request.SerializeAsString();
        });
        Fleet::Exchange reply;
        peer_.onExchange(Peer::decode(request), reply, clocks());
        messages::ExchangeReply encoded;
        Peer::encode(reply, encoded);
        auto const bytes = encoded.SerializeAsString();
        execute(stopwatch_.time([&] {
            messages::ExchangeReply received;
            received.ParseFromString(bytes);
            return node_.onReply(send.to, Peer::decode(received), clocks());
        }));
    }

    void receive(Fleet::Exchange const &message)
    {
        messages::ExchangeRequest encoded;
        Peer::encode(message, encoded);
        auto const bytes = encoded.SerializeAsString();
        execute(stopwatch_.time([&] {
            messages::ExchangeRequest received;
            received.ParseFromString(bytes);
            Fleet::Exchange reply;
            auto actions = node_.onExchange(Peer::decode(received), reply, clocks());
            messages::ExchangeReply replyMessage;
            Peer::encode(reply, replyMessage);
            replyMessage.SerializeAsString();
            return actions;
        }));
    }

    Instant now_{1h};
    Fleet::FleetNode node_;
    Fleet::FleetNode peer_;
    Stopwatch stopwatch_;
};

/// Returns the processor seconds of one gRPC exchange, for client and server together.
double measureCall()
{
    auto const server = Peer::AgentServer::create({
        .listen = Address("127.0.0.1:0"),
        .onExchange = [](Fleet::Exchange const &request, Peer::Responder<Fleet::Exchange> const &respond) { respond(request); },
    });
    auto const client = Peer::AgentClient::create({.self = InstanceId("bench")});
    Fleet::Exchange message{.from = InstanceId("bench")};
    message.instances = {Benchmarks::instanceRecord(1), Benchmarks::instanceRecord(2)};
    auto const call = [&] {
        std::promise<void> completed;
        client->exchange((*server)->address(), message, readLocalClock() + 10s, [&](auto const &) { completed.set_value(); });
        completed.get_future().wait();
    };
    call();
    auto const begin = cpuSeconds(CLOCK_PROCESS_CPUTIME_ID);
    for (int number = 0; number < MeasuredCalls; ++number)
        call();
    return (cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - begin) / MeasuredCalls;
}

void print(std::string const &metric, double value, std::string const &unit, std::optional<double> target = std::nullopt)
{
    boost::json::object figure{{"bench", "agent"}, {"metric", metric}, {"value", value}, {"unit", unit}};
    if (target) {
        figure["target"] = *target;
        figure["at_most"] = true;
    }
    std::cout << boost::json::serialize(figure) << std::endl;
}

} // namespace

int main()
{
    auto const call = measureCall();
    print("grpc_us_per_exchange", call * 1e6, "us");
    for (std::size_t const instances : {9UL, 50UL, 360UL}) {
        NodePair pair(instances);
        // `call` covers both ends of an exchange. Per interval an agent is the client of one exchange and the server of one on average.
        Fleet::FleetNodeOptions const options;
        auto const interval = instances < options.largeFleetSize ? options.exchangeInterval : options.exchangeIntervalInLargeFleet;
        auto const callCoreShare = call / std::chrono::duration<double>(interval).count();
        auto const suffix = "_" + std::to_string(instances);
        print("cpu_core_share" + suffix, pair.run() + callCoreShare, "cores", TargetCoreShare);
        // Includes both nodes and the gRPC threads of this process, so it overestimates the memory of one agent.
        print("rss_mb" + suffix, residentMegabytes(), "MB", TargetMegabytes);
    }
}
