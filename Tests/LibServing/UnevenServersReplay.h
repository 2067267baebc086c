#pragma once

#include "LibServing/OnlinePlacement.h"

#include <cstddef>

namespace Anvilyard::Testing {

struct UnevenServersOptions {
    std::size_t choosers = 60;
    std::size_t servers = 90;
    /// Offered work relative to what all servers can do.
    double load = 0.85;
    /// Age of the requests of other choosers as known to each one.
    Duration loadAge = 150ms;
    enum class Choice {
        /// Servers state no speed.
        WithoutPace,
        WithPace,
        /// The server with the shortest actual wait by its actual load and speed.
        Oracle,
    } choice = Choice::WithPace;
    /// Whether statements contain the permanent speed of a server as well as its slowdowns.
    bool statesPermanentSpeed = true;
    Duration duration = 20s;
    std::uint64_t seed = 1;
};

struct UnevenServersResult {
    /// Variance of the number of requests at a server, over servers and time.
    double loadVariance = 0;
    double p99WaitSeconds = 0;
    /// Shares of the offered requests.
    double onTime = 0;
    double late = 0;
    double refused = 0;
};

/// Replays online requests at servers of uneven and changing speed. Servers have 8 slots and take requests in order of arrival. A quarter
/// runs at 0.55 of the speed of the others, and at any time 15% are slowed down by a factor of 2.5 for 600 ms on average. A request is on
/// time if its first event is generated within 300 ms.
[[nodiscard]] UnevenServersResult replayUnevenServers(UnevenServersOptions const &options);

} // namespace Anvilyard::Testing
