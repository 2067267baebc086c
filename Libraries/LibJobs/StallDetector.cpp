#include "LibJobs/StallDetector.h"

#include <algorithm>

namespace Anvilyard::Jobs {

StallDetector::StallDetector(StallDetectorOptions options)
    : options_(options)
{
}

void StallDetector::onStarted(PoolName const &pool, Instant now)
{
    if (auto const found = waiting_.find(pool); found != waiting_.end())
        found->second = {.since = now, .reportAt = now + options_.stalledAfter};
}

std::vector<StallDetector::Stall> StallDetector::onTick(std::map<PoolName, std::size_t> const &waiting, Instant now)
{
    std::erase_if(waiting_, [&](auto const &entry) { return !waiting.contains(entry.first); });
    std::vector<Stall> stalls;
    for (auto const &[pool, count] : waiting) {
        auto &entry = waiting_.try_emplace(pool, Waiting{.since = now, .reportAt = now + options_.stalledAfter}).first->second;
        if (now < entry.reportAt)
            continue;
        entry.reportAt = now + options_.repeatInterval;
        stalls.push_back({.pool = pool, .waiting = count, .lasting = now - entry.since});
    }
    return stalls;
}

Duration StallDetector::longest(Instant now) const
{
    Duration longest{0};
    for (auto const &[pool, entry] : waiting_)
        longest = std::max(longest, now - entry.since);
    return longest;
}

} // namespace Anvilyard::Jobs
