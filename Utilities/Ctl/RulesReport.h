#pragma once

#include "LibOperator/RuleAcceptance.h"
#include "LibRules/RuleDifference.h"
#include "Utilities/Ctl/Command.h"

namespace Anvilyard::Ctl {

/// Prints the faults of a rules file with the line numbers of the file.
ExitCode reportFaults(Output const &output, std::vector<Rules::RuleFault> const &faults, int leadingLines);

/// Prints the outcome of a proposal.
ExitCode reportAcceptance(Output const &output, Operator::Acceptance const &acceptance, int leadingLines);

boost::json::array toJson(std::vector<Rules::LineChange> const &changes);
std::string toText(std::vector<Rules::LineChange> const &changes);

} // namespace Anvilyard::Ctl
