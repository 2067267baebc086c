#include "LibRules/RuleDifference.h"
#include "LibRules/RuleLine.h"
#include "Utilities/Ctl/RulesAccess.h"
#include "Utilities/Ctl/RulesReport.h"

#include <algorithm>

namespace Anvilyard::Ctl {

namespace {

std::string leavingMapping(std::string const &server)
{
    return "{leaving: " + server + "}";
}

bool isLeavingLine(std::string_view line, std::string const &server)
{
    return Rules::RuleLine::split(line).mapping == leavingMapping(server);
}

std::string withoutLine(std::string const &text, std::string const &server)
{
    std::string remaining;
    for (auto const line : Rules::splitLines(text)) {
        if (!isLeavingLine(line, server))
            remaining += std::string(line) + "\n";
    }
    return remaining;
}

class DrainCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "drain";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "stop sending new work to a backend server; --undo resumes it";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"server"};
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        declareAuthor(options);
        // clang-format off
        options.add_options()
            ("requester", "name of the requester; the author by default", cxxopts::value<std::string>(), "NAME")
            ("reason", "reason for the change", cxxopts::value<std::string>()->default_value("drained by anvilyardctl"), "TEXT")
            ("undo", "remove the rule again");
        // clang-format on
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        RulesAccess access(platformOf(options));
        auto const newest = access.newest();
        if (!newest || !*newest) {
            output.fail(newest ? "there are no rules yet" : newest.error().toString());
            return ExitCode::Failed;
        }
        // If another operator is faster, the change is rebased like that of a file.
        Operator::RuleBase const base{.kind = Operator::RuleBase::Kind::Generation, .generation = (*newest)->generation};
        return reportAcceptance(
            output, access.accept({.text = changedText((*newest)->text, options), .author = authorOf(options), .base = base}), 0);
    }

private:
    static std::string changedText(std::string const &text, cxxopts::ParseResult const &options)
    {
        auto const server = options["server"].as<std::string>();
        if (options.count("undo") > 0)
            return withoutLine(text, server);
        auto const lines = Rules::splitLines(text);
        if (std::any_of(lines.begin(), lines.end(), [&](auto const line) { return isLeavingLine(line, server); }))
            return text;
        auto const requester = options.count("requester") > 0 ? options["requester"].as<std::string>() : authorOf(options);
        auto changed = text;
        if (!changed.empty() && !changed.ends_with('\n'))
            changed += '\n';
        return changed + leavingMapping(server) + "  # asked by " + requester + ": " + options["reason"].as<std::string>() + "\n";
    }
};

} // namespace

std::unique_ptr<Command> makeDrainCommand()
{
    return std::make_unique<DrainCommand>();
}

} // namespace Anvilyard::Ctl
