#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Anvilyard::Entry {

/// What the events of a streamed completion have delivered so far, across the responses of all attempts. The completion is complete only
/// once the event "data: [DONE]" has arrived.
class CompletionProgress
{
public:
    /// Adds a complete event, without the empty line that ends it.
    void onEvent(std::string_view event);

    [[nodiscard]] bool isDone() const;
    /// Number of events with a token so far, which is the offset at which an engine resumes the stream.
    [[nodiscard]] std::uint64_t tokens() const;
    /// The completion id from the first event, with which an engine is asked to resume the completion.
    [[nodiscard]] std::string const &completionId() const;

private:
    std::string completionId_;
    std::uint64_t tokens_ = 0;
    bool isDone_ = false;
};

} // namespace Anvilyard::Entry
