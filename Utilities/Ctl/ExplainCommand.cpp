#include "LibOperator/LogTimeline.h"
#include "Utilities/Ctl/Command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace Anvilyard::Ctl {

namespace {

using Operator::LogTimeline;
using Operator::LogTimelineBuilder;

std::string toText(LogTimeline const &timeline)
{
    std::string text;
    for (auto const &entry : timeline.entries) {
        text += Operator::formatTimeOfDay(entry.correctedTime) + (entry.isContext ? "   (" : "  ") + entry.line.instance + "  "
            + entry.line.name;
        for (auto const &[name, value] : entry.line.fields) {
            if (name != "level" && name != "event")
                text += " " + name + "=" + boost::json::serialize(boost::json::value(value));
        }
        text += entry.isContext ? ")\n" : "\n";
    }
    text += (text.empty() ? "" : "\n") + timeline.conclusion + "\n";
    for (auto const &gap : timeline.missing)
        text += "Missing: " + gap + "\n";
    text.pop_back();
    return text;
}

boost::json::object toJson(LogTimeline const &timeline)
{
    boost::json::array entries;
    for (auto const &entry : timeline.entries) {
        boost::json::object fields;
        for (auto const &[name, value] : entry.line.fields)
            fields.emplace(name, value);
        entries.push_back({{"time", Operator::formatTimeOfDay(entry.correctedTime)},
                           {"instance", entry.line.instance},
                           {"name", entry.line.name},
                           {"circumstance", entry.isContext},
                           {"fields", std::move(fields)}});
    }
    boost::json::array missing;
    for (auto const &gap : timeline.missing)
        missing.emplace_back(gap);
    return {{"entries", std::move(entries)}, {"conclusion", timeline.conclusion}, {"missing", std::move(missing)}};
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
        return "explain the outcome of a request, batch job or item from the logs of nodes";
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
                              "file with the log of one or more instances; may be given several times; standard input by default",
                              cxxopts::value<std::vector<std::string>>(),
                              "FILE");
    }

    ExitCode run(cxxopts::ParseResult const &options, Output const &output) override
    {
        LogTimelineBuilder builder(options["id"].as<std::string>());
        if (options.count("log") == 0) {
            builder.read(std::cin, "standard input");
        } else {
            for (auto const &path : options["log"].as<std::vector<std::string>>()) {
                std::ifstream file(path);
                if (!file) {
                    output.fail("cannot read the log file " + path);
                    return ExitCode::Failed;
                }
                builder.read(file, std::filesystem::path(path).filename().string());
            }
        }
        auto const timeline = builder.build();
        output.print(toJson(timeline), toText(timeline));
        bool const isFound =
            std::any_of(timeline.entries.begin(), timeline.entries.end(), [](LogTimeline::Entry const &entry) { return !entry.isContext; });
        return isFound ? ExitCode::Done : ExitCode::Failed;
    }
};

} // namespace

std::unique_ptr<Command> makeExplainCommand()
{
    return std::make_unique<ExplainCommand>();
}

} // namespace Anvilyard::Ctl
