#include "LibBatch/InputCodec.h"

#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

std::string InputCodec::encode(std::vector<ItemSpec> const &value)
{
    boost::json::array items;
    items.reserve(value.size());
    for (auto const &item : value) {
        items.emplace_back(boost::json::object{
            {"id", item.customId},
            {"url", item.url},
            {"service", item.service.value()},
            {"never", item.repeat == Repeat::Never ? 1 : 0},
            {"body", item.body},
        });
    }
    return boost::json::serialize(boost::json::object{{"items", std::move(items)}});
}

Result<std::vector<ItemSpec>> InputCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    std::vector<ItemSpec> items;
    for (auto const &element : json->array("items")) {
        if (!element.is_object())
            return failure(BatchError::BadStoredObject, "field items");
        StoredJson fields(element.get_object());
        auto item = fields.finish(ItemSpec{
            .customId = fields.text("id"),
            .url = fields.text("url"),
            .service = ServiceName(fields.text("service")),
            .repeat = fields.number("never") == 1 ? Repeat::Never : Repeat::Allowed,
            .body = fields.text("body"),
        });
        if (!item)
            return tl::unexpected(item.error());
        items.push_back(std::move(*item));
    }
    return json->finish(std::move(items));
}

} // namespace Anvilyard::Batch
