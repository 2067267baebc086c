#pragma once

#include "LibCore/StrongType.h"

#include <set>
#include <string>

namespace Anvilyard::Serving {

/// Version of a server's software, not of the weights that it has loaded. Versions have no order.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
using SoftwareVersions = std::set<SoftwareVersion>;

} // namespace Anvilyard::Serving
