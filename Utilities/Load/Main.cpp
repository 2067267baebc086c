#include "LibService/Program.h"
#include "LibService/Version.h"
#include "Utilities/Load/BatchJob.h"
#include "Utilities/Load/OnlineLoad.h"
#include "Utilities/Load/Report.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>

namespace {

using namespace Anvilyard;

struct Options {
    Load::OnlineOptions online;
    std::optional<Load::BatchOptions> batch;
    std::string reportFile;
};

void addOptions(cxxopts::Options &options)
{
    // clang-format off
    options.add_options("Online requests")
        ("target", "address of an entry process or engine; if repeated, requests rotate over the addresses", cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT")
        ("key", "key of the customer; not needed for requests sent directly to an engine", cxxopts::value<std::string>()->default_value(""), "KEY")
        ("model", "name of the service, or of the model for requests sent directly to an engine", cxxopts::value<std::string>(), "NAME")
        ("rate", "rate of steady requests per second", cxxopts::value<double>()->default_value("10"), "RATE")
        ("burst-every", "mean interval between bursts in seconds; 0 for no bursts", cxxopts::value<double>()->default_value("0"), "SECONDS")
        ("burst-requests", "number of requests per burst", cxxopts::value<std::uint32_t>()->default_value("20"), "COUNT")
        ("seconds", "duration in which requests are sent", cxxopts::value<double>()->default_value("10"), "SECONDS")
        ("warm-up", "initial period whose latencies are not recorded", cxxopts::value<double>()->default_value("1"), "SECONDS")
        ("tokens", "tokens per response", cxxopts::value<std::uint32_t>()->default_value("32"), "COUNT")
        ("prompt-bytes", "size of the unique part of a prompt", cxxopts::value<std::size_t>()->default_value("64"), "BYTES")
        ("prefixes", "number of shared prompt prefixes", cxxopts::value<std::uint32_t>()->default_value("8"), "COUNT")
        ("prefix-bytes", "size of a shared prefix", cxxopts::value<std::size_t>()->default_value("512"), "BYTES")
        ("seed", "seed for arrival times and prompts", cxxopts::value<std::uint64_t>()->default_value("1"), "SEED");
    options.add_options("Concurrent batch job")
        ("batch-items", "number of items of the job; 0 for no job", cxxopts::value<std::uint32_t>()->default_value("0"), "COUNT")
        ("batch-model", "name of the service for the items", cxxopts::value<std::string>()->default_value(""), "NAME")
        ("batch-tokens", "tokens per item response", cxxopts::value<std::uint32_t>()->default_value("32"), "COUNT");
    options.add_options()
        ("report", "file for the JSON report; default is standard output", cxxopts::value<std::string>()->default_value(""), "FILE")
        ("help", "show this help and exit")
        ("version", "show the version and exit");
    // clang-format on
}

Duration seconds(cxxopts::ParseResult const &parsed, std::string const &name)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(parsed[name].as<double>()));
}

Load::OnlineOptions readOnline(cxxopts::ParseResult const &parsed)
{
    Load::OnlineOptions online{
        .key = parsed["key"].as<std::string>(),
        .model = parsed["model"].as<std::string>(),
        .tokens = parsed["tokens"].as<std::uint32_t>(),
        .warmUp = seconds(parsed, "warm-up"),
        .arrivals = {.seed = parsed["seed"].as<std::uint64_t>(),
                     .runDuration = seconds(parsed, "seconds"),
                     .requestsPerSecond = parsed["rate"].as<double>(),
                     .meanBurstInterval = seconds(parsed, "burst-every"),
                     .burstRequests = parsed["burst-requests"].as<std::uint32_t>()},
        .prompts = {.prefixes = parsed["prefixes"].as<std::uint32_t>(),
                    .prefixBytes = parsed["prefix-bytes"].as<std::size_t>(),
                    .uniqueBytes = parsed["prompt-bytes"].as<std::size_t>()},
    };
    for (auto const &target : parsed["target"].as<std::vector<std::string>>())
        online.targets.emplace_back(target);
    return online;
}

Options readOptions(cxxopts::ParseResult const &parsed)
{
    for (auto const *required : {"target", "model"}) {
        if (parsed.count(required) == 0)
            throw cxxopts::exceptions::parsing(std::string("--") + required + " is required");
    }
    Options options{.online = readOnline(parsed), .reportFile = parsed["report"].as<std::string>()};
    auto const items = parsed["batch-items"].as<std::uint32_t>();
    if (items == 0)
        return options;
    auto const &online = options.online;
    options.batch = Load::BatchOptions{.submitTo = online.targets.front(),
                                       .readFrom = online.targets.back(),
                                       .key = online.key,
                                       .model = parsed["batch-model"].as<std::string>(),
                                       .seed = online.arrivals.seed,
                                       .items = items,
                                       .tokens = parsed["batch-tokens"].as<std::uint32_t>()};
    return options;
}

/// Runs the online load, with the concurrent batch job if there is one, and returns the report.
std::string measure(Options const &options)
{
    Http::EventLoop loop;
    auto const client = Http::HttpClient::create(loop, {.idleConnectionsPerServer = 256});
    Load::OnlineLoad online(loop, *client, options.online);
    std::optional<Load::BatchJob> job;
    std::string report;
    auto const startOnline = [&] {
        online.start([&](Load::OnlineResults const &results) {
            if (!job) {
                report = Load::renderReport(results, nullptr);
                return loop.stop();
            }
            job->stop([&, results](Load::BatchResults const &batch) {
                report = Load::renderReport(results, &batch);
                loop.stop();
            });
        });
    };
    if (options.batch)
        job.emplace(loop, *client, *options.batch);
    loop.post([&] {
        if (job)
            job->start(startOnline);
        else
            startOnline();
    });
    loop.run();
    return report;
}

int run(Options const &options)
{
    auto const report = measure(options);
    if (options.reportFile.empty()) {
        std::cout << report << '\n';
        return static_cast<int>(Service::ExitCode::Done);
    }
    std::ofstream file(options.reportFile);
    file << report << '\n';
    if (file)
        return static_cast<int>(Service::ExitCode::Done);
    std::cerr << "anvilyard-load: cannot write " << options.reportFile << '\n';
    return static_cast<int>(Service::ExitCode::Failed);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("anvilyard-load",
                             "Sends online requests at planned times, independently of earlier responses, and reports tail latency.");
    addOptions(options);
    try {
        auto const parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help({"Online requests", "Concurrent batch job", ""})
                      << "\nExit codes: 0 success, 1 failure, 2 usage error.\n";
            return static_cast<int>(Service::ExitCode::Done);
        }
        if (parsed.count("version") > 0) {
            std::cout << "anvilyard-load " << Service::Version << '\n';
            return static_cast<int>(Service::ExitCode::Done);
        }
        if (!parsed.unmatched().empty())
            throw cxxopts::exceptions::parsing("unexpected argument " + parsed.unmatched().front());
        return run(readOptions(parsed));
    } catch (cxxopts::exceptions::exception const &exception) {
        std::cerr << "anvilyard-load: " << exception.what() << "; see --help\n";
        return static_cast<int>(Service::ExitCode::Usage);
    }
}
