#include "LibService/Program.h"
#include "Services/Batch/BatchProgram.h"

int main(int argumentCount, char const *const *arguments)
{
    using namespace Anvilyard;
    Service::StopSignal stop;
    Batch::BatchProgram program(stop);
    return Service::runProgram({.name = "anvilyard-batch", .summary = "Runs the items of batch jobs on idle backend servers."},
                               {
                                   .readSettings = [&](Service::SettingsReader &reader) { program.readSettings(reader); },
                                   .serve = [&](Service::CommonSettings const &common) { return program.serve(common); },
                               },
                               argumentCount,
                               arguments);
}
