#pragma once

#include "LibObserve/Metrics.h"
#include "LibPlatform/ObjectStore.h"

namespace Anvilyard::Platform {

/// Counts the calls of a store by kind of object, call and outcome, as `anvilyard_store_calls_total`. A watch counts each time it
/// reports its progress, and once at its end.
class MeteredStore final
    : public ObjectStore
    , public StatusStore
{
public:
    /// All arguments must outlive this object.
    MeteredStore(ObjectStore &store, StatusStore &statuses, Observe::MetricsRegistry &metrics);

    void create(CallClass callClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply) override;
    void get(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply) override;
    void getStale(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply) override;
    void update(CallClass callClass, Kind kind, Object object, Reply<Object> reply) override;
    void remove(CallClass callClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply) override;
    void list(CallClass callClass, Kind kind, ListOptions options, Reply<ObjectList> reply) override;
    std::unique_ptr<Watch> watch(Kind kind, ResourceVersion from, WatchHandlers handlers) override;
    void replaceStatus(CallClass callClass, Kind kind, ObjectName name, std::string status, Reply<Object> reply) override;

private:
    template<typename Value>
    Reply<Value> countingReply(Kind const &kind, char const *call, Reply<Value> reply);
    void count(Kind const &kind, char const *call, std::error_code const &outcome);

    ObjectStore &store_;
    StatusStore &statuses_;
    Observe::MetricsRegistry &metrics_;
};

} // namespace Anvilyard::Platform
