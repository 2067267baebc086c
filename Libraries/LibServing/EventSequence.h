#pragma once

#include "LibHttp/EventSplitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// Tracks the ids of a stream of server-sent events across several servers and passes each event on once and in order. After a
/// resume, events that were already received are dropped, and a gap is detected.
class EventSequence
{
public:
    /// Called with the data lines of a new event, joined by line feeds.
    using OnData = std::function<void(std::string_view data)>;

    /// `lastId`: id of the event after which the stream begins, if the caller specified one.
    explicit EventSequence(std::optional<std::uint64_t> lastId = std::nullopt);

    /// Returns the new events completed by this piece, byte for byte.
    std::string take(std::string_view piece, OnData const &onData = nullptr);
    /// Called when the stream was resumed after lastId(); the next piece comes from another connection.
    void onResumed();

    [[nodiscard]] std::optional<std::uint64_t> lastId() const;
    /// Number of new events received.
    [[nodiscard]] std::uint64_t count() const;
    /// Whether an event is missing in the sequence, or an event exceeds the buffer limit.
    [[nodiscard]] bool isBroken() const;
    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool hasPartialEvent() const;
    /// Number of bytes received of the incomplete event.
    [[nodiscard]] std::size_t unfinishedBytes() const;

private:
    /// Returns whether the event is new.
    bool acceptEvent(std::string_view event, OnData const &onData);

    static constexpr std::size_t MaxEventBytes = 1024 * 1024;

    Http::EventSplitter splitter_;
    std::optional<std::uint64_t> lastId_;
    std::uint64_t count_ = 0;
    /// Whether each id must be one higher than its predecessor. False until the first event with an id if no last id was given.
    bool isOrderEnforced_ = false;
    bool isBroken_ = false;
};

} // namespace Anvilyard::Serving
