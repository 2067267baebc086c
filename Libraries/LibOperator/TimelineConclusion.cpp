#include "LibOperator/TimelineConclusion.h"

#include <algorithm>

namespace Anvilyard::Operator {

namespace {

using Lines = std::span<LogLine const>;

LogLine const *lastNamed(Lines lines, std::string_view name)
{
    auto const found = std::find_if(lines.rbegin(), lines.rend(), [&](LogLine const &line) { return line.name == name; });
    return found == lines.rend() ? nullptr : &*found;
}

std::size_t countNamed(Lines lines, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(lines.begin(), lines.end(), [&](LogLine const &line) { return line.name == name; }));
}

std::string text(LogLine const &line, std::string_view field)
{
    auto const value = line.field(field);
    return value.empty() ? "?" : std::string(value);
}

std::string formatAttempts(std::uint64_t count)
{
    return std::to_string(count) + (count == 1 ? " attempt" : " attempts");
}

std::string placementReason(LogLine const &line)
{
    if (line.field("servers") == "0")
        return "no server of pool " + text(line, "pool") + " was available: " + text(line, "ejected") + " servers were ejected and "
            + text(line, "excluded") + " had already been tried";
    return "the shortest wait for a slot among " + text(line, "servers") + " servers of pool " + text(line, "pool") + " would have been "
        + text(line, "shortest_wait_ms") + " ms, with a latency target of " + text(line, "target_ms") + " ms";
}

/// Returns how the last unsuccessful attempt ended, or an empty text if there was none.
std::string lastFailure(Lines lines)
{
    auto const *failure = lastNamed(lines, "node-attempt-failed");
    auto const *rejection = lastNamed(lines, "node-attempt-rejected");
    if (rejection && (!failure || rejection > failure))
        return "server " + text(*rejection, "server") + " returned " + text(*rejection, "status") + " after " + text(*rejection, "after_ms")
            + " ms, "
            + (rejection->field("not_run") == "true" ? "reporting that it was not executed" : "without reporting that it was not executed");
    if (failure)
        return "the attempt at server " + text(*failure, "server") + " failed after " + text(*failure, "after_ms")
            + " ms: " + text(*failure, "error");
    return {};
}

TimelineConclusion concludeRequest(LogLine const &end, Lines lines)
{
    TimelineConclusion conclusion;
    auto const sends = end.number("sends");
    auto const failed = countNamed(lines, "node-attempt-failed") + countNamed(lines, "node-attempt-rejected");
    auto const outcome = end.field("outcome");
    auto const failure = lastFailure(lines);
    auto const *placement = lastNamed(lines, "node-no-placement");
    auto const failureText = failure.empty() ? std::string("the log does not show how the attempts ended") : failure;
    bool const isServed = outcome == "served";
    if (isServed) {
        conclusion.text =
            "Served by server " + text(end, "server") + " after " + text(end, "ms") + " ms and " + formatAttempts(sends) + ".";
        if (!failure.empty())
            conclusion.text += " Before that, " + failureText + ".";
    } else if (outcome == "caller-gone") {
        conclusion.text = "The caller closed its connection after " + text(end, "ms") + " ms; the request was cancelled.";
    } else if (outcome == "error-relayed") {
        conclusion.text = "The server's error was passed to the caller: " + failureText + ".";
    } else if (outcome == "broken-off") {
        conclusion.text = "The stream was interrupted after " + text(end, "events") + " events: " + failureText + ".";
    } else {
        conclusion.text = "Refused with \"" + std::string(outcome) + "\" after " + text(end, "ms") + " ms and " + formatAttempts(sends);
        if (placement)
            conclusion.text += ": " + placementReason(*placement);
        else if (sends > 0)
            conclusion.text += ": " + failureText;
        conclusion.text += ".";
    }
    // The last attempt has no line of its own if it succeeded or was cancelled.
    auto const answered = isServed || outcome == "caller-gone" ? 1U : 0U;
    if (failed + answered < sends)
        conclusion.missing.push_back("the log has the outcome of " + std::to_string(failed + answered) + " of " + std::to_string(sends)
                                     + " attempts");
    return conclusion;
}

TimelineConclusion concludeItem(Lines lines)
{
    TimelineConclusion conclusion;
    auto const rejected = countNamed(lines, "node-item-rejected");
    auto const broken = countNamed(lines, "node-item-attempt-failed");
    auto const *lastRejected = lastNamed(lines, "node-item-rejected");
    auto const tries = std::to_string(rejected) + " error responses"
        + (lastRejected ? " (the last was " + text(*lastRejected, "status") + " from server " + text(*lastRejected, "server") + ")" : "")
        + " and " + std::to_string(broken) + " failed attempts";
    if (lastNamed(lines, "node-item-given-up")) {
        conclusion.text = "The item was given up after " + tries + ".";
        if (rejected == 0)
            conclusion.missing.emplace_back(
                "the logs show no error response: its route was removed, it had expired, or the log of another runner is missing");
    } else {
        conclusion.text = "The logs do not show that the item was given up; they show " + tries + ".";
    }
    return conclusion;
}

TimelineConclusion concludeJob(Lines lines)
{
    TimelineConclusion conclusion;
    auto const *accepted = lastNamed(lines, "node-job-accepted");
    auto const *taken = lastNamed(lines, "node-job-taken");
    auto const *refused = lastNamed(lines, "node-job-call-refused");
    if (accepted)
        conclusion.text = "The job was accepted with " + text(*accepted, "items") + " items by " + accepted->instance;
    else if (refused)
        conclusion.text = "A call for the job was refused with \"" + text(*refused, "reason") + "\" (" + text(*refused, "detail") + ")";
    else
        conclusion.text = "The logs do not show that the job was accepted";
    if (taken)
        conclusion.text +=
            "; its last known owner was " + taken->instance + ", with " + text(*taken, "listed") + " outcomes stored at the takeover";
    if (lastNamed(lines, "node-job-ended"))
        conclusion.text += "; it was ended by its submitter";
    if (auto const givenUp = countNamed(lines, "node-item-given-up"); givenUp > 0)
        conclusion.text += "; " + std::to_string(givenUp) + " items were given up";
    conclusion.text += ".";
    if (accepted && !taken)
        conclusion.missing.emplace_back("no log shows that a runner took over the job");
    if (taken && !accepted)
        conclusion.missing.emplace_back("no log shows that an entry instance accepted the job");
    return conclusion;
}

} // namespace

