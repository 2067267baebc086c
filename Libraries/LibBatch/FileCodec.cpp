#include "LibBatch/FileCodec.h"

#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

std::string FileCodec::encode(FileRecord const &value)
{
    return boost::json::serialize(boost::json::object{
        {"id", value.id.value()},
        {"customer", value.customer.value()},
        {"upload", value.upload.value()},
        {"filename", value.filename},
        {"purpose", value.purpose},
        {"bytes", value.bytes},
        {"items", value.items},
        {"chunkItems", toArray(value.chunkItems)},
        {"endpoint", value.endpoint},
        {"services", fromStrong(value.services)},
        {"digest", value.digest},
        {"created", storedInstant(value.created)},
        {"keepUntil", storedInstant(value.keepUntil)},
    });
}

Result<FileRecord> FileCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    FileRecord value;
    value.id = FileId(json->text("id"));
    value.customer = CustomerId(json->text("customer"));
    value.upload = UploadId(json->text("upload"));
    value.filename = json->text("filename");
    value.purpose = json->text("purpose");
    value.bytes = json->number("bytes");
    value.items = json->smallNumber("items");
    value.chunkItems = json->numbers("chunkItems");
    value.endpoint = json->text("endpoint");
    value.services = toStrong<ServiceName>(json->texts("services"));
    value.digest = json->text("digest");
    value.created = json->instant("created");
    value.keepUntil = json->instant("keepUntil");
    return json->finish(std::move(value));
}

} // namespace Anvilyard::Batch
