#include "Utilities/Load/Quantiles.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Load {

void Quantiles::record(Duration duration)
{
    milliseconds_.push_back(std::chrono::duration<double, std::milli>(duration).count());
    isSorted_ = false;
}

double Quantiles::at(double quantile) const
{
    if (milliseconds_.empty())
        return 0;
    if (!isSorted_)
        std::sort(milliseconds_.begin(), milliseconds_.end());
    isSorted_ = true;
    // Nearest-rank method: the smallest sample such that at least the requested share of samples is not above it.
    auto const rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(milliseconds_.size())));
    return milliseconds_[std::clamp<std::size_t>(rank, 1, milliseconds_.size()) - 1];
}

std::size_t Quantiles::count() const
{
    return milliseconds_.size();
}

} // namespace Anvilyard::Load
