#pragma once

#include "LibObserve/LogBudget.h"

#include <string>

namespace Anvilyard::Observe {

/// Returns a log line as a JSON object: `time` (RFC 3339, UTC), `instance` unless empty, `level`, `event` (number), `name` and the
/// fields as strings. Values are escaped, so that the result is always one line.
std::string
toJsonLine(EventDefinition const &event, std::initializer_list<Field> fields, WallInstant time, std::string const &instance = {});

struct JsonLogOptions {
    /// Instance shown in each line, which distinguishes several instances in one stream.
    std::string instance = {};
    /// File descriptor of the output; standard output by default.
    int descriptor = 1;
    Severity minSeverity = Severity::Info;
    LogBudgetOptions budget = {};
    /// Maximum size of the buffer of unwritten lines. Further lines are dropped.
    std::size_t maxBufferBytes = 256 * 1024;
    std::function<CurrentTime()> clock = readClocks;
};

/// Receives the log of the program during its lifetime and writes it as JSON lines. Logging never blocks: lines are stored in a
/// bounded buffer until flush(). Lines that do not fit because the reader is too slow are dropped and counted. For
/// single-threaded programs.
class JsonLog
{
public:
    explicit JsonLog(JsonLogOptions options);
    ~JsonLog();
    JsonLog(JsonLog const &) = delete;
    JsonLog &operator=(JsonLog const &) = delete;

    /// Writes as much as possible without blocking. To be called several times per second.
    void flush();
    [[nodiscard]] std::uint64_t droppedLines() const;
    void setMinSeverity(Severity minSeverity);

private:
    void append(EventDefinition const &event, std::initializer_list<Field> fields);
    void reportDroppedLines();

    JsonLogOptions options_;
    LogBudget budget_;
    std::string buffer_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t overflowedLines_ = 0;
    Instant nextReport_ = Instant::min();
};

} // namespace Anvilyard::Observe
