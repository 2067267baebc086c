#include "LibService/Version.h"
#include "Utilities/Ctl/Command.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace Anvilyard;
using namespace Anvilyard::Ctl;

constexpr char const *Name = "anvilyardctl";

using Commands = std::vector<std::unique_ptr<Command>>;

Commands makeCommands()
{
    Commands commands;
    commands.push_back(makeCheckCommand());
    commands.push_back(makeDiffCommand());
    commands.push_back(makeApplyCommand());
    commands.push_back(makeShowCommand());
    commands.push_back(makeHistoryCommand());
    commands.push_back(makeWhoCommand());
    commands.push_back(makeStatusCommand());
    commands.push_back(makeDrainCommand());
    commands.push_back(makeJobsCommand());
    commands.push_back(makeCancelCommand());
    commands.push_back(makeExplainCommand());
    return commands;
}

void printHelp(Commands const &commands)
{
    std::cout << "Command-line tool for operators of anvilyard.\n\nUsage:\n  " << Name << " COMMAND [OPTIONS]\n\nCommands:\n";
    for (auto const &command : commands)
        std::cout << "  " << command->name() << std::string(10 - command->name().size(), ' ') << command->summary() << '\n';
    std::cout << "\n"
              << Name << " COMMAND --help shows a command's options; --version shows the version.\n"
              << "Exit codes: 0 success, 1 refusal or failure, 2 usage error.\n";
}

ExitCode usage(std::string const &message)
{
    std::cerr << Name << ": " << message << "; see --help\n";
    return ExitCode::Usage;
}

std::string upperCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return std::toupper(character); });
    return text;
}

cxxopts::Options describe(Command const &command)
{
    cxxopts::Options options(std::string(Name) + " " + command.name(), command.summary());
    command.declareOptions(options);
    if (command.needsPlatform())
        options.add_options()("platform", "IP address and port of the platform", cxxopts::value<std::string>(), "ADDRESS");
    // clang-format off
    options.add_options()
        ("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORMAT")
        ("help", "show this help and exit");
    // clang-format on
    std::string positional;
    for (auto const &argument : command.arguments()) {
        options.add_options("positional")(argument, "", cxxopts::value<std::string>());
        positional += positional.empty() ? upperCase(argument) : " " + upperCase(argument);
    }
    options.parse_positional(command.arguments());
    options.positional_help(positional);
    return options;
}

ExitCode runCommand(Command &command, int argumentCount, char const *const *arguments)
{
    auto options = describe(command);
    auto const parsed = options.parse(argumentCount, arguments);
    if (parsed.count("help") > 0) {
        std::cout << options.help({""}) << "\nExit codes: 0 success, 1 refusal or failure, 2 usage error.\n";
        return ExitCode::Done;
    }
    if (!parsed.unmatched().empty())
        return usage("unexpected argument: " + parsed.unmatched().front());
    for (auto const &argument : command.arguments()) {
        if (parsed.count(argument) == 0)
            return usage(command.name() + " needs " + upperCase(argument));
    }
    auto required = command.requiredOptions();
    if (command.needsPlatform())
        required.emplace_back("platform");
    for (auto const &option : required) {
        if (parsed.count(option) == 0)
            return usage("--" + option + " is required");
    }
    auto const format = parsed["output"].as<std::string>();
    if (format != "text" && format != "json")
        return usage("--output must be text or json");
    return command.run(parsed, Output(format == "json" ? Output::Format::Json : Output::Format::Text));
}

ExitCode run(int argumentCount, char const *const *arguments)
{
    auto const commands = makeCommands();
    if (argumentCount < 2)
        return usage("a command is required");
    std::string const first = arguments[1];
    if (first == "--help" || first == "help") {
        printHelp(commands);
        return ExitCode::Done;
    }
    if (first == "--version") {
        std::cout << Name << ' ' << Service::Version << '\n';
        return ExitCode::Done;
    }
    auto const found = std::find_if(commands.begin(), commands.end(), [&](auto const &command) { return command->name() == first; });
    if (found == commands.end())
        return usage("unknown command: " + first);
    return runCommand(**found, argumentCount - 1, arguments + 1);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        return static_cast<int>(run(argumentCount, arguments));
    } catch (cxxopts::exceptions::exception const &exception) {
        return static_cast<int>(usage(exception.what()));
    }
}
