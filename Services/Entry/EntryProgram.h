#pragma once

#include "LibService/Program.h"
#include "Services/Entry/EntryService.h"
#include "Services/Entry/EntrySettings.h"

#include <atomic>

namespace Anvilyard::Entry {

/// Runs the entry service as a program, with its settings, admin port, agent connection and stop signal.
class EntryProgram
{
public:
    explicit EntryProgram(Service::StopSignal &stop);

    void readSettings(Service::SettingsReader &reader);
    Service::ExitCode serve(Service::CommonSettings const &common);

private:
    Service::StopSignal &stop_;
    EntrySettings settings_;
    std::atomic<bool> isStopping_{false};
};

} // namespace Anvilyard::Entry
