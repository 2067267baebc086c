#pragma once

#include "LibRules/RuleFault.h"
#include "LibRules/RuleSet.h"

#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Anvilyard::Rules {

/// Maximum size of a rules file; it must fit into one object of the platform including its JSON escapes.
inline constexpr std::size_t MaxRulesFileBytes = 700'000;

/// A valid rule set, or all faults of the file sorted by line.
using ParsedRules = tl::expected<RuleSet, std::vector<RuleFault>>;

/// Parses a complete rules file: one rule per line, each a YAML flow mapping with a trailing comment that names its
/// requester. Blank lines and comment lines are allowed.
ParsedRules parseRules(std::string_view text, Generation generation);

} // namespace Anvilyard::Rules
