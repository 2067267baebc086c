#include "LibServing/ServerLimitNews.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"limits":)";
/// Number of fields of a limit that has ended.
constexpr std::size_t FieldsWithoutRate = 3;

} // namespace

std::vector<std::vector<ServerLimit>> splitServerLimits(std::map<ServerId, ServerLimit> const &limits, std::size_t maxPerGroup)
{
    std::vector<std::vector<ServerLimit>> groups;
    for (auto const &[id, limit] : limits) {
        if (groups.empty() || groups.back().size() == maxPerGroup)
            groups.emplace_back();
        groups.back().push_back(limit);
    }
    return groups;
}

std::string encodeServerLimits(std::vector<ServerLimit> const &limits, Instant now)
{
    json::array entries;
    for (auto const &limit : limits) {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.statedAt);
        json::array fields{limit.server.id.value(), limit.server.startedAt, age.count()};
        if (limit.rate)
            fields.emplace_back(limit.rate->value());
        entries.push_back(std::move(fields));
    }
    return json::serialize(json::object{{"limits", std::move(entries)}});
}

bool isServerLimits(std::string_view text)
{
    return text.starts_with(FirstKey);
}

Result<std::vector<ServerLimit>> decodeServerLimits(std::string_view text, Instant now)
try {
    std::vector<ServerLimit> limits;
    auto const value = json::parse(text);
    for (auto const &entry : value.as_object().at("limits").as_array()) {
        auto const &fields = entry.as_array();
        auto const age = std::chrono::milliseconds(fields.at(2).to_number<std::int64_t>());
        ServerLimit limit{
            .server = {.id = ServerId(std::string(fields.at(0).as_string())), .startedAt = fields.at(1).to_number<std::int64_t>()},
            .statedAt = now - age,
        };
        if (fields.size() > FieldsWithoutRate)
            limit.rate = RequestRate(fields.at(FieldsWithoutRate).to_number<double>());
        limits.push_back(std::move(limit));
    }
    return limits;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
