#include "LibServing/PeerReport.h"

#include "LibServing/LoadCodec.h"
#include "LibServing/ServingError.h"

#include <boost/json.hpp>

namespace Anvilyard::Serving {

namespace json = boost::json;

namespace {

constexpr std::string_view EntryRole = "entry";
constexpr std::string_view RunnerRole = "runner";

StoreReachability reachabilityOf(json::value const &value)
{
    return value.as_bool() ? StoreReachability::Reached : StoreReachability::Lost;
}

} // namespace

std::string encodePeerReport(PeerReport const &report)
{
    json::array observed;
    for (auto const &runner : report.observedRunners)
        observed.push_back(json::array{
            runner.id.value(), runner.store == StoreReachability::Reached, runner.address.value(), runner.waitingTokens, runner.startedAt});
    json::object object{
        {"sender", report.sender.value()},
        {"started", report.startedAt},
        {"number", report.number},
        {"next", std::chrono::duration_cast<std::chrono::milliseconds>(report.nextWithin).count()},
        {"role", report.role == InstanceRole::Entry ? EntryRole : RunnerRole},
        {"leaving", report.stage == InstanceStage::Leaving},
        {"store", report.store == StoreReachability::Reached},
        {"dc", report.dataCentre.value()},
        {"address", report.address.value()},
        {"state", report.stateVersion.value()},
        {"servers", report.serversRevision.value()},
        {"runners", report.runnersHash},
        {"inflight", encodeLoad(report.inFlight)},
        {"instances", report.knownInstances},
        {"summaries", report.wantsSummaries},
        {"tokens", report.waitingTokens},
    };
    if (report.statesObservedRunners)
        object["heard"] = std::move(observed);
    return json::serialize(object);
}

Result<PeerReport> decodePeerReport(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &object = value.as_object();
    auto const string = [&](char const *key) { return std::string(object.at(key).as_string()); };
    auto const number = [&](char const *key) { return object.at(key).to_number<std::uint64_t>(); };
    PeerReport report{
        .sender = InstanceId(string("sender")),
        .startedAt = object.at("started").to_number<std::int64_t>(),
        .number = number("number"),
        .nextWithin = std::chrono::milliseconds(number("next")),
        .role = object.at("role").as_string() == RunnerRole ? InstanceRole::Runner : InstanceRole::Entry,
        .stage = object.at("leaving").as_bool() ? InstanceStage::Leaving : InstanceStage::Serving,
        .store = reachabilityOf(object.at("store")),
        .dataCentre = DataCentreId(string("dc")),
        .address = Address(string("address")),
        .stateVersion = StateVersion(number("state")),
        .serversRevision = StoreRevision(number("servers")),
        .runnersHash = number("runners"),
        .inFlight = decodeLoad(object.at("inflight")),
        .knownInstances = object.contains("instances") ? number("instances") : 0,
        .wantsSummaries = object.contains("summaries") && object.at("summaries").as_bool(),
        .waitingTokens = number("tokens"),
    };
    report.statesObservedRunners = object.contains("heard");
    if (!report.statesObservedRunners)
        return report;
    for (auto const &entry : object.at("heard").as_array()) {
        auto const &fields = entry.as_array();
        ObservedRunner runner{.id = InstanceId(std::string(fields.at(0).as_string())), .store = reachabilityOf(fields.at(1))};
        // Instances of earlier versions send only the first two or four fields.
        if (fields.size() >= 4) {
            runner.address = Address(std::string(fields.at(2).as_string()));
            runner.waitingTokens = fields.at(3).to_number<std::uint64_t>();
        }
        if (fields.size() >= 5)
            runner.startedAt = fields.at(4).to_number<std::int64_t>();
        report.observedRunners.push_back(std::move(runner));
    }
    return report;
} catch (std::exception const &exception) {
    return failure(ServingError::BadPeerMessage, exception.what());
}

} // namespace Anvilyard::Serving
