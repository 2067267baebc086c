#include "LibBatch/OpenJobCodec.h"

#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

std::string OpenJobCodec::encode(OpenJob const &value)
{
    return boost::json::serialize(boost::json::object{
        {"id", value.id.value()},
        {"customer", value.customer.value()},
        {"due", storedInstant(value.due)},
        {"created", storedInstant(value.created)},
        {"services", fromStrong(value.services)},
    });
}

Result<OpenJob> OpenJobCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    OpenJob value;
    value.id = JobId(json->text("id"));
    value.customer = CustomerId(json->text("customer"));
    value.due = json->instant("due");
    value.created = json->instant("created");
    value.services = toStrong<ServiceName>(json->texts("services"));
    return json->finish(std::move(value));
}

} // namespace Anvilyard::Batch
