#pragma once

#include "LibRouting/RateLimiter.h"
#include "LibServing/ServerLimit.h"
#include "LibServing/Urgency.h"

#include <map>

namespace Anvilyard::Serving {

/// Whether one request may be sent to a limited server.
struct Permit {
    bool isGranted = true;
    /// Time until a permit of the same urgency is expected, if it is not granted.
    Duration wait{0};
};

struct PermitRequest {
    ServerProcess server;
    RequestRate rate;
    Urgency urgency = Urgency::Highest;
};

struct PermitIssuerOptions {
    /// While nobody requests permits, those of this time at the server's rate are saved up.
    Duration savedTime = 1s;
    /// Number of permits that may be saved up even if that is more than those of `savedTime`.
    double minSaved = 2;
    /// Rate of permits for a server that takes less. Without any request nothing would show that its limit has ended.
    RequestRate minRate{0.2};
    /// A server without requests for permits is forgotten after this time.
    Duration idleTime = 1min;
};

/// Issues the permits for requests to limited servers, at the rates that these take from all instances together. One instance issues those
/// for a server, so that the sum holds however unevenly instances need them. It starts with one permit a server, as another one may have
/// issued the saved ones just before. Performs no I/O.
class PermitIssuer
{
public:
    explicit PermitIssuer(PermitIssuerOptions options = {});

    [[nodiscard]] Permit request(PermitRequest const &request, Instant now);
    [[nodiscard]] std::size_t serverCount() const;

private:
    struct Server {
        std::int64_t startedAt = 0;
        Routing::RateLimiter permits;
        Instant usedAt;
    };

    /// Permits that requests leave to more urgent ones. The least urgent get one only if no more can be saved.
    [[nodiscard]] static double reserveFor(Urgency urgency, double saved);
    void removeIdle(Instant now);

    PermitIssuerOptions options_;
    std::map<ServerId, Server> servers_;
};

} // namespace Anvilyard::Serving
