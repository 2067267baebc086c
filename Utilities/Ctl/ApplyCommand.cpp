#include "LibOperator/RulesFile.h"
#include "Utilities/Ctl/RulesAccess.h"
#include "Utilities/Ctl/RulesReport.h"

namespace Anvilyard::Ctl {

namespace {

using Operator::RuleBase;

/// Parses a generation number or "newest".
std::optional<RuleBase> parseBase(std::string const &text)
{
    if (text == "newest")
        return RuleBase{.kind = RuleBase::Kind::Newest};
    auto const generation = parseGeneration(text);
    if (!generation)
        return std::nullopt;
    return RuleBase{.kind = RuleBase::Kind::Generation, .generation = *generation};
}

class ApplyCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "apply";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "check a rules file and put it in force";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"file"};
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        declareAuthor(options);
        // clang-format off
        options.add_options()
            ("base", "generation that the file is based on, instead of the one in its first line; \"newest\" replaces the rules in force", cxxopts::value<std::string>(), "GENERATION")
            ("write", "write the accepted rules with their generation back to the file");
        // clang-format on
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        auto const path = options["file"].as<std::string>();
        auto const file = Operator::readRulesFile(path);
        if (!file) {
            output.fail(file.error().toString());
            return ExitCode::Failed;
        }
        auto base = file->base;
        if (options.count("base") > 0) {
            auto const given = parseBase(options["base"].as<std::string>());
            if (!given) {
                output.fail("--base must be a number or \"newest\"");
                return ExitCode::Usage;
            }
            base = *given;
        }
        RulesAccess access(platformOf(options));
        auto const acceptance = access.accept({.text = file->text, .author = authorOf(options), .base = base});
        auto const code = reportAcceptance(output, acceptance, file->leadingLines);
        if (code != ExitCode::Done || options.count("write") == 0)
            return code;
        if (auto const written = Operator::writeRulesFile(path, acceptance.text, acceptance.generation); !written) {
            output.fail(written.error().toString());
            return ExitCode::Failed;
        }
        return code;
    }
};

} // namespace

std::unique_ptr<Command> makeApplyCommand()
{
    return std::make_unique<ApplyCommand>();
}

} // namespace Anvilyard::Ctl
