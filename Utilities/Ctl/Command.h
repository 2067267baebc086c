#pragma once

#include "LibService/Program.h"
#include "Utilities/Ctl/Output.h"

#include <cxxopts.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Anvilyard::Ctl {

using Service::ExitCode;

/// One command of the program. cxxopts parses its options and positional arguments and generates its help.
class Command
{
public:
    virtual ~Command() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    [[nodiscard]] virtual std::string summary() const = 0;
    /// Returns the names of the positional arguments, which are all required.
    [[nodiscard]] virtual std::vector<std::string> arguments() const;
    virtual void declareOptions(cxxopts::Options &options) const;
    /// Returns whether the command calls the platform and therefore requires `--platform`.
    [[nodiscard]] virtual bool needsPlatform() const;
    /// Returns the names of the other required options.
    [[nodiscard]] virtual std::vector<std::string> requiredOptions() const;
    virtual ExitCode run(cxxopts::ParseResult const &options, Output const &output) = 0;
};

/// Returns the value of `--platform`.
Address platformOf(cxxopts::ParseResult const &options);

std::unique_ptr<Command> makeCheckCommand();
std::unique_ptr<Command> makeDiffCommand();
std::unique_ptr<Command> makeApplyCommand();
std::unique_ptr<Command> makeShowCommand();
std::unique_ptr<Command> makeHistoryCommand();
std::unique_ptr<Command> makeWhoCommand();
std::unique_ptr<Command> makeStatusCommand();
std::unique_ptr<Command> makeDrainCommand();
std::unique_ptr<Command> makeJobsCommand();
std::unique_ptr<Command> makeCancelCommand();
std::unique_ptr<Command> makeExplainCommand();

} // namespace Anvilyard::Ctl
