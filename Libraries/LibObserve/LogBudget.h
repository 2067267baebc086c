#pragma once

#include "LibCore/Time.h"
#include "LibObserve/Log.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Anvilyard::Observe {

struct LogBudgetOptions {
    /// Lines of one event per second. A machine with a quarter of a core writes them with less than 1 % of its processor time.
    double linesPerSecond = 40;
    /// Lines per second of one event that is a warning or an error. The rate is higher because these lines explain failures.
    double warningsPerSecond = 100;
    /// Maximum burst of lines of one event, in seconds of its rate.
    double burstSeconds = 2;
};

/// Number of dropped lines of one event.
struct DroppedLines {
    int event = 0;
    std::uint64_t lines = 0;
};

/// Limits the log volume separately for each event, so that a flood of one event does not displace others. Reads no clock.
class LogBudget
{
public:
    explicit LogBudget(LogBudgetOptions options);

    /// Returns whether a line of the event may be written now, and counts it.
    [[nodiscard]] bool take(EventDefinition const &event, Instant now);
    /// Returns and resets the numbers of dropped lines.
    [[nodiscard]] std::vector<DroppedLines> takeDroppedLines();

private:
    struct Bucket {
        double lines = 0;
        Instant refilledAt;
        std::uint64_t droppedLines = 0;
    };

    LogBudgetOptions options_;
    std::map<int, Bucket> buckets_;
};

} // namespace Anvilyard::Observe
