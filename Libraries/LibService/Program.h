#pragma once

#include "LibObserve/Log.h"
#include "LibService/SettingsReader.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Service {

/// Exit codes of all programs.
enum class ExitCode : int {
    Done = 0,
    Failed = 1,
    Usage = 2,
};

struct ProgramDescription {
    std::string name;
    std::string summary;
};

/// Settings common to all services: `log.file`, `log.level`, `trace.file` and `admin.listen`.
struct CommonSettings {
    /// Path of the settings file, used to reload it.
    std::string file;
    Observe::LogOptions log;
    std::string traceFile;
    Address adminListen;
};

CommonSettings readCommonSettings(SettingsReader &reader);

/// The program-specific steps of runProgram(). `readSettings` reads and stores all settings of the program. `serve` runs until the stop
/// signal and returns the exit code.
struct ProgramHooks {
    std::function<void(SettingsReader &)> readSettings;
    std::function<ExitCode(CommonSettings const &)> serve;
};

/// Runs a service program with the options --help, --version, --config FILE and --check-config. Prints all errors in the settings at once.
int runProgram(ProgramDescription const &description, ProgramHooks const &hooks, int argumentCount, char const *const *arguments);

/// Waits for SIGTERM or SIGINT. Must be created before any thread starts, so that all threads inherit the blocked signal mask.
class StopSignal
{
public:
    StopSignal();
    /// Blocks until one of the signals arrives.
    void wait();
};

} // namespace Anvilyard::Service