TimelineConclusion concludeTimeline(std::string const &id, Lines lines)
{
    if (lines.empty())
        return {.text = "No log line contains " + id + ".",
                .missing = {
                    "everything: it did not reach any of these instances, was processed outside the time range of these logs, or its lines "
                    "were left out. Batch items without failures leave no line"}};
    if (auto const *end = lastNamed(lines, "node-request-ended"); end && end->field("request") == id)
        return concludeRequest(*end, lines);
    if (auto const *refused = lastNamed(lines, "node-request-refused"); refused && refused->field("request") == id)
        return {.text = "Refused with \"" + text(*refused, "reason") + "\" before a server was selected: " + text(*refused, "detail")
                    + " (desired state " + text(*refused, "state_version") + ")."};
    bool const isRequest = std::any_of(lines.begin(), lines.end(), [&](LogLine const &line) { return line.field("request") == id; });
    if (isRequest)
        return {.text = "The outcome of the request is unknown.",
                .missing = {"the line node-request-ended: the instance stopped or was killed, or the line was left out"}};
    bool const isItem = std::any_of(lines.begin(), lines.end(), [&](LogLine const &line) { return line.field("item") == id; });
    if (isItem) {
        std::vector<LogLine> own;
        std::copy_if(lines.begin(), lines.end(), std::back_inserter(own), [&](LogLine const &line) { return line.field("item") == id; });
        return concludeItem(own);
    }
    return concludeJob(lines);
}

} // namespace Anvilyard::Operator
