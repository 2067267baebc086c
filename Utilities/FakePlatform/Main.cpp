#include "LibService/Program.h"
#include "LibService/Version.h"
#include "Tests/FakePlatform/FakePlatformServer.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

namespace {

using namespace Anvilyard;

constexpr char const *Name = "anvilyard-fake-platform";

int toInt(Service::ExitCode code)
{
    return static_cast<int>(code);
}

Service::ExitCode serve(Address const &listen)
{
    Service::StopSignal stopSignal;
    Http::EventLoop loop;
    auto platform = Tests::FakePlatformServer::create(loop, listen);
    if (!platform) {
        std::cerr << Name << ": " << platform.error().toString() << '\n';
        return Service::ExitCode::Failed;
    }
    std::thread thread([&loop] { loop.run(); });
    std::cout << boost::json::serialize(boost::json::object{{"platform", (*platform)->address().value()}}) << std::endl;
    stopSignal.wait();
    loop.stop();
    thread.join();
    return Service::ExitCode::Done;
}

Service::ExitCode run(int argumentCount, char const *const *arguments)
{
    cxxopts::Options options(Name, "Fake platform with the Object API, the instance list and fault injection under /control");
    // clang-format off
    options.add_options()
        ("listen", "address to listen on; port 0 selects a free port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"), "ADDRESS")
        ("help", "show this help and exit")
        ("version", "show the version and exit");
    // clang-format on
    auto const parsed = options.parse(argumentCount, arguments);
    if (parsed.count("help") > 0) {
        std::cout << options.help()
                  << "\nPrints its address as one line of JSON once it is ready.\nExit codes: 0 success, 1 failure, 2 usage error.\n";
        return Service::ExitCode::Done;
    }
    if (parsed.count("version") > 0) {
        std::cout << Name << ' ' << Service::Version << '\n';
        return Service::ExitCode::Done;
    }
    if (!parsed.unmatched().empty()) {
        std::cerr << Name << ": unexpected argument: " << parsed.unmatched().front() << '\n';
        return Service::ExitCode::Usage;
    }
    return serve(Address(parsed["listen"].as<std::string>()));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        return toInt(run(argumentCount, arguments));
    } catch (cxxopts::exceptions::exception const &exception) {
        std::cerr << Name << ": " << exception.what() << "; see --help\n";
        return toInt(Service::ExitCode::Usage);
    }
}
