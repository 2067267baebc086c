#pragma once

#include "LibCore/Result.h"
#include "LibHttp/EventSplitter.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Anvilyard::Entry {

/// Splits a stream of server-sent events so that only complete events are relayed. The answer is complete only once the event
/// "data: [DONE]" has arrived.
class EventStreamReader
{
public:
    /// Adds a piece of the stream and returns the unchanged text of the events that are now complete.
    std::string consume(std::string_view piece);
    /// Discards an incomplete event after a broken connection, because the resumed stream sends it again.
    void dropUnfinished();

    [[nodiscard]] bool isDone() const;
    /// Number of events with a token so far, which is the offset at which an engine resumes the stream.
    [[nodiscard]] std::uint64_t tokens() const;
    /// The completion id from the first event, with which an engine is asked to resume the completion.
    [[nodiscard]] std::string const &completionId() const;
    /// Whether an incomplete event exceeds the maximum size that is buffered.
    [[nodiscard]] bool isOverLimit() const;

private:
    void inspectEvent(std::string_view event);

    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    Http::EventSplitter splitter_;
    std::string completionId_;
    std::uint64_t tokens_ = 0;
    bool isDone_ = false;
};

} // namespace Anvilyard::Entry
