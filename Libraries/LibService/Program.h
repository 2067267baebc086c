#pragma once

#include "LibObserve/Log.h"
#include "LibService/SettingsReader.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Service {

/// Exit codes of every program.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
};

struct ProgramDescription {
    std::string name;
    std::string summary;
};

/// Settings that every service has: `log.file`, `log.level`, `trace.file`, `admin.listen`.
struct CommonSettings {
    /// Where they were read, for reading them again.
    std::string file;
    Observe::LogOptions log;
    std::string traceFile;
    Address adminListen;
};

CommonSettings readCommonSettings(SettingsReader &reader);

/// Runs a service program: --help, --version, --config FILE, --check-config; all faults of the settings are printed at once.
/// `readSettings` reads everything and keeps it; `serve` runs until the stop signal and returns the exit code.
struct ProgramHooks {
    std::function<void(SettingsReader &)> readSettings;
    std::function<ExitCode(CommonSettings const &)> serve;
};

int runProgram(ProgramDescription const &description, ProgramHooks const &hooks, int argumentCount, char const *const *arguments);

/// Waits for SIGTERM or SIGINT. Create it before any thread starts, so that all threads leave the signals to it.
class StopSignal
{
public:
    StopSignal();
    /// Blocks until a signal came.
    void wait();
};

} // namespace Anvilyard::Service
