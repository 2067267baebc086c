#pragma once

#include "LibOperator/PlatformRuleSetStore.h"
#include "LibOperator/RuleAcceptance.h"
#include "Utilities/Ctl/Command.h"

namespace Anvilyard::Ctl {

/// Access to the rules of the platform for commands.
class RulesAccess
{
public:
    explicit RulesAccess(Address platform);

    Operator::Acceptance accept(Operator::RuleProposal const &proposal);
    Result<std::optional<Rules::AcceptedRules>> newest();
    Result<std::optional<Rules::AcceptedRules>> get(Generation generation);
    Operator::PlatformSession &session();

private:
    Operator::PlatformSession session_;
    Operator::PlatformRuleSetStore store_;
};

/// Declares `--author`, whose default is the user's login name.
void declareAuthor(cxxopts::Options &options);
std::string authorOf(cxxopts::ParseResult const &options);

std::optional<Generation> parseGeneration(std::string const &text);

/// Formats a time as "2026-12-03T22:00:00Z".
std::string formatTime(WallInstant instant);

} // namespace Anvilyard::Ctl
