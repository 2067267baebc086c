#pragma once

#include "LibBatch/JobRecords.h"
#include "LibPlatform/ObjectStore.h"

#include <optional>
#include <string_view>

namespace Anvilyard::Batch {

/// The kinds of objects that the batch layer stores on the platform.
namespace Kinds {
inline Platform::Kind const uploads("jobuploads");
inline Platform::Kind const inputs("jobinputs");
inline Platform::Kind const files("files");
inline Platform::Kind const jobs("jobs");
inline Platform::Kind const openJobs("openjobs");
inline Platform::Kind const cancels("jobcancels");
inline Platform::Kind const chunks("jobchunks");
inline Platform::Kind const results("jobresults");
/// Written by entry processes for requests that must not be repeated. Removed by the housekeeper once expired.
inline Platform::Kind const intents("intents");
} // namespace Kinds

/// Returns the common name prefix of a customer's jobs, by which they can be listed.
std::string customerJobPrefix(CustomerId const &customer);
/// Returns the job's id. It depends only on the customer and the key, so that all instances derive the same id.
JobId jobIdFor(CustomerId const &customer, std::string_view idempotencyKey);
FileId fileIdFor(CustomerId const &customer, std::string_view idempotencyKey);

Platform::ObjectName inputName(UploadId const &upload, ChunkIndex chunk);
Platform::ObjectName chunkName(JobId const &job, ChunkIndex chunk);
/// Returns the common name prefix of a job's chunks and results.
std::string chunkPrefix(JobId const &job);
std::optional<ChunkIndex> chunkIndexOf(JobId const &job, Platform::ObjectName const &name);
/// Returns the name of a result part. `writer` identifies one write of one process, so a name is never reused.
std::string resultName(JobId const &job, ChunkIndex chunk, std::string_view writer, std::uint32_t part);

enum class ResultFile {
    Output,
    Errors,
};

struct ResultFileRef {
    JobId job;
    ResultFile kind = ResultFile::Output;
};

/// Returns the id of a job's output or error file. These files are views of the job's results and have no object of their own.
FileId resultFileId(JobId const &job, ResultFile kind);
std::optional<ResultFileRef> parseResultFileId(FileId const &file);

} // namespace Anvilyard::Batch
