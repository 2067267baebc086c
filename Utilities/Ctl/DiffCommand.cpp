#include "LibOperator/RulesFile.h"
#include "Utilities/Ctl/RulesAccess.h"
#include "Utilities/Ctl/RulesReport.h"

namespace Anvilyard::Ctl {

namespace {

class DiffCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "diff";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "show the differences between a file and the rules in force";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"file"};
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        auto const file = Operator::readRulesFile(options["file"].as<std::string>());
        if (!file) {
            output.fail(file.error().toString());
            return ExitCode::Failed;
        }
        RulesAccess access(platformOf(options));
        auto const newest = access.newest();
        if (!newest) {
            output.fail(newest.error().toString());
            return ExitCode::Failed;
        }
        auto const generation = *newest ? (*newest)->generation : Generation(0);
        auto const changes = Rules::lineDifference(*newest ? (*newest)->text : std::string(), file->text);
        auto const heading = "against generation " + std::to_string(generation.value());
        output.print(boost::json::object{{"generation", generation.value()}, {"changes", toJson(changes)}},
                     changes.empty() ? "no difference " + heading : heading + "\n" + toText(changes));
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeDiffCommand()
{
    return std::make_unique<DiffCommand>();
}

} // namespace Anvilyard::Ctl
