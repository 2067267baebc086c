#pragma once

#include "LibCore/Random.h"
#include "LibRouting/RateLimiter.h"
#include "LibServing/ServerLimit.h"
#include "LibServing/Urgency.h"

#include <functional>
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
    /// Returns the number of permits that are there when the first one is requested, or the first one again after `idleTime`. One by
    /// default, as another instance may have issued the saved ones just before.
    std::function<double(RequestRate)> firstPermits = [](RequestRate) { return 1.0; };
};

/// Issues the permits for requests to limited servers, at the rates that these take from all instances together. One instance issues those
/// for a server, so that the sum holds however unevenly instances need them. Performs no I/O.
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

    [[nodiscard]] double capacityFor(RequestRate rate) const;
    /// Permits that requests leave to more urgent ones. The least urgent get one only if no more can be saved.
    [[nodiscard]] static double reserveFor(Urgency urgency, double capacity);
    [[nodiscard]] bool isIdle(Server const &server, Instant now) const;
    void removeIdle(Instant now);

    PermitIssuerOptions options_;
    std::map<ServerId, Server> servers_;
};

/// Options of an instance that uses its equal share of a limit while no other one issues permits. Rates are those of the share. Hundreds of
/// instances begin to do so at the same moment, and each may be about to send a request, so their first permits are spread over the time in
/// which a share yields one.
[[nodiscard]] PermitIssuerOptions makeShareOptions(RandomSource &random);

} // namespace Anvilyard::Serving
