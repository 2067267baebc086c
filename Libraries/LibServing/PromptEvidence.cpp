#include "LibServing/PromptEvidence.h"

#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"lost":)";
/// Number of fields of a lost response whose request is not suspected.
constexpr std::size_t FieldsWithoutRequest = 4;

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
        json::array fields{response.server.id.value(), response.server.startedAt, response.at.time_since_epoch().count(), std::move(parts)};
        if (response.request) {
            fields.emplace_back(response.request->value());
            fields.emplace_back(response.runTime.count());
        }
        lost.push_back(std::move(fields));
    }
    json::array answered;
    for (auto const &[part, at] : evidence.answered)
        answered.push_back(json::array{part.value(), at.time_since_epoch().count()});
    json::object object{{"lost", std::move(lost)}, {"answered", std::move(answered)}};
    if (!evidence.answeredRequests.empty()) {
        json::array requests;
        for (auto const &[request, at] : evidence.answeredRequests)
            requests.push_back(json::array{request.value(), at.time_since_epoch().count()});
        object["answeredRequests"] = std::move(requests);
    }
    return json::serialize(object);
}

std::vector<PromptEvidence> splitPromptEvidence(PromptEvidence const &evidence, std::size_t maxLostResponses)
{
    std::vector<PromptEvidence> messages;
    for (std::size_t index = 0; index < evidence.lost.size(); ++index) {
        if (index % maxLostResponses == 0)
            messages.emplace_back();
        auto &message = messages.back();
        auto const &response = evidence.lost[index];
        message.lost.push_back(response);
        for (auto const &part : response.parts) {
            if (auto const found = evidence.answered.find(part); found != evidence.answered.end())
                message.answered.insert(*found);
        }
        if (!response.request)
            continue;
        if (auto const found = evidence.answeredRequests.find(*response.request); found != evidence.answeredRequests.end())
            message.answeredRequests.insert(*found);
    }
    return messages;
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
        if (fields.size() > FieldsWithoutRequest) {
            response.request = RequestFingerprint(fields.at(FieldsWithoutRequest).to_number<std::uint64_t>());
            response.runTime = std::chrono::milliseconds(fields.at(FieldsWithoutRequest + 1).to_number<std::int64_t>());
        }
        evidence.lost.push_back(std::move(response));
    }
    for (auto const &entry : object.at("answered").as_array()) {
        auto const &fields = entry.as_array();
        evidence.answered[PromptPartId(fields.at(0).to_number<std::uint64_t>())] = toWallInstant(fields.at(1));
    }
    if (auto const *requests = object.if_contains("answeredRequests")) {
        for (auto const &entry : requests->as_array()) {
            auto const &fields = entry.as_array();
            evidence.answeredRequests[RequestFingerprint(fields.at(0).to_number<std::uint64_t>())] = toWallInstant(fields.at(1));
        }
    }
    return evidence;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
