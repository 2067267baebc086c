#include "Utilities/Ctl/RulesAccess.h"
#include "Utilities/Ctl/RulesReport.h"

namespace Anvilyard::Ctl {

namespace {

class HistoryCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "history";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "show the newest generations with their authors and changes";
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        options.add_options()("limit", "number of generations to show", cxxopts::value<std::size_t>()->default_value("10"), "COUNT");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        RulesAccess access(platformOf(options));
        auto current = access.newest();
        boost::json::array listed;
        std::string text;
        for (auto left = options["limit"].as<std::size_t>(); left > 0 && current && *current; --left) {
            auto const &rules = **current;
            auto older = rules.generation > Generation(1) ? access.get(Generation(rules.generation.value() - 1))
                                                          : Result<std::optional<Rules::AcceptedRules>>();
            if (!older) {
                current = std::move(older);
                break;
            }
            auto const changes = Rules::lineDifference(*older ? (*older)->text : std::string(), rules.text);
            listed.push_back({{"generation", rules.generation.value()},
                              {"base", rules.base.value()},
                              {"author", rules.author},
                              {"accepted_at", formatTime(rules.acceptedAt)},
                              {"changes", toJson(changes)}});
            text += "generation " + std::to_string(rules.generation.value()) + " by " + rules.author + " at " + formatTime(rules.acceptedAt)
                + "\n" + toText(changes) + "\n";
            current = std::move(older);
        }
        if (!current) {
            output.fail(current.error().toString());
            return ExitCode::Failed;
        }
        output.print(boost::json::object{{"generations", std::move(listed)}}, text.empty() ? "there are no rules yet" : text);
        return ExitCode::Done;
    }
};

} // namespace

std::unique_ptr<Command> makeHistoryCommand()
{
    return std::make_unique<HistoryCommand>();
}

} // namespace Anvilyard::Ctl
