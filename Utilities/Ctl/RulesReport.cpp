#include "Utilities/Ctl/RulesReport.h"

namespace Anvilyard::Ctl {

namespace json = boost::json;

using Operator::Acceptance;

namespace {

json::array toJson(std::vector<std::string> const &lines)
{
    json::array listed;
    for (auto const &line : lines)
        listed.emplace_back(line);
    return listed;
}

std::string indented(std::vector<std::string> const &lines)
{
    if (lines.empty())
        return "      (removed)\n";
    std::string text;
    for (auto const &line : lines)
        text += "      " + line + "\n";
    return text;
}

ExitCode reportConflicts(Output const &output, Acceptance const &acceptance)
{
    json::array conflicts;
    std::string text =
        "refused: other operators changed the same lines in generation " + std::to_string(acceptance.generation.value()) + "\n";
    for (auto const &conflict : acceptance.conflicts) {
        conflicts.push_back({
            {"base_line", conflict.baseLine},
            {"ours", toJson(conflict.ours)},
            {"our_requester", conflict.ourRequester},
            {"theirs", toJson(conflict.theirs)},
            {"their_requester", conflict.theirRequester},
        });
        text += "  line " + std::to_string(conflict.baseLine) + " of the base:\n    asked by " + conflict.ourRequester + " (this file):\n"
            + indented(conflict.ours) + "    asked by " + conflict.theirRequester + " (in force):\n" + indented(conflict.theirs);
    }
    output.fail(json::object{{"outcome", "conflict"}, {"generation", acceptance.generation.value()}, {"conflicts", std::move(conflicts)}},
                text);
    return ExitCode::Failed;
}

ExitCode reportGeneration(Output const &output, Acceptance const &acceptance, char const *outcome, std::string const &text)
{
    output.print(json::object{{"outcome", outcome}, {"generation", acceptance.generation.value()}, {"rebased", acceptance.isRebased}},
                 text);
    return ExitCode::Done;
}

ExitCode reportFailure(Output const &output, char const *outcome, std::string const &text)
{
    output.fail(json::object{{"outcome", outcome}, {"message", text}}, text);
    return ExitCode::Failed;
}

} // namespace

ExitCode reportFaults(Output const &output, std::vector<Rules::RuleFault> const &faults, int leadingLines)
{
    json::array listed;
    std::string text = "refused: the rules have faults\n";
    for (auto fault : faults) {
        if (fault.line > 0)
            fault.line += leadingLines;
        listed.push_back({{"line", fault.line}, {"message", fault.message}, {"hint", fault.hint}});
        text += "  " + fault.toString() + "\n";
    }
    output.fail(json::object{{"outcome", "faulty"}, {"faults", std::move(listed)}}, text);
    return ExitCode::Failed;
}

ExitCode reportAcceptance(Output const &output, Acceptance const &acceptance, int leadingLines)
{
    auto const number = std::to_string(acceptance.generation.value());
    switch (acceptance.outcome) {
    case Acceptance::Outcome::Accepted:
        return reportGeneration(output,
                                acceptance,
                                "accepted",
                                "accepted as generation " + number
                                    + (acceptance.isRebased ? ", rebased onto changes that others made meanwhile" : ""));
    case Acceptance::Outcome::Unchanged:
        return reportGeneration(output, acceptance, "unchanged", "nothing to do: generation " + number + " has the same rules");
    case Acceptance::Outcome::Faulty:
        return reportFaults(output, acceptance.faults, acceptance.isRebased ? 0 : leadingLines);
    case Acceptance::Outcome::Conflicting:
        return reportConflicts(output, acceptance);
    case Acceptance::Outcome::BaseUnknown:
        return reportFailure(
            output,
            "base-unknown",
            "refused: generation " + number
                + " is in force, and the file does not name the generation that it is based on, or that one is no longer stored. "
                  "Start from the output of \"anvilyardctl show\", or pass --base GENERATION, or --base newest to replace all rules");
    case Acceptance::Outcome::Unsettled:
        return reportFailure(
            output,
            "unknown",
            "the platform's response was lost and the outcome is unknown: the rules may have been accepted. Apply the file again "
            "when the platform responds; it is accepted at most once");
    case Acceptance::Outcome::Failed:
        return reportFailure(output, "failed", "nothing was accepted: " + acceptance.error.toString());
    }
    return ExitCode::Failed;
}

json::array toJson(std::vector<Rules::LineChange> const &changes)
{
    json::array lines;
    for (auto const &change : changes) {
        bool const isAdded = change.kind == Rules::LineChange::Kind::Added;
        lines.push_back({{"change", isAdded ? "added" : "removed"}, {"line", change.line}, {"text", change.text}});
    }
    return lines;
}

std::string toText(std::vector<Rules::LineChange> const &changes)
{
    std::string text;
    for (auto const &change : changes) {
        bool const isAdded = change.kind == Rules::LineChange::Kind::Added;
        text += std::string(isAdded ? "+" : "-") + std::to_string(change.line) + "\t" + change.text + "\n";
    }
    return text;
}

} // namespace Anvilyard::Ctl
