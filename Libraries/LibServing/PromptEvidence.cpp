#include "LibServing/PromptEvidence.h"

#include "LibServing/ServingError.h"

#include <algorithm>
#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"lost":)";
/// Number of fields of a lost response whose request is not suspected.
constexpr std::size_t FieldsWithoutRequest = 4;
/// Position of the outcome of a trial, if it is known.
constexpr std::size_t TrialOutcomeField = 2;
constexpr std::string_view NotRunMark = "not-run";
constexpr std::string_view NotSentMark = "not-sent";
constexpr char const *PartTrialsKey = "partTrials";
constexpr char const *RequestTrialsKey = "requestTrials";

WallInstant toWallInstant(json::value const &value)
{
    return WallInstant(std::chrono::milliseconds(value.to_number<std::int64_t>()));
}

TrialOutcome readOutcome(json::array const &trial)
{
    if (trial.size() <= TrialOutcomeField)
        return TrialOutcome::Unknown;
    auto const &mark = trial.at(TrialOutcomeField).as_string();
    if (mark == NotSentMark)
        return TrialOutcome::NotSent;
    return mark == NotRunMark ? TrialOutcome::NotRun : TrialOutcome::Unknown;
}

/// The trials of suspects of one kind.
template<typename Id>
json::array encodeTrials(PromptEvidence const &evidence)
{
    json::array trials;
    for (auto const &[suspect, times] : evidence.trials) {
        auto const *id = std::get_if<Id>(&suspect);
        if (!id)
            continue;
        for (auto const &[at, outcome] : times) {
            json::array fields{id->value(), at.time_since_epoch().count()};
            if (outcome != TrialOutcome::Unknown)
                fields.emplace_back(outcome == TrialOutcome::NotRun ? NotRunMark : NotSentMark);
            trials.push_back(std::move(fields));
        }
    }
    return trials;
}

template<typename Id>
void readTrials(json::array const &trials, PromptEvidence &evidence)
{
    for (auto const &trial : trials) {
        auto const &fields = trial.as_array();
        auto &outcome = evidence.trials[Id(fields.at(0).to_number<std::uint64_t>())][toWallInstant(fields.at(1))];
        outcome = std::max(outcome, readOutcome(fields));
    }
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
    if (auto trials = encodeTrials<PromptPartId>(evidence); !trials.empty())
        object[PartTrialsKey] = std::move(trials);
    if (auto trials = encodeTrials<RequestFingerprint>(evidence); !trials.empty())
        object[RequestTrialsKey] = std::move(trials);
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
        auto const addTrials = [&](Suspect const &suspect) {
            if (auto const found = evidence.trials.find(suspect); found != evidence.trials.end())
                message.trials.insert(*found);
        };
        for (auto const &part : response.parts) {
            if (auto const found = evidence.answered.find(part); found != evidence.answered.end())
                message.answered.insert(*found);
            addTrials(part);
        }
        if (!response.request)
            continue;
        addTrials(*response.request);
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
    if (auto const *trials = object.if_contains(PartTrialsKey))
        readTrials<PromptPartId>(trials->as_array(), evidence);
    if (auto const *trials = object.if_contains(RequestTrialsKey))
        readTrials<RequestFingerprint>(trials->as_array(), evidence);
    return evidence;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
