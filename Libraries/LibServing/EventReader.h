#pragma once

#include "LibHttp/EventSplitter.h"
#include "LibServing/EventSequence.h"

#include <functional>
#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// Reads the events of one response of a server and advances the stream's sequence by them. What the response leaves unfinished, and
/// whether it is broken, ends with the reader, so a stream that goes on at another server needs a new reader.
class EventReader
{
public:
    /// Called with the data lines of a new event, joined by line feeds.
    using OnData = std::function<void(std::string_view data)>;

    /// `sequence` must outlive the reader.
    explicit EventReader(EventSequence &sequence);

    /// Returns the new events completed by this piece, byte for byte.
    std::string take(std::string_view piece, OnData const &onData = nullptr);

    /// Whether an event or its id is missing in this response, it has bytes that are no event, an event exceeds the buffer limit,
    /// or as many bytes bring no new event.
    [[nodiscard]] bool isBroken() const;
    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartialEvent() const;
    /// Number of bytes received of the incomplete event.
    [[nodiscard]] std::size_t unfinishedBytes() const;

private:
    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    EventSequence &sequence_;
    Http::EventSplitter splitter_;
    /// Bytes of comments and repeated events since the last new event.
    std::size_t bytesSinceNewEvent_ = 0;
    bool isBroken_ = false;
};

} // namespace Anvilyard::Serving
