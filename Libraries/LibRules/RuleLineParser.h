#pragma once

#include "LibRules/RuleFault.h"
#include "LibRules/RuleLine.h"
#include "LibRules/RuleSet.h"

#include <vector>

namespace Anvilyard::Rules {

/// Parses one rule and adds it to the set, or returns the line's faults and leaves the set unchanged.
std::vector<RuleFault> parseRuleLine(RuleLine const &line, int number, RuleSet &rules);

} // namespace Anvilyard::Rules
