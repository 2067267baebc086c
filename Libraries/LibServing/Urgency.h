#pragma once

#include <cstddef>
#include <cstdint>

namespace Anvilyard::Serving {

/// How important a request is where not all can be served, in descending order.
enum class Urgency : std::uint8_t {
    Highest,
    High,
    Normal,
    /// Items of batch jobs.
    Batch,
};

constexpr std::size_t UrgencyCount = 4;

/// Urgency of online requests of a route with this priority, of which 0 is the highest.
Urgency urgencyOf(std::int64_t priority);

} // namespace Anvilyard::Serving
