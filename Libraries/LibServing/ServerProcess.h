#pragma once

#include "LibCore/Ids.h"

#include <cstdint>

namespace Anvilyard::Serving {

/// One process of a backend server. A server may start again under its id.
struct ServerProcess {
    ServerId id;
    /// Wall time of the start in milliseconds, as the server states it.
    std::int64_t startedAt = 0;

    auto operator<=>(ServerProcess const &) const = default;
};

} // namespace Anvilyard::Serving
