#pragma once

#include "LibCore/Result.h"
#include "LibCore/StrongType.h"
#include "LibPlatform/PlatformError.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Platform {

/// Opaque version of an object, compared for equality only.
using ResourceVersion = StrongType<struct ResourceVersionTag, std::string>;
/// Plural lower-case kind, as in a path: "rulesets", "jobs", "jobchunks", "jobinputs", "jobresults", "leases", "intents".
using Kind = StrongType<struct KindTag, std::string>;
using ObjectName = StrongType<struct ObjectNameTag, std::string>;

/// An object of one of the system's own kinds. `spec` is its JSON text; parsers of each kind live with their library.
struct Object {
    ObjectName name;
    ResourceVersion version;
    std::string spec;
    /// JSON text of what is reported about the object, apart from its spec; empty where the store has none.
    std::string status = {};
};

struct ObjectList {
    std::vector<Object> objects;
    ResourceVersion version;
    /// Not empty when there is more; pass it to the next call.
    std::string continueToken;
};

struct ListOptions {
    /// Only names that start with this; empty lists all of the kind.
    std::string namePrefix;
    std::size_t limit = 500;
    std::string continueToken;
};

enum class WatchChange {
    Added,
    Modified,
    Deleted,
};

struct WatchHandlers {
    std::function<void(WatchChange, Object)> onChange;
    /// All changes up to this version were told. Optional; stores tell it as often as it costs them nothing.
    std::function<void(ResourceVersion)> onProgress = {};
    /// The watch ended; VersionTooOld asks for a new list.
    std::function<void(Error)> onEnd;
};

class Watch
{
public:
    virtual ~Watch() = default;
};

/// In what order calls are served when the process's budget is short.
enum class CallClass {
    Lease,
    Acknowledge,
    Commit,
    Read,
};

template<typename Value>
using Reply = std::function<void(Result<Value>)>;

/// The platform's Object API as the rest sees it. Replies come on the owner's loop thread, never from within the call.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void create(CallClass callClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply) = 0;
    virtual void get(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply) = 0;
    /// Replaces the object if it still has `object.version`.
    virtual void update(CallClass callClass, Kind kind, Object object, Reply<Object> reply) = 0;
    /// Removes the object if it still has this version; an empty version removes any.
    virtual void remove(CallClass callClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply) = 0;
    virtual void list(CallClass callClass, Kind kind, ListOptions options, Reply<ObjectList> reply) = 0;
    /// Follows changes after a version until the returned watch is dropped.
    [[nodiscard]] virtual std::unique_ptr<Watch> watch(Kind kind, ResourceVersion from, WatchHandlers handlers) = 0;
};

/// Stores that keep what is reported about an object apart from its spec.
class StatusStore
{
public:
    virtual ~StatusStore() = default;
    /// Replaces the status of an object, whatever version it has. `status` is JSON text.
    virtual void replaceStatus(CallClass callClass, Kind kind, ObjectName name, std::string status, Reply<Object> reply) = 0;
};

} // namespace Anvilyard::Platform
