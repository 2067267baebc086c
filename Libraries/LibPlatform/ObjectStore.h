#pragma once

#include "LibCore/Result.h"
#include "LibCore/StrongType.h"
#include "LibPlatform/PlatformError.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilyard::Platform {

/// Opaque version of an object. May only be compared for equality.
using ResourceVersion = StrongType<struct ResourceVersionTag, std::string>;
/// Kind of object in plural and lower case, as in a path: "rulesets", "jobs", "jobchunks", "jobinputs", "jobresults", "leases", "intents".
using Kind = StrongType<struct KindTag, std::string>;
using ObjectName = StrongType<struct ObjectNameTag, std::string>;

/// An object of one of Anvilyard's own kinds. `spec` is JSON text, which the library of the kind parses.
struct Object {
    ObjectName name;
    ResourceVersion version;
    std::string spec;
    /// JSON text of the reported status; empty if the store has none.
    std::string status = {};
};

struct ObjectList {
    std::vector<Object> objects;
    ResourceVersion version;
    /// Token to pass to the next call; empty if the list is complete.
    std::string continueToken;
};

/// How current a list has to be.
enum class ListConsistency {
    Latest,
    /// The list may be seconds old. Platforms charge less for it.
    MayBeStale,
};

struct ListOptions {
    /// Lists only names with this prefix; empty for all objects of the kind.
    std::string namePrefix;
    std::size_t limit = 500;
    std::string continueToken;
    ListConsistency consistency = ListConsistency::Latest;
};

enum class WatchChange {
    Added,
    Modified,
    Deleted,
};

struct WatchHandlers {
    std::function<void(WatchChange, Object)> onChange;
    /// All changes up to this version have been reported. Optional; stores call it whenever that needs no extra call.
    std::function<void(ResourceVersion)> onProgress = {};
    /// The watch ended. After VersionTooOld the objects must be listed again.
    std::function<void(Error)> onEnd;
    /// Returns how long the platform may hold a call without a change; `std::nullopt` for the store's default. Optional, for stores that
    /// watch by such calls; asked before each.
    std::function<std::optional<std::chrono::milliseconds>()> holdTime = {};
};

class Watch
{
public:
    virtual ~Watch() = default;
};

/// Class of a call, in descending order of priority when the process's budget is exhausted.
enum class CallClass {
    Lease,
    Acknowledge,
    Commit,
    Read,
};

template<typename Value>
using Reply = std::function<void(Result<Value>)>;

/// The platform's Object API. Replies are called on the thread of the owner's loop, never from within the call.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void create(CallClass callClass, Kind kind, ObjectName name, std::string spec, Reply<Object> reply) = 0;
    virtual void get(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply) = 0;
    /// Like get(), but the object may be seconds old, and one that was created since is not found. Platforms charge less for it. Stores
    /// without such a call read the latest object.
    virtual void getStale(CallClass callClass, Kind kind, ObjectName name, Reply<Object> reply)
    {
        get(callClass, std::move(kind), std::move(name), std::move(reply));
    }
    /// Replaces the object if it still has `object.version`.
    virtual void update(CallClass callClass, Kind kind, Object object, Reply<Object> reply) = 0;
    /// Removes the object if it still has this version. An empty version removes it unconditionally.
    virtual void remove(CallClass callClass, Kind kind, ObjectName name, ResourceVersion version, Reply<std::monostate> reply) = 0;
    virtual void list(CallClass callClass, Kind kind, ListOptions options, Reply<ObjectList> reply) = 0;
    /// Reports changes after a version until the returned watch is destroyed.
    [[nodiscard]] virtual std::unique_ptr<Watch> watch(Kind kind, ResourceVersion from, WatchHandlers handlers) = 0;
};

/// A store that keeps the status of an object separate from its spec.
class StatusStore
{
public:
    virtual ~StatusStore() = default;
    /// Replaces the status of an object regardless of its version. `status` is JSON text.
    virtual void replaceStatus(CallClass callClass, Kind kind, ObjectName name, std::string status, Reply<Object> reply) = 0;
};

} // namespace Anvilyard::Platform
