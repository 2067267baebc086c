#pragma once

#include "LibServing/ServerLimit.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace Anvilyard::Serving {

struct ServerLimitTableOptions {
    /// Time for which the end of a limit is retained, so that older statements that instances pass on do not renew the limit.
    Duration endedRetention = 1min;
    /// Time for which a limit is retained that is not stated again. It exceeds the time for which a server may get no requests.
    Duration limitRetention = 10min;
};

/// Limits that servers state in their responses, from the responses to this instance and from other instances. Responses may arrive in
/// another order than they were sent in. Performs no I/O.
class ServerLimitTable
{
public:
    explicit ServerLimitTable(ServerLimitTableOptions options);

    /// Records what a response to a request states that was sent at this time. A response without a limit ends the limit only if the
    /// request was sent after the limit was last stated: otherwise the server may have sent the response before it stated the limit.
    /// Returns whether the limit changed.
    bool onResponse(ServerProcess const &server, StatedLimit const &stated, Instant sentAt, Instant now);
    /// Adds limits that another instance knows. Returns whether any limit changed.
    bool merge(std::span<ServerLimit const> limits, Instant now);

    /// Limit of a server process; `std::nullopt` if none is known. A limit of a later process under the same id counts, too, as
    /// registrations may lag.
    [[nodiscard]] std::optional<RequestRate> find(ServerProcess const &server) const;
    /// All limits, including those that ended recently.
    [[nodiscard]] std::map<ServerId, ServerLimit> const &all() const;
    /// Increases with each change of a limit. Repeated statements of the same limit are no change.
    [[nodiscard]] std::uint64_t version() const;

private:
    bool apply(ServerLimit const &limit);
    void removeOld(Instant now);

    ServerLimitTableOptions options_;
    std::map<ServerId, ServerLimit> limits_;
    std::uint64_t version_ = 0;
};

} // namespace Anvilyard::Serving
