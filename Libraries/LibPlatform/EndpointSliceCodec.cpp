#include "LibPlatform/EndpointSliceCodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <map>
#include <tuple>

namespace Anvilyard::Platform {

namespace json = boost::json;

namespace {

constexpr char const *ServiceLabel = "kubernetes.io/service-name";

/// Splits an address such as "127.0.0.1:80" or "[::1]:80" into host and port.
std::pair<std::string, std::string> split(Address const &address)
{
    auto const &text = address.value();
    auto const colon = text.rfind(':');
    auto host = text.substr(0, colon);
    if (host.starts_with('['))
        host = host.substr(1, host.size() - 2);
    return {host, colon == std::string::npos ? std::string("0") : text.substr(colon + 1)};
}

Address join(std::string const &host, std::int64_t port)
{
    bool const isV6 = host.find(':') != std::string::npos;
    return Address((isV6 ? "[" + host + "]" : host) + ":" + std::to_string(port));
}

EndpointState stateOf(json::object const &endpoint)
{
    auto const *const conditions = endpoint.if_contains("conditions");
    auto const isSet = [&](char const *name, bool missing) {
        auto const *const flag = conditions == nullptr ? nullptr : conditions->as_object().if_contains(name);
        return flag == nullptr || flag->is_null() ? missing : flag->as_bool();
    };
    if (isSet("terminating", false))
        return EndpointState::Terminating;
    // By the EndpointSlice convention, a missing "ready" condition means ready.
    return isSet("ready", true) ? EndpointState::Ready : EndpointState::NotReady;
}

Endpoint toEndpoint(json::object const &endpoint, std::int64_t port)
{
    auto const host = json::value_to<std::string>(endpoint.at("addresses").as_array().at(0));
    Endpoint result{.id = host, .address = join(host, port), .state = stateOf(endpoint)};
    if (auto const *const target = endpoint.if_contains("targetRef"))
        result.id = json::value_to<std::string>(target->as_object().at("name"));
    if (auto const *const zone = endpoint.if_contains("zone"); zone != nullptr && zone->is_string())
        result.dataCentre = DataCentreId(json::value_to<std::string>(*zone));
    return result;
}

json::object toJson(Endpoint const &endpoint)
{
    return {
        {"addresses", json::array{split(endpoint.address).first}},
        {"conditions",
         {{"ready", endpoint.state == EndpointState::Ready},
          {"serving", endpoint.state != EndpointState::NotReady},
          {"terminating", endpoint.state == EndpointState::Terminating}}},
        {"zone", endpoint.dataCentre.value()},
        {"targetRef", {{"kind", "Pod"}, {"name", endpoint.id}}},
    };
}

} // namespace

Result<std::vector<EndpointSet>> decodeEndpointSlices(std::string_view text)
try {
    auto const list = json::parse(json::string_view(text.data(), text.size()));
    std::map<std::string, std::vector<Endpoint>> services;
    for (auto const &slice : list.as_object().at("items").as_array()) {
        auto const &labels = slice.at("metadata").at("labels").as_object();
        auto &endpoints = services[json::value_to<std::string>(labels.at(ServiceLabel))];
        auto const port = slice.at("ports").as_array().at(0).at("port").to_number<std::int64_t>();
        // A service without endpoints may have null in place of an empty list.
        auto const *const listed = slice.at("endpoints").if_array();
        if (listed == nullptr)
            continue;
        for (auto const &endpoint : *listed)
            endpoints.push_back(toEndpoint(endpoint.as_object(), port));
    }
    std::vector<EndpointSet> sets;
    for (auto &[service, endpoints] : services)
        sets.push_back({.service = service, .endpoints = std::move(endpoints)});
    return sets;
} catch (std::exception const &exception) {
    // The checked accessors of Boost.JSON throw, and no exception may leave this library.
    return failure(PlatformError::MalformedResponse, std::string("endpoint slices: ") + exception.what());
}

std::string encodeEndpointSlices(std::vector<EndpointSet> const &sets)
{
    json::array items;
    for (auto const &set : sets) {
        std::map<std::pair<std::string, bool>, json::array> byPort;
        if (set.endpoints.empty())
            byPort.try_emplace({"0", false});
        for (auto const &endpoint : set.endpoints) {
            auto const [host, port] = split(endpoint.address);
            byPort[{port, host.find(':') != std::string::npos}].push_back(toJson(endpoint));
        }
        for (auto &[key, endpoints] : byPort) {
            auto const &[port, isV6] = key;
            items.push_back({
                {"metadata", {{"name", set.service + "-" + port}, {"labels", {{ServiceLabel, set.service}}}}},
                {"addressType", isV6 ? "IPv6" : "IPv4"},
                {"ports", json::array{json::object{{"port", std::stoi(port)}}}},
                {"endpoints", std::move(endpoints)},
            });
        }
    }
    return json::serialize(json::object{
        {"apiVersion", "discovery.k8s.io/v1"},
        {"kind", "EndpointSliceList"},
        {"items", std::move(items)},
    });
}

} // namespace Anvilyard::Platform
