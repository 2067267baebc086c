// Sends requests alternately to an engine and to the entry in front of it, so that both are measured under the same machine load.
// Then measures the maximum request rate of one traffic thread of the entry. Prints one JSON object.

#include "LibHttp/HttpClient.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <vector>

namespace {

using namespace Anvilyard;

struct Target {
    Address address;
    std::string model;
    std::string key;
};

/// Latencies of the successful requests, and the number of failed requests.
struct Latencies {
    std::vector<double> microseconds;
    std::size_t failed = 0;

    [[nodiscard]] double at(double quantile)
    {
        if (microseconds.empty())
            return 0;
        auto const rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(microseconds.size() - 1));
        std::nth_element(microseconds.begin(), microseconds.begin() + rank, microseconds.end());
        return microseconds[static_cast<std::size_t>(rank)];
    }
};

class Probe
{
public:
    Probe(Http::EventLoop &loop, Http::HttpClient &client)
        : loop_(loop)
        , client_(client)
    {
    }

    /// Sends a request to each target in turn, `rounds` times. Each request waits for the response to the previous one.
    void measureAlternating(std::vector<Target> targets, std::size_t rounds, std::vector<Latencies> &latencies)
    {
        latencies.resize(targets.size());
        loop_.post([&, this] { sendNext(targets, 0, rounds * targets.size(), latencies); });
        loop_.run();
    }

    /// Keeps `concurrency` requests in flight for `runTime` and returns the number of successful requests.
    std::size_t measureConcurrently(Target const &target, std::size_t concurrency, Duration runTime)
    {
        succeeded_ = 0;
        inFlight_ = 0;
        loop_.post([&, this] {
            auto const deadline = readLocalClock() + runTime;
            for (std::size_t index = 0; index < concurrency; ++index)
                sendUntil(target, deadline);
        });
        loop_.run();
        return succeeded_;
    }

private:
    using Done = std::function<void(bool ok, Duration elapsed)>;

    void sendNext(std::vector<Target> const &targets, std::size_t number, std::size_t end, std::vector<Latencies> &latencies)
    {
        if (number == end)
            return loop_.stop();
        auto const targetIndex = number % targets.size();
        send(targets[targetIndex], [&, this, number, end, targetIndex](bool ok, Duration elapsed) {
            if (ok)
                latencies[targetIndex].microseconds.push_back(static_cast<double>(elapsed.count()));
            else
                ++latencies[targetIndex].failed;
            sendNext(targets, number + 1, end, latencies);
        });
    }

    void sendUntil(Target const &target, Instant deadline)
    {
        if (readLocalClock() >= deadline) {
            if (inFlight_ == 0)
                loop_.stop();
            return;
        }
        ++inFlight_;
        send(target, [&, this, deadline](bool ok, Duration) {
            --inFlight_;
            succeeded_ += ok ? 1 : 0;
            sendUntil(target, deadline);
        });
    }

    void send(Target const &target, Done done)
    {
        boost::json::object const body{{"model", target.model}, {"prompt", "probe " + std::to_string(++number_)}, {"max_tokens", 1}};
        Http::HttpRequest request{.method = "POST", .target = "/v1/completions", .body = boost::json::serialize(body)};
        request.headers.set("Content-Type", "application/json");
        if (!target.key.empty())
            request.headers.set("Authorization", "Bearer " + target.key);
        auto const sent = readLocalClock();
        client_.fetch({.server = target.address, .request = std::move(request), .deadline = sent + 10s},
                      [done = std::move(done), sent](tl::expected<Http::HttpResponse, Http::ExchangeFailure> const &result) {
                          done(result && result->status == 200, readLocalClock() - sent);
                      });
    }

    Http::EventLoop &loop_;
    Http::HttpClient &client_;
    std::uint64_t number_ = 0;
    std::size_t succeeded_ = 0;
    std::size_t inFlight_ = 0;
};

} // namespace

int main(int argumentCount, char **arguments)
{
    constexpr std::size_t WarmUpRounds = 500;
    constexpr std::size_t Rounds = 6000;
    constexpr std::size_t Concurrency = 64;
    constexpr Duration ThroughputRunTime = 4s;
    cxxopts::Options options("entry-probe", "Measures the latency that an entry adds to a request.");
    // clang-format off
    options.add_options()
        ("engine", "address of the engine", cxxopts::value<std::string>())
        ("engine-model", "model that the engine serves", cxxopts::value<std::string>())
        ("entry", "address of the entry in front of the engine", cxxopts::value<std::string>())
        ("service", "service whose requests the entry sends to the engine", cxxopts::value<std::string>())
        ("key", "API key of the customer", cxxopts::value<std::string>());
    // clang-format on
    try {
        auto const parsed = options.parse(argumentCount, arguments);
        Target const engine{Address(parsed["engine"].as<std::string>()), parsed["engine-model"].as<std::string>(), ""};
        Target const entry{
            Address(parsed["entry"].as<std::string>()), parsed["service"].as<std::string>(), parsed["key"].as<std::string>()};
        std::vector<Latencies> warmUp;
        std::vector<Latencies> latencies;
        std::size_t succeeded = 0;
        {
            Http::EventLoop loop;
            auto const client = Http::HttpClient::create(loop, {});
            Probe(loop, *client).measureAlternating({engine, entry}, WarmUpRounds, warmUp);
        }
        {
            Http::EventLoop loop;
            auto const client = Http::HttpClient::create(loop, {});
            Probe(loop, *client).measureAlternating({engine, entry}, Rounds, latencies);
        }
        {
            Http::EventLoop loop;
            auto const client = Http::HttpClient::create(loop, {.idleConnectionsPerServer = Concurrency});
            succeeded = Probe(loop, *client).measureConcurrently(entry, Concurrency, ThroughputRunTime);
        }
        auto const seconds = std::chrono::duration<double>(ThroughputRunTime).count();
        std::cout << boost::json::serialize(boost::json::object{
            {"direct_p50_us", latencies[0].at(0.5)},
            {"direct_p99_us", latencies[0].at(0.99)},
            {"entry_p50_us", latencies[1].at(0.5)},
            {"entry_p99_us", latencies[1].at(0.99)},
            {"failed", latencies[0].failed + latencies[1].failed},
            {"requests_per_s", static_cast<double>(succeeded) / seconds},
        }) << '\n';
    } catch (cxxopts::exceptions::exception const &exception) {
        std::cerr << "entry-probe: " << exception.what() << '\n';
        return 2;
    }
    return 0;
}
