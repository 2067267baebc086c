#include "LibOperator/RulesFile.h"
#include "Utilities/Ctl/RulesAccess.h"

namespace Anvilyard::Ctl {

namespace {

class ShowCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "show";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "show the rules in force, or an earlier generation, as a file to edit";
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        options.add_options()("generation", "generation to show; the newest by default", cxxopts::value<std::string>(), "NUMBER");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        std::optional<Generation> generation;
        if (options.count("generation") > 0) {
            generation = parseGeneration(options["generation"].as<std::string>());
            if (!generation) {
                output.fail("--generation must be a number");
                return ExitCode::Usage;
            }
        }
        RulesAccess access(platformOf(options));
        auto const rules = generation ? access.get(*generation) : access.newest();
        if (!rules || !*rules) {
            output.fail(rules ? "no such rules" : rules.error().toString());
            return ExitCode::Failed;
        }
        auto const &shown = **rules;
        output.print(boost::json::object{{"generation", shown.generation.value()},
                                         {"base", shown.base.value()},
                                         {"author", shown.author},
                                         {"accepted_at", formatTime(shown.acceptedAt)},
                                         {"text", shown.text}},
                     Operator::formatRulesFile(shown.text, shown.generation));
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeShowCommand()
{
    return std::make_unique<ShowCommand>();
}

} // namespace Anvilyard::Ctl
