#include "LibJobs/JobWaitDetector.h"

namespace Anvilyard::Jobs {

JobWaitDetector::JobWaitDetector(JobWaitDetectorOptions options)
    : options_(options)
{
}

std::vector<JobWaitDetector::Wait> JobWaitDetector::onTick(std::span<Progress const> jobs, Instant now)
{
    std::map<JobId, State> states;
    std::vector<Wait> waits;
    for (auto const &progress : jobs) {
        State const initial{.starts = progress.starts, .since = now, .reportAt = now + options_.reportAfter};
        auto const known = states_.find(progress.job);
        auto &state = states.emplace(progress.job, known == states_.end() ? initial : known->second).first->second;
        if (!progress.isWaiting || state.starts != progress.starts) {
            auto const reports = state.reports;
            state = initial;
            state.reports = reports;
        }
        if (now < state.reportAt || state.reports >= options_.maxReports)
            continue;
        state.reportAt = now + options_.repeatInterval * (1U << state.reports);
        ++state.reports;
        waits.push_back({.job = progress.job, .lasting = now - state.since});
    }
    states_ = std::move(states);
    return waits;
}

} // namespace Anvilyard::Jobs
