#pragma once

#include "LibFleet/FleetNode.h"

#include <cstddef>
#include <string>

namespace Anvilyard::Agent {

enum class PlatformReachability {
    NotQueried,
    Available,
    Unavailable,
};

/// Returns the JSON document of /status. It includes the generation in force here and the last one reported by each known
/// instance.
std::string describeStatus(Fleet::FleetNode const &node, PlatformReachability platform, std::size_t followers);

} // namespace Anvilyard::Agent
