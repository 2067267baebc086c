#include "LibService/Program.h"
#include "Services/Entry/EntryProgram.h"

int main(int argumentCount, char const *const *arguments)
{
    using namespace Anvilyard;
    Service::StopSignal stop;
    Entry::EntryProgram program(stop);
    return Service::runProgram({.name = "anvilyard-entry", .summary = "Serves callers: online requests, and submission of batch jobs."},
                               {
                                   .readSettings = [&](Service::SettingsReader &reader) { program.readSettings(reader); },
                                   .serve = [&](Service::CommonSettings const &common) { return program.serve(common); },
                               },
                               argumentCount,
                               arguments);
}
