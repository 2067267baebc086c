#include "LibOperator/LogTimeline.h"

#include "LibOperator/TimelineConclusion.h"

#include <algorithm>
#include <array>
#include <set>

namespace Anvilyard::Operator {

namespace {

using std::chrono::milliseconds;

/// Changes of an instance's state or view, which are relevant to everything that it processes.
constexpr std::array<std::string_view, 16> InstanceEvents = {
    "node-started",
    "node-ready",
    "node-not-ready",
    "node-stopping",
    "node-stopped",
    "node-reloaded",
    "node-reload-failed",
    "node-paused",
    "node-store-lost",
    "node-store-regained",
    "node-state-in-force",
    "node-peer-heard",
    "node-record-rejected",
    "node-learnt-from-peer",
    "node-store-reach-changed",
    "node-fault",
};
/// Changes of a server's state, which are only relevant if the subject's lines name the server.
constexpr std::array<std::string_view, 4> ServerEvents = {
    "node-server-registered",
    "node-server-unregistered",
    "node-server-ejected",
    "node-server-restored",
};
constexpr std::string_view LeftOutEvent = "log-lines-left-out";

template<std::size_t Size>
bool contains(std::array<std::string_view, Size> const &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isJobLine(LogLine const &line)
{
    return !line.field("job").empty() && line.field("item").empty();
}

} // namespace

LogTimelineBuilder::LogTimelineBuilder(std::string id, LogTimelineOptions options)
    : id_(std::move(id))
    , options_(options)
{
}

void LogTimelineBuilder::read(std::istream &input, std::string const &source)
{
    for (std::string text; std::getline(input, text);) {
        if (text.empty())
            continue;
        auto line = parseLogLine(text, source);
        if (!line) {
            ++unparsedLines_;
            continue;
        }
        auto const time = line->time;
        auto &span = coverage_.try_emplace(line->instance, Span{.first = time, .last = time}).first->second;
        span.first = std::min(span.first, time);
        span.last = std::max(span.last, time);
        IndexedLine indexed{.line = std::move(*line), .position = ++position_};
        if (indexed.line.hasValue(id_))
            idLines_.push_back(std::move(indexed));
        else if (isJobLine(indexed.line))
            jobLines_.push_back(std::move(indexed));
        else if (contains(InstanceEvents, indexed.line.name) || contains(ServerEvents, indexed.line.name))
            stateLines_.push_back(std::move(indexed));
        else if (indexed.line.name == LeftOutEvent)
            leftOut_.push_back(std::move(indexed));
    }
}

std::string LogTimelineBuilder::jobOfItem() const
{
    for (auto const &[line, position] : idLines_) {
        if (line.field("item") == id_)
            return std::string(line.field("job"));
    }
    return {};
}

std::vector<LogTimelineBuilder::IndexedLine> LogTimelineBuilder::subjectLines() const
{
    auto subject = idLines_;
    if (auto const job = jobOfItem(); !job.empty())
        std::copy_if(jobLines_.begin(), jobLines_.end(), std::back_inserter(subject), [&](IndexedLine const &indexed) {
            return indexed.line.field("job") == job;
        });
    std::sort(
        subject.begin(), subject.end(), [](IndexedLine const &left, IndexedLine const &right) { return left.position < right.position; });
    return subject;
}

/// A job is always taken over after it was accepted, so an earlier time of the takeover shows that a clock is behind.
std::map<std::string, milliseconds> LogTimelineBuilder::clockLags(std::vector<IndexedLine> const &subject) const
{
    std::map<std::string, milliseconds> lags;
    auto const accepted =
        std::find_if(subject.begin(), subject.end(), [](IndexedLine const &indexed) { return indexed.line.name == "node-job-accepted"; });
    if (accepted == subject.end())
        return lags;
    for (auto const &[line, position] : subject) {
        bool const isEffect = line.name == "node-job-taken" || !line.field("item").empty();
        if (isEffect && line.instance != accepted->line.instance && line.time < accepted->line.time) {
            auto &by = lags[line.instance];
            by = std::max(by, accepted->line.time - line.time);
        }
    }
    return lags;
}

void LogTimelineBuilder::addContext(LogTimeline &timeline, std::vector<IndexedLine> const &subject) const
{
    std::map<std::string, Span> spans;
    std::set<std::string, std::less<>> servers;
    for (auto const &[line, position] : subject) {
        auto &span = spans.try_emplace(line.instance, Span{.first = line.time, .last = line.time}).first->second;
        span.first = std::min(span.first, line.time);
        span.last = std::max(span.last, line.time);
        if (auto const server = line.field("server"); !server.empty())
            servers.emplace(server);
    }
    bool const isPlacementInQuestion =
        std::any_of(subject.begin(), subject.end(), [](IndexedLine const &indexed) { return indexed.line.name == "node-no-placement"; });
    auto const isWithin = [&](LogLine const &line) {
        auto const span = spans.find(line.instance);
        return span != spans.end() && line.time >= span->second.first - options_.contextBefore
            && line.time <= span->second.last + options_.contextAfter;
    };
    for (auto const &[line, position] : stateLines_) {
        bool const isRelevant = contains(InstanceEvents, line.name) || isPlacementInQuestion || servers.contains(line.field("server"));
        if (isRelevant && isWithin(line))
            timeline.entries.push_back({.line = line, .correctedTime = line.time, .isContext = true});
    }
    std::map<std::pair<std::string, std::string>, std::uint64_t> leftOut;
    for (auto const &[line, position] : leftOut_) {
        if (isWithin(line))
            leftOut[{line.instance, std::string(line.field("left_out_event"))}] += line.number("lines");
    }
    for (auto const &[what, lines] : leftOut)
        timeline.missing.push_back(what.first + " left out " + std::to_string(lines) + " lines of event " + what.second
                                   + " around that time");
}

void LogTimelineBuilder::addGaps(LogTimeline &timeline, std::vector<IndexedLine> const &subject) const
{
    if (unparsedLines_ > 0)
        timeline.missing.push_back(std::to_string(unparsedLines_) + " lines of the input are not log lines and were ignored");
    if (coverage_.empty())
        timeline.missing.emplace_back("the input contains no log lines");
    if (subject.empty())
        return;
    auto const isEarlier = [](IndexedLine const &left, IndexedLine const &right) { return left.line.time < right.line.time; };
    auto const first = std::min_element(subject.begin(), subject.end(), isEarlier)->line.time;
    for (auto const &[instance, span] : coverage_) {
        if (span.first > first)
            timeline.missing.push_back("the log of " + instance + " begins at " + formatTimeOfDay(span.first)
                                       + ", after the first line of the timeline");
    }
}

LogTimeline LogTimelineBuilder::build() const
{
    auto const subject = subjectLines();
    auto const lags = clockLags(subject);
    LogTimeline timeline;
    for (auto const &[line, position] : subject)
        timeline.entries.push_back({.line = line, .correctedTime = line.time});
    addContext(timeline, subject);
    for (auto &entry : timeline.entries) {
        if (auto const found = lags.find(entry.line.instance); found != lags.end())
            entry.correctedTime += found->second;
    }
    // Of lines with equal times, the corrected one is the effect and comes last.
    auto const order = [](LogTimeline::Entry const &entry) {
        return std::pair(entry.correctedTime, entry.correctedTime != entry.line.time);
    };
    std::stable_sort(timeline.entries.begin(),
                     timeline.entries.end(),
                     [&](LogTimeline::Entry const &left, LogTimeline::Entry const &right) { return order(left) < order(right); });
    for (auto const &[instance, by] : lags)
        timeline.missing.push_back("the clock of " + instance + " is at least " + std::to_string(by.count())
                                   + " ms behind; the times of its lines were corrected by that");
    std::vector<LogLine> lines;
    for (auto const &entry : timeline.entries) {
        if (!entry.isContext)
            lines.push_back(entry.line);
    }
    auto conclusion = concludeTimeline(id_, lines);
    timeline.conclusion = std::move(conclusion.text);
    std::move(conclusion.missing.begin(), conclusion.missing.end(), std::back_inserter(timeline.missing));
    addGaps(timeline, subject);
    return timeline;
}

} // namespace Anvilyard::Operator
