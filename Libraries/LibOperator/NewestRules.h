#pragma once

#include "LibOperator/RuleSetStore.h"

namespace Anvilyard::Operator {

/// Finds the newest accepted rules. Starts at a generation that is known to exist, or at the oldest. Generations have no gaps, so
/// the number of reads is logarithmic in the number of generations.
Result<std::optional<Rules::AcceptedRules>> findNewest(RuleSetStore &store, std::optional<Generation> knownGeneration = std::nullopt);

} // namespace Anvilyard::Operator
