#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <span>
#include <utility>

namespace Anvilyard::Serving {

/// An instance to which requests can be passed on.
struct RelayHelper {
    InstanceId id;
    /// Address for calls between instances.
    Address address;
};

struct RelayHelperOptions {
    /// Time for which an instance that did not help is left out. A cut ends after some seconds.
    Duration avoidTime = 2s;
};

/// Chooses the instances that send requests to servers in place of this one.
///
/// Load pattern: many instances of a fleet are cut off from all servers at once and pass all their requests on. Each one draws its helpers
/// from all instances, so that the others share the load, and learns from their responses which ones are cut off as well. Performs no I/O.
class RelayHelpers
{
public:
    explicit RelayHelpers(RelayHelperOptions options);

    /// Returns one of the candidates that is not left out for the pool; `std::nullopt` if all are.
    [[nodiscard]] std::optional<RelayHelper>
    choose(PoolName const &pool, std::span<RelayHelper const> candidates, Instant now, RandomSource &random);
    /// Records that an instance could not help with a request for the pool, or did not respond.
    void onUnable(InstanceId const &helper, PoolName const &pool, Instant now);

private:
    RelayHelperOptions options_;
    std::map<std::pair<PoolName, InstanceId>, Instant> avoidedUntil_;
};

} // namespace Anvilyard::Serving
