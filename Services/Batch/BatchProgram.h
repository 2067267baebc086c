#pragma once

#include "LibService/Program.h"
#include "Services/Batch/BatchSettings.h"

namespace Anvilyard::Batch {

/// The anvilyard-batch program, from reading its settings to its exit code.
class BatchProgram
{
public:
    explicit BatchProgram(Service::StopSignal &stop);

    void readSettings(Service::SettingsReader &reader);
    Service::ExitCode serve(Service::CommonSettings const &common);

private:
    Service::StopSignal &stop_;
    BatchSettings settings_;
};

} // namespace Anvilyard::Batch
