#include "LibOperator/LogStory.h"
#include "Utilities/Ctl/Command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace Anvilyard::Ctl {

namespace {

using Operator::LogReader;
using Operator::LogStory;

std::string toText(LogStory const &story)
{
    std::string text;
    for (auto const &entry : story.entries) {
        text += Operator::formatTimeOfDay(entry.correctedTime) + (entry.isCircumstance ? "   (" : "  ") + entry.line.instance + "  "
            + entry.line.name;
        for (auto const &[name, value] : entry.line.fields) {
            if (name != "level" && name != "event")
                text += " " + name + "=" + boost::json::serialize(boost::json::value(value));
        }
        text += entry.isCircumstance ? ")\n" : "\n";
    }
    text += (text.empty() ? "" : "\n") + story.conclusion + "\n";
    for (auto const &gap : story.missing)
        text += "Missing: " + gap + "\n";
    text.pop_back();
    return text;
}

boost::json::object toJson(LogStory const &story)
{
    boost::json::array entries;
    for (auto const &entry : story.entries) {
        boost::json::object fields;
        for (auto const &[name, value] : entry.line.fields)
            fields.emplace(name, value);
        entries.push_back({{"time", Operator::formatTimeOfDay(entry.correctedTime)},
                           {"instance", entry.line.instance},
                           {"name", entry.line.name},
                           {"circumstance", entry.isCircumstance},
                           {"fields", std::move(fields)}});
    }
    boost::json::array missing;
    for (auto const &gap : story.missing)
        missing.emplace_back(gap);
    return {{"entries", std::move(entries)}, {"conclusion", story.conclusion}, {"missing", std::move(missing)}};
}

class ExplainCommand final : public Command
{
public:
    [[nodiscard]] std::string name() const override
    {
        return "explain";
    }

    [[nodiscard]] std::string summary() const override
    {
        return "tell from nodes' logs what became of a request, batch job or item, and why";
    }

    [[nodiscard]] std::vector<std::string> arguments() const override
    {
        return {"id"};
    }

    [[nodiscard]] bool needsPlatform() const override
    {
        return false;
    }

    void declareOptions(cxxopts::Options &options) const override
    {
        options.add_options()("log",
                              "a file with the log of one or several instances; may be given several times; without it, standard input",
                              cxxopts::value<std::vector<std::string>>(),
                              "FILE");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        LogReader reader(options["id"].as<std::string>());
        if (options.count("log") == 0) {
            reader.read(std::cin, "standard input");
        } else {
            for (auto const &path : options["log"].as<std::vector<std::string>>()) {
                std::ifstream file(path);
                if (!file) {
                    output.fail("cannot read the log file " + path);
                    return ExitCode::Failed;
                }
                reader.read(file, std::filesystem::path(path).filename().string());
            }
        }
        auto const story = reader.tell();
        output.print(toJson(story), toText(story));
        bool const isKnown =
            std::any_of(story.entries.begin(), story.entries.end(), [](LogStory::Entry const &entry) { return !entry.isCircumstance; });
        return isKnown ? ExitCode::Done : ExitCode::Failed;
    }
};

} // namespace

std::unique_ptr<Command> makeExplainCommand()
{
    return std::make_unique<ExplainCommand>();
}

} // namespace Anvilyard::Ctl
