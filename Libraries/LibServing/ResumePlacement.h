#pragma once

#include "LibServing/ServerDirectory.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Serving {

/// A stream that may go on only at servers that ran it.
struct ResumeRequest {
    /// These servers, the preferred one first.
    std::vector<ServerId> candidates;
    /// Servers that failed requests lately.
    std::set<ServerId> ejected;
    /// Whether the stream may go on at this software version. A server may have started again with another one.
    std::function<bool(SoftwareVersion const &)> acceptsVersion;
};

/// Returns the first of the candidates that may be used, if possible one that neither leaves nor is ejected; `std::nullopt` if there is
/// none.
[[nodiscard]] std::optional<ServerRecord> findResumeServer(ServerDirectory const &directory, ResumeRequest const &request, Instant now);

} // namespace Anvilyard::Serving
