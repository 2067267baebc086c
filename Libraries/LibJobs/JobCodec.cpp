#include "LibJobs/JobCodec.h"

#include "LibJobs/Base64.h"
#include "LibJobs/JobsError.h"

#include <boost/json.hpp>

namespace Anvilyard::Jobs {

namespace json = boost::json;

namespace {

constexpr std::string_view CompletedState = "completed";
constexpr std::string_view GivenUpState = "given-up";

json::object encodeItem(JobItem const &item)
{
    json::array headers;
    for (auto const &[name, value] : item.headers.fields())
        headers.push_back(json::array{name, value});
    return {
        {"id", item.id.value()},
        {"target", item.target},
        {"headers", std::move(headers)},
        {"body", encodeBase64(item.body)},
        {"tokens", item.tokens},
    };
}

std::string text(json::value const &value)
{
    return std::string(value.as_string());
}

/// Throws if the value is not a valid item.
JobItem decodeItem(json::value const &value)
{
    auto const &object = value.as_object();
    JobItem item{
        .id = ItemId(text(object.at("id"))),
        .target = text(object.at("target")),
        .tokens = object.at("tokens").to_number<std::uint64_t>(),
    };
    for (auto const &header : object.at("headers").as_array())
        item.headers.append({text(header.as_array().at(0)), text(header.as_array().at(1))});
    auto body = decodeBase64(object.at("body").as_string());
    if (!body)
        throw std::invalid_argument(body.error().toString());
    item.body = std::move(*body);
    return item;
}

std::vector<JobItem> decodeItems(json::value const &value)
{
    std::vector<JobItem> items;
    for (auto const &item : value.as_array())
        items.push_back(decodeItem(item));
    return items;
}

std::string numberedName(JobId const &job, std::size_t number)
{
    return job.value() + "." + std::to_string(number);
}

} // namespace

Platform::ObjectName jobObject(JobId const &job)
{
    return Platform::ObjectName(job.value());
}

Platform::ObjectName partObject(JobId const &job, std::size_t part)
{
    return Platform::ObjectName(numberedName(job, part));
}

Platform::ObjectName segmentObject(JobId const &job, std::size_t first)
{
    return Platform::ObjectName(numberedName(job, first));
}

StoredJob encodeJob(JobRecord const &job)
{
    std::vector<json::array> groups(1);
    std::size_t size = 0;
    for (auto const &item : job.items) {
        auto encoded = encodeItem(item);
        auto const bytes = json::serialize(encoded).size();
        if (size + bytes > MaxObjectBytes && !groups.back().empty()) {
            groups.emplace_back();
            size = 0;
        }
        size += bytes;
        groups.back().push_back(std::move(encoded));
    }
    StoredJob stored;
    for (std::size_t group = 1; group < groups.size(); ++group)
        stored.parts.push_back(json::serialize(json::object{{"items", std::move(groups[group])}}));
    json::object object{
        {"host", job.host},
        {"acceptedAt", job.acceptedAt.time_since_epoch().count()},
        {"parts", stored.parts.size()},
        {"items", std::move(groups.front())},
    };
    if (job.customer)
        object["customer"] = job.customer->value();
    stored.spec = json::serialize(object);
    return stored;
}

Result<JobHead> decodeJob(JobId const &job, std::string_view spec)
try {
    auto const value = json::parse(spec);
    auto const &object = value.as_object();
    auto const *customer = object.if_contains("customer");
    return JobHead{
        .record =
            {
                .id = job,
                .host = text(object.at("host")),
                .acceptedAt = WallInstant(std::chrono::milliseconds(object.at("acceptedAt").to_number<std::int64_t>())),
                .customer = customer ? std::optional(CustomerId(text(*customer))) : std::nullopt,
                .items = decodeItems(object.at("items")),
            },
        .parts = object.at("parts").to_number<std::size_t>(),
    };
} catch (std::exception const &exception) {
    return failure(JobsError::BadObject, "job " + job.value() + ": " + exception.what());
}

Result<std::vector<JobItem>> decodePart(std::string_view spec)
try {
    auto const value = json::parse(spec);
    return decodeItems(value.as_object().at("items"));
} catch (std::exception const &exception) {
    return failure(JobsError::BadObject, std::string("job part: ") + exception.what());
}

std::string encodeSegment(ResultSegment const &segment)
{
    json::array outcomes;
    for (auto const &outcome : segment.outcomes) {
        outcomes.push_back(json::object{
            {"id", outcome.id.value()},
            {"state", outcome.state == OutcomeState::Completed ? CompletedState : GivenUpState},
            {"output", outcome.output},
        });
    }
    return json::serialize(json::object{{"outcomes", std::move(outcomes)}});
}

Result<ResultSegment> decodeSegment(std::size_t first, std::string_view spec)
try {
    auto const value = json::parse(spec);
    ResultSegment segment{.first = first};
    for (auto const &entry : value.as_object().at("outcomes").as_array()) {
        auto const &object = entry.as_object();
        segment.outcomes.push_back({
            .id = ItemId(text(object.at("id"))),
            .state = object.at("state").as_string() == CompletedState ? OutcomeState::Completed : OutcomeState::GivenUp,
            .output = text(object.at("output")),
        });
    }
    // A reader would never advance past an empty segment.
    if (segment.outcomes.empty())
        return failure(JobsError::BadObject, "empty result segment");
    return segment;
} catch (std::exception const &exception) {
    return failure(JobsError::BadObject, std::string("result segment: ") + exception.what());
}

std::string encodeEnded()
{
    return R"({"ended":true})";
}

bool isEnded(std::string_view status)
{
    boost::system::error_code error;
    auto const value = json::parse(status, error);
    auto const *object = error ? nullptr : value.if_object();
    auto const *ended = object ? object->if_contains("ended") : nullptr;
    return ended && ended->is_bool() && ended->get_bool();
}

} // namespace Anvilyard::Jobs
