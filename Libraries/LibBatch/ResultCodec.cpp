#include "LibBatch/ResultCodec.h"

#include "LibBatch/StoredJson.h"

namespace Anvilyard::Batch {

std::string ResultCodec::encode(std::vector<ResultLine> const &value)
{
    boost::json::array lines;
    lines.reserve(value.size());
    for (auto const &line : value)
        lines.emplace_back(boost::json::array{line.item, std::string(1, static_cast<char>(line.outcome)), line.line});
    return boost::json::serialize(boost::json::object{{"lines", std::move(lines)}});
}

Result<std::vector<ResultLine>> ResultCodec::decode(std::string_view text)
{
    auto json = StoredJson::parse(text);
    if (!json)
        return tl::unexpected(json.error());
    std::vector<ResultLine> lines;
    for (auto const &element : json->array("lines")) {
        auto const *fields = element.if_array();
        if (!fields || fields->size() != 3 || !(*fields)[0].is_int64() || !(*fields)[1].is_string() || !(*fields)[2].is_string()
            || (*fields)[1].get_string().size() != 1)
            return failure(BatchError::BadStoredObject, "field lines");
        lines.push_back({.item = static_cast<std::uint32_t>((*fields)[0].get_int64()),
                         .outcome = static_cast<ItemOutcome>((*fields)[1].get_string()[0]),
                         .line = std::string((*fields)[2].get_string())});
    }
    return json->finish(std::move(lines));
}

} // namespace Anvilyard::Batch
