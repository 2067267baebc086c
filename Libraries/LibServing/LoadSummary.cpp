#include "LibServing/LoadSummary.h"

#include "LibServing/LoadCodec.h"
#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view FirstKey = R"({"relay":)";

} // namespace

std::string encodeLoadSummary(LoadSummary const &summary)
{
    json::object object{
        {"relay", summary.relay.value()},
        {"started", summary.position.startedAt},
        {"number", summary.position.number},
        {"dc", summary.dataCentre.value()},
        {"state", summary.stateVersion.value()},
        {"servers", summary.serversRevision.value()},
        {"near", encodeLoad(summary.near)},
    };
    if (summary.far)
        object["far"] = encodeLoad(*summary.far);
    auto text = json::serialize(object);
    return summary.included ? addIncludedReport(text, *summary.included) : text;
}

std::string addIncludedReport(std::string_view encoded, ReportPosition const &included)
{
    std::string text(encoded.substr(0, encoded.size() - 1));
    text += R"(,"included":[)" + std::to_string(included.startedAt) + "," + std::to_string(included.number) + "]}";
    return text;
}

bool isLoadSummary(std::string_view text)
{
    return text.starts_with(FirstKey);
}

Result<LoadSummary> decodeLoadSummary(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &object = value.as_object();
    LoadSummary summary{
        .relay = InstanceId(std::string(object.at("relay").as_string())),
        .position = {.startedAt = object.at("started").to_number<std::int64_t>(), .number = object.at("number").to_number<std::uint64_t>()},
        .dataCentre = DataCentreId(std::string(object.at("dc").as_string())),
        .stateVersion = StateVersion(object.at("state").to_number<std::uint64_t>()),
        .serversRevision = StoreRevision(object.at("servers").to_number<std::uint64_t>()),
        .near = decodeLoad(object.at("near")),
    };
    if (auto const *far = object.if_contains("far"))
        summary.far = decodeLoad(*far);
    if (auto const *included = object.if_contains("included")) {
        auto const &fields = included->as_array();
        summary.included =
            ReportPosition{.startedAt = fields.at(0).to_number<std::int64_t>(), .number = fields.at(1).to_number<std::uint64_t>()};
    }
    return summary;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
