#include "LibFleet/JobsMark.h"

#include <algorithm>

namespace Anvilyard::Fleet {

namespace {

constexpr Duration RaiseAgainAfter = 1s;

} // namespace

std::uint64_t JobsMark::raise(CurrentTime now)
{
    // Using the wall-clock time makes it unlikely that two instances choose the same number, and keeps the mark increasing
    // across a restart of the complete fleet.
    auto const clock = std::chrono::duration_cast<std::chrono::microseconds>(now.wall.time_since_epoch()).count();
    value_ = std::max(value_ + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(clock, 0)));
    raiseAgainAt_ = now.local + RaiseAgainAfter;
    return value_;
}

bool JobsMark::merge(std::uint64_t theirs)
{
    if (theirs <= value_)
        return false;
    value_ = theirs;
    return true;
}

bool JobsMark::onTick(CurrentTime now)
{
    if (!raiseAgainAt_ || *raiseAgainAt_ > now.local)
        return false;
    raise(now);
    raiseAgainAt_.reset();
    return true;
}

std::uint64_t JobsMark::value() const
{
    return value_;
}

} // namespace Anvilyard::Fleet
