#pragma once

#include "Utilities/Load/BatchJob.h"
#include "Utilities/Load/OnlineLoad.h"

#include <string>

namespace Anvilyard::Load {

/// Returns a JSON object with counts, quantiles and, for plots, the distribution of the times to the first token.
std::string renderReport(OnlineResults const &online, BatchResults const *batch);

} // namespace Anvilyard::Load
