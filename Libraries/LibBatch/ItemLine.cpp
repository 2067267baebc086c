#include "LibBatch/ItemLine.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Anvilyard::Batch {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 2> ModelUrls = {"/v1/chat/completions", "/v1/completions"};
constexpr std::string_view ServicePrefix = "/services/";

std::string const *readTextField(json::object const &object, std::string_view key, std::string &store)
{
    auto const *value = object.if_contains({key.data(), key.size()});
    if (!value || !value->is_string() || value->get_string().empty())
        return nullptr;
    store = std::string(value->get_string());
    return &store;
}

/// Returns whether the text is a path that can be copied into a request line, i.e. has no character that could end that line.
bool isValidPath(std::string_view url)
{
    return url.starts_with('/') && std::all_of(url.begin(), url.end(), [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

/// Returns the service that a line's url or body names, or an empty string.
std::string serviceOf(std::string const &url, json::value const &body)
{
    if (url.starts_with(ServicePrefix)) {
        auto const rest = std::string_view(url).substr(ServicePrefix.size());
        return std::string(rest.substr(0, rest.find_first_of("/?")));
    }
    if (std::find(ModelUrls.begin(), ModelUrls.end(), url) == ModelUrls.end() || !body.is_object())
        return {};
    std::string model;
    readTextField(body.get_object(), "model", model);
    return model;
}

tl::expected<Repeat, std::string> readRepeat(json::object const &object)
{
    auto const *value = object.if_contains("repeat");
    if (!value)
        return Repeat::Allowed;
    if (value->is_string() && value->get_string() == "never")
        return Repeat::Never;
    return tl::unexpected(std::string("\"repeat\" may only be \"never\""));
}

} // namespace

tl::expected<ItemSpec, std::string> parseItemLine(std::string_view line)
{
    boost::system::error_code error;
    auto const value = json::parse({line.data(), line.size()}, error);
    if (error || !value.is_object())
        return tl::unexpected(std::string("not a JSON object"));
    auto const &object = value.get_object();
    ItemSpec item;
    if (!readTextField(object, "custom_id", item.customId))
        return tl::unexpected(std::string("\"custom_id\" is missing or not a text"));
    std::string method = "POST";
    if (object.contains("method") && (!readTextField(object, "method", method) || method != "POST"))
        return tl::unexpected(std::string("\"method\" must be POST"));
    if (!readTextField(object, "url", item.url) || !isValidPath(item.url))
        return tl::unexpected(std::string("\"url\" is missing or not a path"));
    auto const *body = object.if_contains("body");
    if (!body || !body->is_object())
        return tl::unexpected(std::string("\"body\" is missing or not an object"));
    item.service = ServiceName(serviceOf(item.url, *body));
    if (item.service.value().empty())
        return tl::unexpected(std::string("\"url\" is not served or \"body\" names no model"));
    auto const repeat = readRepeat(object);
    if (!repeat)
        return tl::unexpected(repeat.error());
    item.repeat = *repeat;
    item.body = json::serialize(*body);
    return item;
}

std::string formatResponseLine(std::string const &lineId, std::string const &customId, ItemResponse const &response)
{
    boost::system::error_code error;
    auto body = json::parse(response.body, error);
    if (error)
        body = json::string(response.body);
    return json::serialize(json::object{
        {"id", lineId},
        {"custom_id", customId},
        {"response", {{"status_code", response.status}, {"request_id", response.requestId}, {"body", std::move(body)}}},
        {"error", nullptr},
    });
}

std::string formatErrorLine(std::string const &lineId, std::string const &customId, std::string_view code, std::string_view message)
{
    return json::serialize(json::object{
        {"id", lineId},
        {"custom_id", customId},
        {"response", nullptr},
        {"error", {{"code", json::string_view(code.data(), code.size())}, {"message", json::string_view(message.data(), message.size())}}},
    });
}

} // namespace Anvilyard::Batch
