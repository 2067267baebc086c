#include "LibOperator/RulesFile.h"
#include "LibRules/RuleFileParser.h"
#include "Utilities/Ctl/RulesReport.h"

namespace Anvilyard::Ctl {

namespace {

class CheckCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "check";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "check a rules file offline and show all of its faults";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"file"};
    }

    [[nodiscard]] bool needsPlatform() const override
    {
        return false;
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        auto const path = options["file"].as<std::string>();
        auto const file = Operator::readRulesFile(path);
        if (!file) {
            output.fail(file.error().toString());
            return ExitCode::Failed;
        }
        if (auto const rules = Rules::parseRules(file->text, Generation(0)); !rules)
            return reportFaults(output, rules.error(), file->leadingLines);
        output.print(boost::json::object{{"outcome", "good"}}, path + ": the rules are valid");
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeCheckCommand()
{
    return std::make_unique<CheckCommand>();
}

} // namespace Anvilyard::Ctl
