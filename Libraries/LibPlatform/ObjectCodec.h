#pragma once

#include "LibPlatform/ObjectStore.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Platform {

/// API path of the group of Anvilyard's own kinds.
inline constexpr std::string_view ObjectGroupPath = "/apis/anvilyard.io/v1/";

/// Returns the request target of a kind's collection.
std::string collectionTarget(Kind const &kind);
std::string objectTarget(Kind const &kind, ObjectName const &name);

/// Encodes one object as JSON by the Kubernetes conventions. `object.spec` must be JSON text.
std::string encodeObject(Kind const &kind, Object const &object);
Result<Object> decodeObject(std::string_view text);

std::string encodeList(Kind const &kind, ObjectList const &list);
Result<ObjectList> decodeList(std::string_view text);

/// One line of a watch: a change, an error, or a bookmark, which only advances the version.
struct WatchLine {
    enum class Type {
        Change,
        Bookmark,
        Error,
    };
    Type type = Type::Change;
    WatchChange change = WatchChange::Added;
    Object object;
    /// Status code of an error line, for example 410.
    int errorStatus = 0;
};

std::string encodeWatchLine(Kind const &kind, WatchLine const &line);
Result<WatchLine> decodeWatchLine(std::string_view text);

/// Encodes a Kubernetes Status, the body of an error response.
std::string encodeStatus(int code, std::string_view reason, std::string_view message);

} // namespace Anvilyard::Platform
