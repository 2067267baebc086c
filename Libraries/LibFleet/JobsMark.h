#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <optional>

namespace Anvilyard::Fleet {

/// A number that increases whenever jobs change at any instance; merging takes the higher value. If two instances raise it at
/// about the same time, the higher value can mask the lower one. Each raise is therefore repeated after the other one had
/// time to arrive. Performs no I/O.
class JobsMark
{
public:
    /// Raises the mark above all known values and returns it.
    std::uint64_t raise(CurrentTime now);
    /// Returns whether the mark increased.
    bool merge(std::uint64_t theirs);
    /// Repeats a due raise. Returns whether the mark increased.
    bool onTick(CurrentTime now);
    [[nodiscard]] std::uint64_t value() const;

private:
    std::uint64_t value_ = 0;
    std::optional<Instant> raiseAgainAt_;
};

} // namespace Anvilyard::Fleet
