#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace Anvilyard::Platform {

struct WatchPacingOptions {
    /// Pause after changes that are not in quick succession.
    Duration minPause = 60ms;
    /// Upper limit of the pause; well below the two seconds within which a change must be in force.
    Duration maxPause = 400ms;
    /// Changes that are at least this far apart are not in quick succession.
    Duration quietPeriod = 1s;
};

/// Determines the pause between the return of a watch with changes and the next watch call. Limits the calls when hundreds of
/// servers register within seconds while as many instances watch them, since each return costs a call of the store. Performs no I/O and
/// reads no clock.
class WatchPacing
{
public:
    explicit WatchPacing(WatchPacingOptions options);

    /// Records that the watch returned with changes. Returns the pause, which doubles while changes follow in quick succession.
    [[nodiscard]] Duration onChanges(Instant now);

private:
    WatchPacingOptions options_;
    Duration pause_;
    std::optional<Instant> lastChangeAt_;
};

} // namespace Anvilyard::Platform
