#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Anvilyard::Batch {

/// Splits text that arrives in pieces into lines. Buffers at most one line.
class LineSplitter
{
public:
    enum class State {
        Good,
        /// A line exceeded the limit. No further lines are emitted.
        LineTooLong,
    };

    explicit LineSplitter(std::size_t lineLimitBytes);

    /// Calls `onLine` for each complete line without its line break ("\n" or "\r\n").
    State feed(std::string_view piece, std::function<void(std::string_view)> const &onLine);
    /// Calls `onLine` for a last line without a line break.
    State finish(std::function<void(std::string_view)> const &onLine);

private:
    std::size_t lineLimitBytes_;
    std::string partialLine_;
    State state_ = State::Good;
};

} // namespace Anvilyard::Batch
