#include "LibService/Program.h"

#include "LibObserve/Events.h"
#include "LibService/Version.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <pthread.h>

namespace Anvilyard::Service {

namespace {

int toInt(ExitCode code)
{
    return static_cast<int>(code);
}

Observe::Severity readSeverity(SettingsReader &reader)
{
    static std::map<std::string, Observe::Severity> const severities = {
        {"debug", Observe::Severity::Debug},
        {"info", Observe::Severity::Info},
        {"warning", Observe::Severity::Warning},
        {"error", Observe::Severity::Error},
    };
    auto const found = severities.find(reader.readString("log.level", "info"));
    if (found != severities.end())
        return found->second;
    reader.addError("log.level", "expected debug, info, warning or error");
    return Observe::Severity::Info;
}

enum class RunMode {
    Check,
    Serve,
};

ExitCode readAndServe(std::string const &file, RunMode mode, ProgramHooks const &hooks)
{
    auto reader = SettingsReader::fromFile(file);
    auto common = readCommonSettings(reader);
    common.file = file;
    hooks.readSettings(reader);
    if (auto const errors = reader.finish(); !errors.empty()) {
        for (auto const &settingsError : errors)
            std::cerr << settingsError.toString() << '\n';
        return ExitCode::Failed;
    }
    if (mode == RunMode::Check) {
        std::cout << file << ": the settings are valid\n";
        return ExitCode::Done;
    }
    Observe::configureLog(common.log);
    return hooks.serve(common);
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

CommonSettings readCommonSettings(SettingsReader &reader)
{
    CommonSettings settings;
    settings.log.file = reader.readString("log.file", "");
    settings.log.minSeverity = readSeverity(reader);
    settings.traceFile = reader.readString("trace.file", "");
    settings.adminListen = reader.readAddress("admin.listen", Address("127.0.0.1:0"));
    return settings;
}

int runProgram(ProgramDescription const &description, ProgramHooks const &hooks, int argumentCount, char const *const *arguments)
{
    cxxopts::Options options(description.name, description.summary);
    // clang-format off
    options.add_options()
        ("config", "YAML settings file; default: the file named by ANVILYARD_CONFIG", cxxopts::value<std::string>(), "FILE")
        ("check-config", "check the settings file and exit")
        ("help", "show this help and exit")
        ("version", "show the version and exit");
    // clang-format on
    try {
        auto const parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\nExit codes: 0 success, 1 invalid settings or failure, 2 usage error.\n";
            return toInt(ExitCode::Done);
        }
        if (parsed.count("version") > 0) {
            std::cout << description.name << ' ' << Version << '\n';
            return toInt(ExitCode::Done);
        }
        if (!parsed.unmatched().empty()) {
            std::cerr << description.name << ": unexpected argument: " << parsed.unmatched().front() << '\n';
            return toInt(ExitCode::Usage);
        }
        auto const *const fromEnvironment = std::getenv("ANVILYARD_CONFIG");
        if (parsed.count("config") == 0 && !fromEnvironment) {
            std::cerr << description.name << ": --config FILE or ANVILYARD_CONFIG is required; see --help\n";
            return toInt(ExitCode::Usage);
        }
        auto const file = parsed.count("config") > 0 ? parsed["config"].as<std::string>() : std::string(fromEnvironment);
        auto const mode = parsed.count("check-config") > 0 ? RunMode::Check : RunMode::Serve;
        return toInt(readAndServe(file, mode, hooks));
    } catch (cxxopts::exceptions::exception const &exception) {
        std::cerr << description.name << ": " << exception.what() << "; see --help\n";
        return toInt(ExitCode::Usage);
    }
}

StopSignal::StopSignal()
{
    auto const signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the peer has closed must return an error code instead of terminating the program.
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait()
{
    auto const signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace Anvilyard::Service
