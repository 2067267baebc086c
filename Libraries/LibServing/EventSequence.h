#pragma once

#include <cstdint>
#include <optional>

namespace Anvilyard::Serving {

/// Position in a stream of events that several servers may serve one after the other. Decides which events are new, so that each is
/// passed on once and in order.
class EventSequence
{
public:
    enum class Order {
        Next,
        /// The event was already received, as after a resume.
        Repeated,
        /// Events are missing before this one.
        Gap,
        /// The event has no id, in a stream whose events have ids. Its place is unknown, so a resume would lose or repeat it.
        Unplaced,
    };

    /// `lastId`: id of the event after which the stream begins, if the caller specified one.
    explicit EventSequence(std::optional<std::uint64_t> lastId = std::nullopt);

    /// Moves the position to the event if it is the next one. An event without an id is, as long as no id is known.
    Order advance(std::optional<std::uint64_t> id);

    [[nodiscard]] std::optional<std::uint64_t> lastId() const;
    /// Number of new events received.
    [[nodiscard]] std::uint64_t count() const;

private:
    std::optional<std::uint64_t> lastId_;
    std::uint64_t count_ = 0;
};

} // namespace Anvilyard::Serving
