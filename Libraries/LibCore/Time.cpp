#include "LibCore/Time.h"

#include <ctime>

namespace Anvilyard {

Instant readLocalClock()
{
    return std::chrono::time_point_cast<Instant::duration>(std::chrono::steady_clock::now());
}

Instant readBootClock()
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

CurrentTime readClocks()
{
    return CurrentTime{
        .local = readLocalClock(),
        .wall = std::chrono::time_point_cast<WallInstant::duration>(std::chrono::system_clock::now()),
    };
}

} // namespace Anvilyard
