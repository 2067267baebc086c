#pragma once

#include "LibCore/Result.h"
#include "LibRules/RuleSetObject.h"

#include <optional>

namespace Anvilyard::Operator {

/// Result of creating the object of a generation.
enum class CreateResult {
    Created,
    /// The generation already exists with the rules of another operator.
    Taken,
};

/// Store of the accepted rule sets for operators' commands. Calls block until their response.
class RuleSetStore
{
public:
    virtual ~RuleSetStore() = default;

    /// Returns the lowest generation that is stored, or `std::nullopt` if there is none.
    virtual Result<std::optional<Generation>> oldest() = 0;
    virtual Result<std::optional<Rules::AcceptedRules>> get(Generation generation) = 0;
    /// Fails with PlatformError::OutcomeUnknown if the response was lost and the outcome could not be settled.
    virtual Result<CreateResult> create(Rules::AcceptedRules const &rules) = 0;
};

} // namespace Anvilyard::Operator
