#include "LibBatch/JobJson.h"

namespace Anvilyard::Batch {

namespace json = boost::json;

namespace {

std::int64_t seconds(WallInstant instant)
{
    return std::chrono::duration_cast<std::chrono::seconds>(instant.time_since_epoch()).count();
}

json::value secondsOrNull(WallInstant instant, bool known)
{
    return known ? json::value(seconds(instant)) : json::value(nullptr);
}

std::string_view statusName(JobRecord const &job)
{
    switch (job.status) {
    case JobStatus::Completed:
        return "completed";
    case JobStatus::Cancelled:
        return "cancelled";
    case JobStatus::Open:
        break;
    }
    return job.isCancelRequested() ? "cancelling" : "in_progress";
}

json::object metadataToJson(std::map<std::string, std::string> const &metadata)
{
    json::object object;
    for (auto const &[key, text] : metadata)
        object.emplace(key, text);
    return object;
}

} // namespace

json::object fileToJson(FileRecord const &file)
{
    return {
        {"id", file.id.value()},
        {"object", "file"},
        {"bytes", file.bytes},
        {"created_at", seconds(file.created)},
        {"expires_at", seconds(file.keepUntil)},
        {"filename", file.filename},
        {"purpose", file.purpose},
        {"status", "processed"},
    };
}

json::object jobToJson(JobRecord const &job, OutcomeCounts const &counts)
{
    auto const status = statusName(job);
    return {
        {"id", job.id.value()},
        {"object", "batch"},
        {"endpoint", job.endpoint},
        {"errors", nullptr},
        {"input_file_id", job.inputFile.value()},
        {"completion_window", job.completionWindow},
        {"status", json::string_view(status.data(), status.size())},
        {"output_file_id", resultFileId(job.id, ResultFile::Output).value()},
        {"error_file_id", resultFileId(job.id, ResultFile::Errors).value()},
        {"created_at", seconds(job.created)},
        {"in_progress_at", seconds(job.created)},
        {"expires_at", seconds(job.due)},
        {"completed_at", secondsOrNull(job.finished, job.status == JobStatus::Completed)},
        {"cancelling_at", secondsOrNull(job.cancelRequestedAt, job.isCancelRequested())},
        {"cancelled_at", secondsOrNull(job.finished, job.status == JobStatus::Cancelled)},
        {"request_counts",
         {{"total", job.items},
          {"completed", counts.succeeded},
          {"failed", counts.failed},
          {"unknown", counts.unknown},
          {"cancelled", counts.cancelled},
          {"pending", job.items - std::min<std::uint64_t>(job.items, counts.finished())}}},
        {"metadata", metadataToJson(job.metadata)},
    };
}

json::object resultFileToJson(JobRecord const &job, ResultFile kind)
{
    return {
        {"id", resultFileId(job.id, kind).value()},
        {"object", "file"},
        {"bytes", nullptr},
        {"created_at", seconds(job.created)},
        {"expires_at", seconds(job.keepUntil)},
        {"filename", kind == ResultFile::Output ? "output.jsonl" : "errors.jsonl"},
        {"purpose", "batch_output"},
        {"status", "processed"},
    };
}

} // namespace Anvilyard::Batch
