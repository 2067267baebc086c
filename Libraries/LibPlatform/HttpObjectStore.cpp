#include "LibPlatform/HttpObjectStore.h"

#include "LibPlatform/HttpWatch.h"
#include "LibPlatform/ObjectCodec.h"
#include "LibPlatform/PlatformConnection.h"
#include "LibPlatform/ResponseMapping.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace Anvilyard::Platform {

namespace {

std::string parameter(std::string_view name, std::string_view value)
{
    return std::string(name) + "=" + boost::urls::encode(value, boost::urls::unreserved_chars);
}

std::string listTarget(Kind const &kind, ListOptions const &options)
{
    auto target = collectionTarget(kind) + "?" + parameter("limit", std::to_string(options.limit));
    if (!options.namePrefix.empty())
        target += "&" + parameter("namePrefix", options.namePrefix);
    if (!options.continueToken.empty())
        target += "&" + parameter("continue", options.continueToken);
    return target;
}

/// Maps a response that cannot be decoded to OutcomeUnknown for a change, since the change may have taken effect.
template<typename Value>
Result<Value> mapDecodeError(CallVerb verb, Result<Value> decoded)
{
    if (decoded || verb == CallVerb::Read)
        return decoded;
    return failure(PlatformError::OutcomeUnknown, decoded.error().toString());
}

class BeastObjectStore final : public HttpObjectStore
{
public:
    explicit BeastObjectStore(HttpObjectStoreOptions const &options)
        : options_(options)
        , connection_(PlatformConnection::create(options.loop, options.platform, options.callTimeout))
    {
    }

    void create(CallClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply) override
    {
        auto body = encodeObject(kind, {.name = std::move(name), .spec = std::move(spec)});
        exchangeObject(CallVerb::Create, {.method = "POST", .target = collectionTarget(kind), .body = std::move(body)}, std::move(reply));
    }

    void get(CallClass, Kind kind, ObjectName name, Reply<Object> reply) override
    {
        exchangeObject(CallVerb::Read, {.method = "GET", .target = objectTarget(kind, name)}, std::move(reply));
    }

    void update(CallClass, Kind kind, Object object, Reply<Object> reply) override
    {
        auto target = objectTarget(kind, object.name);
        exchangeObject(
            CallVerb::Update, {.method = "PUT", .target = std::move(target), .body = encodeObject(kind, object)}, std::move(reply));
    }

    void remove(CallClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply) override
    {
        auto target = objectTarget(kind, name);
        if (!version.value().empty())
            target += "?" + parameter("resourceVersion", version.value());
        connection_->call(CallVerb::Remove, {.method = "DELETE", .target = std::move(target)}, [reply = std::move(reply)](auto response) {
            if (!response)
                return reply(tl::unexpected(std::move(response.error())));
            reply(std::monostate{});
        });
    }

    void list(CallClass, Kind kind, ListOptions options, Reply<ObjectList> reply) override
    {
        connection_->call(
            CallVerb::Read, {.method = "GET", .target = listTarget(kind, options)}, [reply = std::move(reply)](auto response) {
                if (!response)
                    return reply(tl::unexpected(std::move(response.error())));
                reply(decodeList(response->body));
            });
    }

    std::unique_ptr<Watch> watch(Kind kind, ResourceVersion from, WatchHandlers handlers) override
    {
        return HttpWatch::create({
            .loop = options_.loop,
            .client = connection_->client(),
            .platform = options_.platform,
            .kind = std::move(kind),
            .from = std::move(from),
            .idleTimeout = options_.watchIdleTimeout,
            .maxDuration = options_.maxWatchDuration,
            .handlers = std::move(handlers),
        });
    }

private:
    void exchangeObject(CallVerb verb, Http::HttpRequest request, Reply<Object> reply)
    {
        connection_->call(verb, std::move(request), [verb, reply = std::move(reply)](auto response) {
            if (!response)
                return reply(tl::unexpected(std::move(response.error())));
            reply(mapDecodeError(verb, decodeObject(response->body)));
        });
    }

    HttpObjectStoreOptions options_;
    std::unique_ptr<PlatformConnection> connection_;
};

} // namespace

std::unique_ptr<HttpObjectStore> HttpObjectStore::create(HttpObjectStoreOptions options)
{
    return std::make_unique<BeastObjectStore>(options);
}

} // namespace Anvilyard::Platform
