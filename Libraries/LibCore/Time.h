#pragma once

#include <chrono>

namespace Anvilyard {

/// Monotonic time for deadlines within one process. It is never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/// Wall-clock time for stored and displayed values. The clocks of two instances may differ.
using WallInstant = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;
using Duration = std::chrono::microseconds;

using namespace std::chrono_literals;

/// Readings of both clocks at one moment. Decisions receive it as an argument and never read a clock.
struct CurrentTime {
    Instant local;
    WallInstant wall;
};

/// Reads the system clocks. Only transports and main programs call this.
CurrentTime readClocks();
Instant readLocalClock();
/// Reads a clock that, unlike the local one, also advances while the machine is suspended. Used to detect a suspension.
Instant readBootClock();

} // namespace Anvilyard
