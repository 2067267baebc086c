#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Anvilyard::Serving {

struct NewsScheduleOptions {
    /// Time between two messages while nothing changes. Repeats serve instances that missed one.
    Duration interval = 1s;
    /// Time between two messages after a change, until all messages were sent.
    Duration minInterval = 50ms;
};

/// Decides when news that is split into messages is sent: all messages soon after each change, then one after the other. Performs no I/O.
class NewsSchedule
{
public:
    explicit NewsSchedule(NewsScheduleOptions options = {});

    /// Makes the next message due at once, as for a new receiver.
    void scheduleNow();
    /// Whether a message is due. `version` increases with each change of the news.
    [[nodiscard]] bool isDue(std::uint64_t version, Instant now) const;
    /// Returns the position of the message to send now, of so many. At least one is required.
    std::size_t take(std::uint64_t version, std::size_t messages, Instant now);

private:
    [[nodiscard]] bool isChanged(std::uint64_t version) const;

    NewsScheduleOptions options_;
    std::uint64_t sentVersion_ = 0;
    std::size_t next_ = 0;
    /// Number of messages after a change that were not sent yet.
    std::size_t dueMessages_ = 0;
    /// Unset if the next message is due at once.
    std::optional<Instant> sentAt_;
};

} // namespace Anvilyard::Serving
