#include "LibBatch/JobCodec.h"

#include "LibBatch/StoredJson.h"

#include <array>

namespace Anvilyard::Batch {

namespace {

constexpr std::array<std::string_view, 3> StatusNames = {"open", "completed", "cancelled"};

JobStatus parseStatus(std::string_view name)
{
    for (std::size_t index = 0; index < StatusNames.size(); ++index) {
        if (StatusNames.at(index) == name)
            return static_cast<JobStatus>(index);
    }
    return JobStatus::Open;
}

boost::json::object encodeMetadata(std::map<std::string, std::string> const &metadata)
{
    boost::json::object object;
    for (auto const &[key, text] : metadata)
        object.emplace(key, text);
    return object;
}

std::map<std::string, std::string> decodeMetadata(boost::json::object const &object)
{
    std::map<std::string, std::string> metadata;
    for (auto const &field : object) {
        if (field.value().is_string())
            metadata.emplace(field.key(), field.value().get_string());
    }
    return metadata;
}

boost::json::object encodeCounts(OutcomeCounts const &counts)
{
    return {{"total", counts.total},
            {"succeeded", counts.succeeded},
            {"failed", counts.failed},
            {"unknown", counts.unknown},
            {"cancelled", counts.cancelled}};
}

OutcomeCounts decodeCounts(StoredJson json)
{
    return {.total = json.number("total"),
            .succeeded = json.number("succeeded"),
            .failed = json.number("failed"),
            .unknown = json.number("unknown"),
            .cancelled = json.number("cancelled")};
}

} // namespace

std::string JobCodec::encode(JobRecord const &value)
{
    return boost::json::serialize(boost::json::object{
        {"id", value.id.value()},
        {"customer", value.customer.value()},
        {"inputFile", value.inputFile.value()},
        {"upload", value.upload.value()},
        {"endpoint", value.endpoint},
        {"completionWindow", value.completionWindow},
        {"metadata", encodeMetadata(value.metadata)},
        {"items", value.items},
        {"chunkItems", toArray(value.chunkItems)},
        {"services", fromStrong(value.services)},
        {"attempts", value.attempts},
        {"digest", value.digest},
        {"created", storedInstant(value.created)},
        {"due", storedInstant(value.due)},
        {"keepUntil", storedInstant(value.keepUntil)},
        {"status", StatusNames.at(static_cast<std::size_t>(value.status))},
        {"cancelAsked", storedInstant(value.cancelRequestedAt)},
        {"finished", storedInstant(value.finished)},
        {"counts", encodeCounts(value.counts)},
    });
}

Result<JobRecord> JobCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    JobRecord value;
    value.id = JobId(json->text("id"));
    value.customer = CustomerId(json->text("customer"));
    value.inputFile = FileId(json->text("inputFile"));
    value.upload = UploadId(json->text("upload"));
    value.endpoint = json->text("endpoint");
    value.completionWindow = json->text("completionWindow");
    value.metadata = decodeMetadata(json->object("metadata"));
    value.items = json->smallNumber("items");
    value.chunkItems = json->numbers("chunkItems");
    value.services = toStrong<ServiceName>(json->texts("services"));
    value.attempts = json->smallNumber("attempts");
    value.digest = json->text("digest");
    value.created = json->instant("created");
    value.due = json->instant("due");
    value.keepUntil = json->instant("keepUntil");
    value.status = parseStatus(json->text("status"));
    value.cancelRequestedAt = json->instant("cancelAsked");
    value.finished = json->instant("finished");
    value.counts = decodeCounts(StoredJson(json->object("counts")));
    return json->finish(std::move(value));
}

} // namespace Anvilyard::Batch
