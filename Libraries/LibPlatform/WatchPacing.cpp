#include "LibPlatform/WatchPacing.h"

#include <algorithm>

namespace Anvilyard::Platform {

WatchPacing::WatchPacing(WatchPacingOptions options)
    : options_(options)
    , pause_(options.shortest)
{
}

Duration WatchPacing::onChanges(Instant now)
{
    bool const isQuick = lastAt_ && now - *lastAt_ < options_.calm;
    lastAt_ = now;
    pause_ = isQuick ? std::min(pause_ * 2, options_.longest) : options_.shortest;
    return pause_;
}

} // namespace Anvilyard::Platform
