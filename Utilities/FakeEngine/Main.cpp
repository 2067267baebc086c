#include "LibObserve/Events.h"
#include "LibObserve/Log.h"
#include "LibService/Program.h"
#include "LibService/Version.h"
#include "Utilities/FakeEngine/EngineServer.h"

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace Anvilyard;

constexpr Duration StopTimeout = 30s;
constexpr Duration StopPoll = 10ms;

void addOptions(cxxopts::Options &options)
{
    // clang-format off
    options.add_options()
        ("listen", "address to listen on; port 0 selects a free port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "ADDRESS:PORT")
        ("kind", "model-engine or plain-service", cxxopts::value<std::string>()->default_value("model-engine"), "KIND")
        ("models", "loaded models, as name@version,...; any model is served if empty", cxxopts::value<std::vector<std::string>>()->default_value(""), "LIST")
        ("slots", "maximum number of running streams", cxxopts::value<std::uint32_t>()->default_value("32"), "COUNT")
        ("first-token-ms", "time before a request can join a step", cxxopts::value<double>()->default_value("20"), "MS")
        ("token-ms", "duration of a step without streams", cxxopts::value<double>()->default_value("20"), "MS")
        ("stream-ms", "time added to a step for each stream", cxxopts::value<double>()->default_value("0.2"), "MS")
        ("prefill-ms", "time added to a step for each uncached prompt token", cxxopts::value<double>()->default_value("0.05"), "MS")
        ("prefix-cache-blocks", "capacity of the prefix cache", cxxopts::value<std::size_t>()->default_value("4096"), "BLOCKS")
        ("load-ms", "duration of an order to load", cxxopts::value<double>()->default_value("0"), "MS")
        ("fencing", "whether fencing numbers are checked or ignored", cxxopts::value<std::string>()->default_value("checked"), "MODE")
        ("instant", "respond immediately and ignore the durations above")
        ("record", "file that gets a JSON line for each start and end of a request", cxxopts::value<std::string>()->default_value(""), "FILE")
        ("help", "show this help and exit")
        ("version", "show the version and exit");
    // clang-format on
}

Duration milliseconds(cxxopts::ParseResult const &parsed, std::string const &name)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(parsed[name].as<double>()));
}

std::map<std::string, FakeEngine::EngineOrders::Model> readModels(std::vector<std::string> const &names)
{
    std::map<std::string, FakeEngine::EngineOrders::Model> models;
    for (auto const &name : names) {
        if (name.empty())
            continue;
        auto const at = name.find('@');
        auto &model = models[name.substr(0, at)];
        if (at != std::string::npos)
            model.versions.insert(name.substr(at + 1));
    }
    return models;
}

template<typename Choice>
Choice readChoice(cxxopts::ParseResult const &parsed, std::string const &name, std::map<std::string, Choice> const &choices)
{
    auto const found = choices.find(parsed[name].as<std::string>());
    if (found == choices.end())
        throw cxxopts::exceptions::parsing("--" + name + " does not support " + parsed[name].as<std::string>());
    return found->second;
}

FakeEngine::EngineOptions readOptions(cxxopts::ParseResult const &parsed)
{
    using namespace FakeEngine;
    return {
        .listen = Address(parsed["listen"].as<std::string>()),
        .kind = readChoice<ServerKind>(
            parsed, "kind", {{"model-engine", ServerKind::ModelEngine}, {"plain-service", ServerKind::PlainService}}),
        .pace = parsed.count("instant") > 0 ? Pace::Instant : Pace::Modelled,
        .timing = {.firstTokenBase = milliseconds(parsed, "first-token-ms"),
                   .tokenBase = milliseconds(parsed, "token-ms"),
                   .perStream = milliseconds(parsed, "stream-ms"),
                   .prefillPerToken = milliseconds(parsed, "prefill-ms"),
                   .slots = parsed["slots"].as<std::uint32_t>()},
        .prefixCacheBlocks = parsed["prefix-cache-blocks"].as<std::size_t>(),
        .fencing = readChoice<FencingCheck>(parsed, "fencing", {{"checked", FencingCheck::Checked}, {"ignored", FencingCheck::Ignored}}),
        .models = readModels(parsed["models"].as<std::vector<std::string>>()),
        .loadTime = milliseconds(parsed, "load-ms"),
        .recordFile = parsed["record"].as<std::string>(),
    };
}

void waitForRuns(Http::EventLoop &loop, FakeEngine::EngineServer &engine)
{
    auto const deadline = readLocalClock() + StopTimeout;
    while (readLocalClock() < deadline) {
        std::promise<std::size_t> open;
        loop.post([&] { open.set_value(engine.openRuns()); });
        if (open.get_future().get() == 0)
            return;
        std::this_thread::sleep_for(StopPoll);
    }
}

int serve(FakeEngine::EngineOptions options)
{
    Service::StopSignal stop;
    Http::EventLoop loop;
    auto engine = FakeEngine::EngineServer::create(loop, std::move(options));
    if (!engine) {
        Observe::log(Observe::Events::ServiceStartFailed, {{"reason", engine.error().toString()}});
        return static_cast<int>(Service::ExitCode::Failed);
    }
    std::cout << boost::json::serialize(boost::json::object{
        {"program", "anvilyard-fake-engine"},
        {"listen", (*engine)->address().value()},
    }) << std::endl;
    std::thread thread([&loop] { loop.run(); });
    stop.wait();
    loop.post([&] { (*engine)->announceLeaving(); });
    waitForRuns(loop, **engine);
    loop.stop();
    thread.join();
    return static_cast<int>(Service::ExitCode::Done);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    cxxopts::Options options("anvilyard-fake-engine", "Fake model engine or server of a plain service.");
    addOptions(options);
    try {
        auto const parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\nExit codes: 0 success, 1 failure, 2 usage error.\n";
            return static_cast<int>(Service::ExitCode::Done);
        }
        if (parsed.count("version") > 0) {
            std::cout << "anvilyard-fake-engine " << Service::Version << '\n';
            return static_cast<int>(Service::ExitCode::Done);
        }
        if (!parsed.unmatched().empty())
            throw cxxopts::exceptions::parsing("unexpected argument " + parsed.unmatched().front());
        auto const engineOptions = readOptions(parsed);
        Observe::configureLog({});
        return serve(engineOptions);
    } catch (cxxopts::exceptions::exception const &exception) {
        std::cerr << "anvilyard-fake-engine: " << exception.what() << "; see --help\n";
        return static_cast<int>(Service::ExitCode::Usage);
    }
}
