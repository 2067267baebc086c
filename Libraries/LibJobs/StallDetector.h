#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Anvilyard::Jobs {

struct StallDetectorOptions {
    /// Time without a start after which waiting items count as stalled. Items that wait behind a burst of online requests start sooner.
    Duration stalledAfter = 5s;
    /// Interval at which a lasting stall is reported again.
    Duration repeatInterval = 10s;
};

/// Finds pools for which a runner has waiting items and starts none. Performs no I/O.
class StallDetector
{
public:
    struct Stall {
        PoolName pool;
        std::size_t waiting = 0;
        /// Time since the last start, or since items wait.
        Duration lasting;
    };

    explicit StallDetector(StallDetectorOptions options);

    void onStarted(PoolName const &pool, Instant now);
    /// Returns the stalls to be reported now. `waiting`: number of waiting items by pool, without pools that have none.
    [[nodiscard]] std::vector<Stall> onTick(std::map<PoolName, std::size_t> const &waiting, Instant now);
    /// The longest time for which items of a pool have waited with none started.
    [[nodiscard]] Duration longest(Instant now) const;

private:
    struct Waiting {
        Instant since;
        Instant reportAt;
    };

    StallDetectorOptions options_;
    std::map<PoolName, Waiting> waiting_;
};

} // namespace Anvilyard::Jobs
