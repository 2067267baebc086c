#pragma once

#include <optional>

namespace Anvilyard::Serving {

/// What a response of a server states about the server's load.
struct StatedLoad {
    double running = 0;
    double waiting = 0;
    double slots = 0;
    /// Time that work takes there now, as a multiple of the usual time; unset if not stated.
    std::optional<double> slowness;
};

} // namespace Anvilyard::Serving
