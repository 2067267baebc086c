#pragma once

#include "LibCore/Time.h"
#include "LibServing/ServerProcess.h"

#include <optional>

namespace Anvilyard::Serving {

/// Requests a second.
using RequestRate = StrongType<struct RequestRateTag, double>;

/// What a response of a server states about the server's limit.
struct StatedLimit {
    enum class Kind {
        /// The server takes requests without a limit.
        Unlimited,
        Limited,
        /// The response may not be the server's, or not show whether the server has a limit. It changes nothing.
        NotStated,
        /// The statement is not a rate. It changes nothing.
        Unreadable,
    } kind = Kind::NotStated;
    /// Limited: what the server takes from all instances together.
    RequestRate rate{0};
};

/// Limit of a server process as last stated.
struct ServerLimit {
    ServerProcess server;
    /// What the process takes from all instances together; unset once it takes requests without a limit again.
    std::optional<RequestRate> rate;
    /// When the response with the statement arrived at the first instance that received it.
    Instant statedAt;
};

} // namespace Anvilyard::Serving
