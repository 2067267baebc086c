#pragma once

#include "LibRules/RuleFault.h"
#include "LibRules/RuleSet.h"

#include <vector>

namespace Anvilyard::Rules {

/// Whether all lines of a rules file could be parsed.
enum class ParsedLines {
    All,
    Some,
};

/// Checks that the rules of a file are consistent: no duplicates, no references to undefined names, and every service has a
/// route with a weight above 0. If some lines could not be parsed, the names that they define are missing, so undefined names are not
/// reported.
std::vector<RuleFault> checkRules(RuleSet const &rules, ParsedLines parsedLines);

} // namespace Anvilyard::Rules
