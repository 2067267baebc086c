#include "LibRules/RuleLine.h"
#include "Utilities/Ctl/RulesAccess.h"

#include <algorithm>

namespace Anvilyard::Ctl {

namespace {

/// A rule in force and the generation since which it is known to be in force.
struct RuleOrigin {
    std::size_t line = 0;
    std::string text;
    Rules::AcceptedRules since;
};

bool containsLine(std::string const &text, std::string const &line)
{
    auto const lines = Rules::splitLines(text);
    return std::find(lines.begin(), lines.end(), line) != lines.end();
}

class WhoCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "who";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "show who requested the rules that contain a text, and since when";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"text"};
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        options.add_options()("limit", "number of generations to look back", cxxopts::value<std::size_t>()->default_value("100"), "COUNT");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        RulesAccess access(platformOf(options));
        auto const newest = access.newest();
        if (!newest || !*newest) {
            output.fail(newest ? "there are no rules yet" : newest.error().toString());
            return ExitCode::Failed;
        }
        auto found = findLines(**newest, options["text"].as<std::string>());
        if (auto const error = lookBack(access, found, options["limit"].as<std::size_t>())) {
            output.fail(error->toString());
            return ExitCode::Failed;
        }
        print(output, found);
        return found.empty() ? ExitCode::Failed : ExitCode::Done;
    }

private:
    static std::vector<RuleOrigin> findLines(Rules::AcceptedRules const &rules, std::string const &text)
    {
        std::vector<RuleOrigin> found;
        std::size_t number = 0;
        for (auto const line : Rules::splitLines(rules.text)) {
            ++number;
            bool const isRule = Rules::RuleLine::split(line).kind == Rules::RuleLine::Kind::Rule;
            if (isRule && line.find(text) != std::string_view::npos)
                found.push_back({.line = number, .text = std::string(line), .since = rules});
        }
        return found;
    }

    /// Moves each rule's `since` back to the generation that added it, as far as the limit allows.
    static std::optional<Error> lookBack(RulesAccess &access, std::vector<RuleOrigin> &found, std::size_t limit)
    {
        if (found.empty())
            return std::nullopt;
        auto number = found.front().since.generation.value();
        bool anyMoved = true;
        for (; limit > 0 && number > 1 && anyMoved; --limit) {
            auto const older = access.get(Generation(--number));
            if (!older)
                return older.error();
            anyMoved = false;
            for (auto &origin : found) {
                if (!*older || origin.since.generation.value() != number + 1 || !containsLine((*older)->text, origin.text))
                    continue;
                origin.since = **older;
                anyMoved = true;
            }
        }
        return std::nullopt;
    }

    static void print(Output const &output, std::vector<RuleOrigin> const &found)
    {
        boost::json::array listed;
        std::string text;
        for (auto const &[line, rule, since] : found) {
            auto const parts = Rules::RuleLine::split(rule);
            listed.push_back({{"line", line},
                              {"rule", std::string(parts.mapping)},
                              {"requester", std::string(parts.requester)},
                              {"reason", std::string(parts.reason)},
                              {"since_generation", since.generation.value()},
                              {"accepted_at", formatTime(since.acceptedAt)},
                              {"author", since.author}});
            text += "line " + std::to_string(line) + ": " + std::string(parts.mapping) + "\n  asked by " + std::string(parts.requester)
                + (parts.reason.empty() ? "" : ": " + std::string(parts.reason)) + "\n  since generation "
                + std::to_string(since.generation.value()) + ", put in force by " + since.author + " at " + formatTime(since.acceptedAt)
                + "\n";
        }
        output.print(boost::json::object{{"rules", std::move(listed)}}, found.empty() ? "no rule in force contains the text" : text);
    }
};

} // namespace

std::unique_ptr<Command> makeWhoCommand()
{
    return std::make_unique<WhoCommand>();
}

} // namespace Anvilyard::Ctl
