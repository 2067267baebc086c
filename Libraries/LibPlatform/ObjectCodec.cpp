#include "LibPlatform/ObjectCodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>

namespace Anvilyard::Platform {

namespace json = boost::json;

namespace {

constexpr std::string_view ApiVersion = "anvilyard.io/v1";

std::string quoted(std::string_view text)
{
    return json::serialize(json::value(json::string_view(text.data(), text.size())));
}

std::string encodeMetadata(std::string_view name, std::string_view version)
{
    std::string text = R"("metadata":{"name":)" + quoted(name);
    if (!version.empty())
        text += R"(,"resourceVersion":)" + quoted(version);
    return text + "}";
}

Result<json::value> parse(std::string_view text)
{
    boost::system::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error)
        return failure(PlatformError::MalformedResponse, "not JSON: " + error.message());
    return value;
}

json::value const *member(json::value const &value, std::string_view name)
{
    auto const *const object = value.if_object();
    return object == nullptr ? nullptr : object->if_contains(json::string_view(name.data(), name.size()));
}

std::string stringMember(json::value const &value, std::string_view name)
{
    auto const *const found = member(value, name);
    auto const *const text = found == nullptr ? nullptr : found->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

Result<Object> toObject(json::value const &value)
{
    auto const *const metadata = member(value, "metadata");
    auto const *const spec = member(value, "spec");
    if (metadata == nullptr || spec == nullptr)
        return failure(PlatformError::MalformedResponse, "object without metadata or spec");
    Object object{
        .name = ObjectName(stringMember(*metadata, "name")),
        .version = ResourceVersion(stringMember(*metadata, "resourceVersion")),
        .spec = json::serialize(*spec),
    };
    if (object.name.value().empty())
        return failure(PlatformError::MalformedResponse, "object without a name");
    return object;
}

std::string_view nameOf(WatchChange change)
{
    switch (change) {
    case WatchChange::Added:
        return "ADDED";
    case WatchChange::Modified:
        return "MODIFIED";
    case WatchChange::Deleted:
        return "DELETED";
    }
    return "";
}

std::optional<WatchChange> changeOf(std::string_view name)
{
    for (auto const change : {WatchChange::Added, WatchChange::Modified, WatchChange::Deleted}) {
        if (nameOf(change) == name)
            return change;
    }
    return std::nullopt;
}

} // namespace

std::string collectionTarget(Kind const &kind)
{
    return std::string(ObjectGroupPath) + kind.value();
}

std::string objectTarget(Kind const &kind, ObjectName const &name)
{
    return collectionTarget(kind) + "/" + boost::urls::encode(name.value(), boost::urls::pchars);
}

std::string encodeObject(Kind const &kind, Object const &object)
{
    return R"({"apiVersion":)" + quoted(ApiVersion) + R"(,"kind":)" + quoted(kind.value()) + ","
        + encodeMetadata(object.name.value(), object.version.value()) + R"(,"spec":)" + object.spec + "}";
}

Result<Object> decodeObject(std::string_view text)
{
    auto const value = parse(text);
    if (!value)
        return tl::unexpected(value.error());
    return toObject(*value);
}

std::string encodeList(Kind const &kind, ObjectList const &list)
{
    std::string text = R"({"apiVersion":)" + quoted(ApiVersion) + R"(,"kind":"List","metadata":{"resourceVersion":)"
        + quoted(list.version.value()) + R"(,"continue":)" + quoted(list.continueToken) + R"(},"items":[)";
    std::string_view separator;
    for (auto const &object : list.objects) {
        text += separator;
        text += encodeObject(kind, object);
        separator = ",";
    }
    return text + "]}";
}

Result<ObjectList> decodeList(std::string_view text)
{
    auto const value = parse(text);
    if (!value)
        return tl::unexpected(value.error());
    auto const *const metadata = member(*value, "metadata");
    auto const *const items = member(*value, "items");
    if (metadata == nullptr || items == nullptr || !items->is_array())
        return failure(PlatformError::MalformedResponse, "list without metadata or items");
    ObjectList list{
        .version = ResourceVersion(stringMember(*metadata, "resourceVersion")),
        .continueToken = stringMember(*metadata, "continue"),
    };
    for (auto const &item : items->get_array()) {
        auto object = toObject(item);
        if (!object)
            return tl::unexpected(object.error());
        list.objects.push_back(std::move(*object));
    }
    return list;
}

std::string encodeWatchLine(Kind const &kind, WatchLine const &line)
{
    switch (line.type) {
    case WatchLine::Type::Bookmark:
        return R"({"type":"BOOKMARK","object":{"metadata":{"resourceVersion":)" + quoted(line.object.version.value()) + "}}}\n";
    case WatchLine::Type::Error:
        return R"({"type":"ERROR","object":)" + encodeStatus(line.errorStatus, "Expired", "the version is too old") + "}\n";
    case WatchLine::Type::Change:
        break;
    }
    return R"({"type":)" + quoted(nameOf(line.change)) + R"(,"object":)" + encodeObject(kind, line.object) + "}\n";
}

Result<WatchLine> decodeWatchLine(std::string_view text)
{
    auto const value = parse(text);
    if (!value)
        return tl::unexpected(value.error());
    auto const type = stringMember(*value, "type");
    auto const *const content = member(*value, "object");
    if (content == nullptr)
        return failure(PlatformError::MalformedResponse, "watch line without an object");
    if (type == "BOOKMARK") {
        auto const *const metadata = member(*content, "metadata");
        auto version = metadata == nullptr ? std::string() : stringMember(*metadata, "resourceVersion");
        return WatchLine{.type = WatchLine::Type::Bookmark, .object = {.version = ResourceVersion(std::move(version))}};
    }
    if (type == "ERROR") {
        auto const *const code = member(*content, "code");
        auto const *const number = code == nullptr ? nullptr : code->if_int64();
        return WatchLine{.type = WatchLine::Type::Error, .errorStatus = number == nullptr ? 0 : static_cast<int>(*number)};
    }
    auto const change = changeOf(type);
    if (!change)
        return failure(PlatformError::MalformedResponse, "watch line of unknown type " + type);
    auto object = toObject(*content);
    if (!object)
        return tl::unexpected(object.error());
    return WatchLine{.change = *change, .object = std::move(*object)};
}

std::string encodeStatus(int code, std::string_view reason, std::string_view message)
{
    return R"({"apiVersion":"v1","kind":"Status","status":"Failure","code":)" + std::to_string(code) + R"(,"reason":)" + quoted(reason)
        + R"(,"message":)" + quoted(message) + "}";
}

} // namespace Anvilyard::Platform
