#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <vector>

namespace Anvilyard::Load {

/// Exact quantiles of all recorded durations.
class Quantiles
{
public:
    void record(Duration duration);
    /// Returns the quantile (0 to 1) in milliseconds, or 0 without samples.
    [[nodiscard]] double at(double quantile) const;
    [[nodiscard]] std::size_t count() const;

private:
    mutable std::vector<double> milliseconds_;
    mutable bool isSorted_ = true;
};

} // namespace Anvilyard::Load
