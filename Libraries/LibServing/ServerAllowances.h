#pragma once

#include "LibServing/ServerDirectory.h"
#include "LibServing/ServerLimitTable.h"
#include "LibServing/Urgency.h"

#include <array>
#include <map>
#include <optional>

namespace Anvilyard::Serving {

/// What an instance may send to a limited server.
struct ServerAllowance {
    RequestRate rate;
    /// No permit is to be had before this time; unset if there may be one.
    std::optional<Instant> exhaustedUntil;
};

[[nodiscard]] ServerProcess processOf(ServerRecord const &server);

/// Limits of servers, and which of them have no permits for a while. Performs no I/O.
class ServerAllowances
{
public:
    ServerLimitTable &limits();
    [[nodiscard]] ServerLimitTable const &limits() const;

    /// Records that a permit was not granted, which holds for less urgent requests as well.
    void onDenied(ServerProcess const &server, Urgency urgency, Instant until);
    /// `std::nullopt` if the server has no limit.
    [[nodiscard]] std::optional<ServerAllowance> find(ServerRecord const &server, Urgency urgency, Instant now) const;

private:
    /// Holds for one limit. After another statement of the server there may be permits at once.
    struct Exhaustion {
        ServerProcess server;
        std::optional<RequestRate> rate;
        std::array<Instant, UrgencyCount> until{};
    };

    ServerLimitTable limits_{ServerLimitTableOptions{}};
    std::map<ServerId, Exhaustion> exhausted_;
};

} // namespace Anvilyard::Serving
