#include "LibPlatform/WatchPacing.h"

#include <algorithm>

namespace Anvilyard::Platform {

WatchPacing::WatchPacing(WatchPacingOptions options)
    : options_(options)
    , pause_(options.minPause)
{
}

Duration WatchPacing::onChanges(Instant now)
{
    bool const isQuick = lastChangeAt_ && now - *lastChangeAt_ < options_.quietPeriod;
    lastChangeAt_ = now;
    pause_ = isQuick ? std::min(pause_ * 2, options_.maxPause) : options_.minPause;
    return pause_;
}

} // namespace Anvilyard::Platform
