#pragma once

#include "LibCore/Result.h"
#include "LibJobs/Job.h"
#include "LibPlatform/ObjectStore.h"

#include <functional>
#include <memory>

namespace Anvilyard::Jobs {

/// A job as loaded from the store.
struct LoadedJob {
    JobRecord record;
    std::vector<ResultSegment> segments;
    bool isEnded = false;
};

enum class LoadExtent {
    /// The job including all its segments.
    Full,
    /// The job without its segments.
    JobOnly,
    /// Only the job object, with the first items.
    HeadOnly,
};

/// Reads a job from the store, then its segments one after the other until one does not exist yet. Fails with JobsError::JobNotFound
/// only if the store reports that the job does not exist, otherwise with the store's error. Replies on the store's thread.
void loadJob(Platform::ObjectStore &store, JobId const &job, LoadExtent extent, std::function<void(Result<LoadedJob>)> reply);

/// Reads the segment that begins at a position. The result is `std::nullopt` if it does not exist yet.
void loadSegment(Platform::ObjectStore &store,
                 JobId const &job,
                 std::size_t first,
                 std::function<void(Result<std::optional<ResultSegment>>)> reply);

} // namespace Anvilyard::Jobs
