#pragma once

#include "LibOperator/LogLine.h"

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace Anvilyard::Operator {

/// Timeline of one request, batch job or batch item, from the logs of several instances.
struct LogTimeline {
    struct Entry {
        LogLine line;
        /// Time by the clock of the instance that accepted the job, if the clock of the line's instance is known to be behind it.
        WallInstant correctedTime;
        /// Whether the line is about the state of its instance and not about the subject itself.
        bool isContext = false;
    };

    /// Ordered by corrected time. Of lines with equal times, those whose time was corrected come last; otherwise the lines about
    /// the subject come before the others and keep the order of the input.
    std::vector<Entry> entries;
    /// Outcome and its reason, derived from the lines alone.
    std::string conclusion;
    /// Missing lines and other reasons for uncertainty.
    std::vector<std::string> missing;
};

struct LogTimelineOptions {
    /// State changes of an instance are included from this time before its first line about the subject.
    std::chrono::milliseconds contextBefore{10'000};
    /// State changes of an instance are included until this time after its last line about the subject.
    std::chrono::milliseconds contextAfter{1'000};
};

/// Reads the logs of one or more instances and builds the timeline of an id. Stores only lines with the id, lines about a job
/// rather than one of its items, state changes, and reports of log lines that were left out.
class LogTimelineBuilder
{
public:
    explicit LogTimelineBuilder(std::string id, LogTimelineOptions options = {});

    /// `source` is the instance name for lines that do not name their instance.
    void read(std::istream &input, std::string const &source);
    [[nodiscard]] LogTimeline build() const;

private:
    struct IndexedLine {
        LogLine line;
        std::size_t position = 0;
    };

    struct Span {
        WallInstant first;
        WallInstant last;
    };

    [[nodiscard]] std::string jobOfItem() const;
    [[nodiscard]] std::vector<IndexedLine> subjectLines() const;
    /// Returns the time by which each instance's clock is at least behind, as far as the order of cause and effect shows it.
    [[nodiscard]] std::map<std::string, std::chrono::milliseconds> clockLags(std::vector<IndexedLine> const &subject) const;
    void addContext(LogTimeline &timeline, std::vector<IndexedLine> const &subject) const;
    void addGaps(LogTimeline &timeline, std::vector<IndexedLine> const &subject) const;

    std::string id_;
    LogTimelineOptions options_;
    std::vector<IndexedLine> idLines_;
    std::vector<IndexedLine> jobLines_;
    std::vector<IndexedLine> stateLines_;
    std::vector<IndexedLine> leftOut_;
    std::map<std::string, Span> coverage_;
    std::uint64_t unparsedLines_ = 0;
    std::size_t position_ = 0;
};

} // namespace Anvilyard::Operator
