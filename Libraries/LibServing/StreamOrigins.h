#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibServing/SoftwareVersion.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// Where a stream began. It may go on only there, as texts of two versions do not fit together.
struct StreamOrigin {
    PoolName pool;
    SoftwareVersion version;

    bool operator==(StreamOrigin const &) const = default;
};

struct StreamOriginsOptions {
    /// Callers take a stream up within their deadline, some seconds after it began.
    Duration retention = 30s;
    /// Bounds the memory to some megabytes. The oldest are dropped first.
    std::size_t maxStreams = 20'000;
};

/// Origins of recent streams, by the caller's attempt that brought the first event. Performs no I/O.
class StreamOrigins
{
public:
    explicit StreamOrigins(StreamOriginsOptions options = {});

    void onBegun(RequestId const &stream, StreamOrigin origin, Instant now);
    [[nodiscard]] std::optional<StreamOrigin> find(RequestId const &stream) const;
    [[nodiscard]] std::size_t size() const;

private:
    StreamOriginsOptions options_;
    std::map<RequestId, StreamOrigin> origins_;
    /// In the order of their beginning.
    std::deque<std::pair<Instant, RequestId>> begun_;
};

/// Encodes the begin of a stream as a datagram of a few hundred bytes.
std::string encodeStreamBegin(RequestId const &stream, StreamOrigin const &origin);
/// Whether a datagram states the begin of a stream.
bool isStreamBegin(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not complete.
Result<std::pair<RequestId, StreamOrigin>> decodeStreamBegin(std::string_view text);

} // namespace Anvilyard::Serving
