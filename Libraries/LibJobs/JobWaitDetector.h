#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace Anvilyard::Jobs {

struct JobWaitDetectorOptions {
    /// Time without a start after which a job with waiting items is reported.
    Duration reportAfter = 5s;
    /// Interval at which a lasting wait is reported again. It doubles with each report of the job.
    Duration repeatInterval = 10s;
    /// Number of reports of a job. There may be hundreds of waiting jobs in an overload.
    std::uint32_t maxReports = 4;
};

/// Finds jobs with waiting items of which none starts. Performs no I/O.
class JobWaitDetector
{
public:
    struct Progress {
        JobId job;
        /// Whether it has items that wait.
        bool isWaiting = false;
        /// Number of items of the job that were started so far.
        std::uint64_t starts = 0;
    };

    struct Wait {
        JobId job;
        /// Time since the last start, or since items wait.
        Duration lasting;
    };

    explicit JobWaitDetector(JobWaitDetectorOptions options);

    /// Returns the waits to be reported now. `jobs`: all jobs of this runner; the state of others is dropped.
    [[nodiscard]] std::vector<Wait> onTick(std::span<Progress const> jobs, Instant now);

private:
    struct State {
        std::uint64_t starts = 0;
        std::uint32_t reports = 0;
        Instant since;
        Instant reportAt;
    };

    JobWaitDetectorOptions options_;
    std::map<JobId, State> states_;
};

} // namespace Anvilyard::Jobs
