#include "LibPlatform/MeteredStore.h"

namespace Anvilyard::Platform {

namespace {

/// Returns a short name for a metric label. The full error is in the log.
char const *outcomeName(std::error_code const &code)
{
    if (!code)
        return "ok";
    if (code == PlatformError::AlreadyExists)
        return "exists";
    if (code == PlatformError::Conflict)
        return "conflict";
    if (code == PlatformError::NotFound)
        return "not_found";
    if (code == PlatformError::TooManyCalls)
        return "too_many_calls";
    if (code == PlatformError::Unavailable)
        return "unavailable";
    if (code == PlatformError::OutcomeUnknown)
        return "unknown";
    if (code == PlatformError::VersionTooOld)
        return "version_too_old";
    return "other";
}

} // namespace

MeteredStore::MeteredStore(ObjectStore &store, StatusStore &statuses, Observe::MetricsRegistry &metrics)
    : store_(store)
    , statuses_(statuses)
    , metrics_(metrics)
{
}

void MeteredStore::count(Kind const &kind, char const *call, std::error_code const &outcome)
{
    metrics_
        .counter("anvilyard_store_calls_total",
                 "Calls of the platform's store by kind of object, call and outcome",
                 {{"kind", kind.value()}, {"call", call}, {"outcome", outcomeName(outcome)}})
        .add();
}

template<typename Value>
Reply<Value> MeteredStore::countingReply(Kind const &kind, char const *call, Reply<Value> reply)
{
    return [this, kind, call, reply = std::move(reply)](Result<Value> result) {
        count(kind, call, result ? std::error_code() : result.error().code);
        reply(std::move(result));
    };
}

void MeteredStore::create(CallClass callClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply)
{
    auto counted = countingReply(kind, "create", std::move(reply));
    store_.create(callClass, std::move(kind), std::move(name), std::move(spec), std::move(counted));
}

void MeteredStore::get(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply)
{
    auto counted = countingReply(kind, "get", std::move(reply));
    store_.get(callClass, std::move(kind), std::move(name), std::move(counted));
}

void MeteredStore::getStale(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply)
{
    auto counted = countingReply(kind, "get_stale", std::move(reply));
    store_.getStale(callClass, std::move(kind), std::move(name), std::move(counted));
}

void MeteredStore::update(CallClass callClass, Kind kind, Object object, Reply<Object> reply)
{
    auto counted = countingReply(kind, "update", std::move(reply));
    store_.update(callClass, std::move(kind), std::move(object), std::move(counted));
}

void MeteredStore::remove(CallClass callClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply)
{
    auto counted = countingReply(kind, "remove", std::move(reply));
    store_.remove(callClass, std::move(kind), std::move(name), std::move(version), std::move(counted));
}

void MeteredStore::list(CallClass callClass, Kind kind, ListOptions options, Reply<ObjectList> reply)
{
    auto counted = countingReply(kind, "list", std::move(reply));
    store_.list(callClass, std::move(kind), std::move(options), std::move(counted));
}

std::unique_ptr<Watch> MeteredStore::watch(Kind kind, ResourceVersion from, WatchHandlers handlers)
{
    handlers.onProgress = [this, kind, innerOnProgress = std::move(handlers.onProgress)](ResourceVersion version) {
        count(kind, "watch", {});
        if (innerOnProgress)
            innerOnProgress(std::move(version));
    };
    handlers.onEnd = [this, kind, innerOnEnd = std::move(handlers.onEnd)](Error error) {
        count(kind, "watch", error.code);
        if (innerOnEnd)
            innerOnEnd(std::move(error));
    };
    return store_.watch(std::move(kind), std::move(from), std::move(handlers));
}

void MeteredStore::replaceStatus(CallClass callClass, Kind kind, ObjectName name, std::string status, Reply<Object> reply)
{
    auto counted = countingReply(kind, "status", std::move(reply));
    statuses_.replaceStatus(callClass, std::move(kind), std::move(name), std::move(status), std::move(counted));
}

} // namespace Anvilyard::Platform
