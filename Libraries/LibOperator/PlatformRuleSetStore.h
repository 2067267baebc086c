#pragma once

#include "LibOperator/PlatformSession.h"
#include "LibOperator/RuleSetStore.h"

namespace Anvilyard::Operator {

/// Stores accepted rule sets as objects of the platform.
class PlatformRuleSetStore final : public RuleSetStore
{
public:
    explicit PlatformRuleSetStore(PlatformSession &session);

    Result<std::optional<Generation>> oldest() override;
    Result<std::optional<Rules::AcceptedRules>> get(Generation generation) override;
    Result<CreateResult> create(Rules::AcceptedRules const &rules) override;

private:
    PlatformSession &session_;
};

} // namespace Anvilyard::Operator
