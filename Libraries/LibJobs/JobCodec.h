#pragma once

#include "LibCore/Result.h"
#include "LibJobs/Job.h"
#include "LibPlatform/ObjectStore.h"

#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Jobs {

/// Job object with the first items. Its status records whether the job was ended.
inline Platform::Kind const jobKind("batchjobs");
/// Further items of a job that is too large for one object.
inline Platform::Kind const jobPartKind("batchjobparts");
/// Outcomes of a job, one object per segment.
inline Platform::Kind const segmentKind("batchresults");

/// Maximum content size of one object, well below the platform's limit of a megabyte for an object with its metadata.
constexpr std::size_t MaxObjectBytes = 700 * 1024;

/// A job encoded as store objects.
struct StoredJob {
    /// Contents of the objects of jobPartKind, which are created before the job object.
    std::vector<std::string> parts;
    std::string spec;
};

/// Decoded job object.
struct JobHead {
    JobRecord record;
    /// Number of objects of jobPartKind.
    std::size_t parts = 0;
};

Platform::ObjectName jobObject(JobId const &job);
Platform::ObjectName partObject(JobId const &job, std::size_t part);
Platform::ObjectName segmentObject(JobId const &job, std::size_t first);

StoredJob encodeJob(JobRecord const &job);
Result<JobHead> decodeJob(JobId const &job, std::string_view spec);
Result<std::vector<JobItem>> decodePart(std::string_view spec);
std::string encodeSegment(ResultSegment const &segment);
Result<ResultSegment> decodeSegment(std::size_t first, std::string_view spec);
/// Returns the status of a job that its submitter ended.
std::string encodeEnded();
/// Whether a status is that of an ended job.
bool isEnded(std::string_view status);

} // namespace Anvilyard::Jobs
