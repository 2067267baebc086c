#include "LibOperator/LogStory.h"

#include "LibOperator/StoryConclusion.h"

#include <algorithm>
#include <array>
#include <set>

namespace Anvilyard::Operator {

namespace {

using std::chrono::milliseconds;

/// Changes of what an instance believes or of its own state, whatever they name.
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
/// Changes of belief that are told where the story names their server.
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

bool isAboutWholeJob(LogLine const &line)
{
    return !line.field("job").empty() && line.field("item").empty();
}

} // namespace

LogReader::LogReader(std::string id, LogStoryOptions options)
    : id_(std::move(id))
    , options_(options)
{
}

void LogReader::read(std::istream &input, std::string const &source)
{
    for (std::string text; std::getline(input, text);) {
        if (text.empty())
            continue;
        auto line = parseLogLine(text, source);
        if (!line) {
            ++unreadable_;
            continue;
        }
        auto const time = line->time;
        auto &span = covered_.try_emplace(line->instance, Span{.first = time, .last = time}).first->second;
        span.first = std::min(span.first, time);
        span.last = std::max(span.last, time);
        Kept kept{.line = std::move(*line), .position = ++position_};
        if (kept.line.names(id_))
            naming_.push_back(std::move(kept));
        else if (isAboutWholeJob(kept.line))
            aboutJobs_.push_back(std::move(kept));
        else if (contains(InstanceEvents, kept.line.name) || contains(ServerEvents, kept.line.name))
            beliefs_.push_back(std::move(kept));
        else if (kept.line.name == LeftOutEvent)
            leftOut_.push_back(std::move(kept));
    }
}

std::string LogReader::jobOfItem() const
{
    for (auto const &[line, position] : naming_) {
        if (line.field("item") == id_)
            return std::string(line.field("job"));
    }
    return {};
}

std::vector<LogReader::Kept> LogReader::subjectLines() const
{
    auto subject = naming_;
    if (auto const job = jobOfItem(); !job.empty())
        std::copy_if(aboutJobs_.begin(), aboutJobs_.end(), std::back_inserter(subject), [&](Kept const &kept) {
            return kept.line.field("job") == job;
        });
    std::sort(subject.begin(), subject.end(), [](Kept const &left, Kept const &right) { return left.position < right.position; });
    return subject;
}

/// A job is taken over after it was accepted, whatever the clocks say.
std::map<std::string, milliseconds> LogReader::clocksBehind(std::vector<Kept> const &subject) const
{
    std::map<std::string, milliseconds> behind;
    auto const accepted =
        std::find_if(subject.begin(), subject.end(), [](Kept const &kept) { return kept.line.name == "node-job-accepted"; });
    if (accepted == subject.end())
        return behind;
    for (auto const &[line, position] : subject) {
        bool const isEffect = line.name == "node-job-taken" || !line.field("item").empty();
        if (isEffect && line.instance != accepted->line.instance && line.time < accepted->line.time) {
            auto &by = behind[line.instance];
            by = std::max(by, accepted->line.time - line.time);
        }
    }
    return behind;
}

void LogReader::addCircumstances(LogStory &story, std::vector<Kept> const &subject) const
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
        std::any_of(subject.begin(), subject.end(), [](Kept const &kept) { return kept.line.name == "node-no-placement"; });
    auto const isWithin = [&](LogLine const &line) {
        auto const span = spans.find(line.instance);
        return span != spans.end() && line.time >= span->second.first - options_.before && line.time <= span->second.last + options_.after;
    };
    for (auto const &[line, position] : beliefs_) {
        bool const isTold = contains(InstanceEvents, line.name) || isPlacementInQuestion || servers.contains(line.field("server"));
        if (isTold && isWithin(line))
            story.entries.push_back({.line = line, .correctedTime = line.time, .isCircumstance = true});
    }
    std::map<std::pair<std::string, std::string>, std::uint64_t> leftOut;
    for (auto const &[line, position] : leftOut_) {
        if (isWithin(line))
            leftOut[{line.instance, std::string(line.field("left_out_event"))}] += line.number("lines");
    }
    for (auto const &[what, lines] : leftOut)
        story.missing.push_back(what.first + " left out " + std::to_string(lines) + " lines of event " + what.second + " around that time");
}

void LogReader::addGaps(LogStory &story, std::vector<Kept> const &subject) const
{
    if (unreadable_ > 0)
        story.missing.push_back(std::to_string(unreadable_) + " lines of the input are no log lines and were not looked at");
    if (covered_.empty())
        story.missing.emplace_back("the input has no log line at all");
    if (subject.empty())
        return;
    auto const isEarlier = [](Kept const &left, Kept const &right) { return left.line.time < right.line.time; };
    auto const first = std::min_element(subject.begin(), subject.end(), isEarlier)->line.time;
    for (auto const &[instance, span] : covered_) {
        if (span.first > first)
            story.missing.push_back("the log of " + instance + " begins at " + formatTimeOfDay(span.first)
                                    + ", after the first line of the story");
    }
}

LogStory LogReader::tell() const
{
    auto const subject = subjectLines();
    auto const behind = clocksBehind(subject);
    LogStory story;
    for (auto const &[line, position] : subject)
        story.entries.push_back({.line = line, .correctedTime = line.time});
    addCircumstances(story, subject);
    for (auto &entry : story.entries) {
        if (auto const found = behind.find(entry.line.instance); found != behind.end())
            entry.correctedTime += found->second;
    }
    // At the same time a line that was moved is the effect.
    auto const order = [](LogStory::Entry const &entry) { return std::pair(entry.correctedTime, entry.correctedTime != entry.line.time); };
    std::stable_sort(story.entries.begin(), story.entries.end(), [&](LogStory::Entry const &left, LogStory::Entry const &right) {
        return order(left) < order(right);
    });
    for (auto const &[instance, by] : behind)
        story.missing.push_back("the clock of " + instance + " is at least " + std::to_string(by.count())
                                + " ms behind; its lines were moved by that");
    std::vector<LogLine> lines;
    for (auto const &entry : story.entries) {
        if (!entry.isCircumstance)
            lines.push_back(entry.line);
    }
    auto conclusion = concludeStory(id_, lines);
    story.conclusion = std::move(conclusion.text);
    std::move(conclusion.missing.begin(), conclusion.missing.end(), std::back_inserter(story.missing));
    addGaps(story, subject);
    return story;
}

} // namespace Anvilyard::Operator
