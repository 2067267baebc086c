#include "LibServing/PromptEvidence.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"lost":)";

WallInstant toWallInstant(json::value const &value)
{
    return WallInstant(std::chrono::milliseconds(value.to_number<std::int64_t>()));
}

} // namespace

std::string encodePromptEvidence(PromptEvidence const &evidence)
{
    json::array lost;
    for (auto const &response : evidence.lost) {
        json::array parts;
        for (auto const &part : response.parts)
            parts.emplace_back(part.value());
        lost.push_back(
            json::array{response.server.id.value(), response.server.startedAt, response.at.time_since_epoch().count(), std::move(parts)});
    }
    json::array answered;
    for (auto const &[part, at] : evidence.answered)
        answered.push_back(json::array{part.value(), at.time_since_epoch().count()});
    return json::serialize(json::object{{"lost", std::move(lost)}, {"answered", std::move(answered)}});
}

bool isPromptEvidence(std::string_view text)
{
    return text.starts_with(FirstKey);
}

Result<PromptEvidence> decodePromptEvidence(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &object = value.as_object();
    PromptEvidence evidence;
    for (auto const &entry : object.at("lost").as_array()) {
        auto const &fields = entry.as_array();
        LostResponse response{
            .server = {.id = ServerId(std::string(fields.at(0).as_string())), .startedAt = fields.at(1).to_number<std::int64_t>()},
            .at = toWallInstant(fields.at(2)),
        };
        for (auto const &part : fields.at(3).as_array())
            response.parts.emplace_back(part.to_number<std::uint64_t>());
        evidence.lost.push_back(std::move(response));
    }
    for (auto const &entry : object.at("answered").as_array()) {
        auto const &fields = entry.as_array();
        evidence.answered[PromptPartId(fields.at(0).to_number<std::uint64_t>())] = toWallInstant(fields.at(1));
    }
    return evidence;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
