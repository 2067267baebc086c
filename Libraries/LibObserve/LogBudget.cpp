#include "LibObserve/LogBudget.h"

#include <algorithm>
#include <utility>

namespace Anvilyard::Observe {

LogBudget::LogBudget(LogBudgetOptions options)
    : options_(options)
{
}

bool LogBudget::take(EventDefinition const &event, Instant now)
{
    auto const rate = event.severity >= Severity::Warning ? options_.warningsPerSecond : options_.linesPerSecond;
    auto const [found, isNew] = buckets_.try_emplace(event.number, Bucket{.lines = rate * options_.burstSeconds, .refilledAt = now});
    auto &bucket = found->second;
    auto const passed = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.lines = std::min(rate * options_.burstSeconds, bucket.lines + rate * std::max(0.0, passed));
    bucket.refilledAt = now;
    if (bucket.lines < 1) {
        ++bucket.droppedLines;
        return false;
    }
    bucket.lines -= 1;
    return true;
}

std::vector<DroppedLines> LogBudget::takeDroppedLines()
{
    std::vector<DroppedLines> droppedLines;
    for (auto &[number, bucket] : buckets_) {
        if (bucket.droppedLines > 0)
            droppedLines.push_back({.event = number, .lines = std::exchange(bucket.droppedLines, 0)});
    }
    return droppedLines;
}

} // namespace Anvilyard::Observe
