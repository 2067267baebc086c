#include "LibRules/RulesError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Rules {

namespace {

char const *describe(int value)
{
    switch (static_cast<RulesError>(value)) {
    case RulesError::DifferenceMismatch:
        return "the line changes do not match the text";
    case RulesError::InvalidRuleSetObject:
        return "the stored rule set is invalid";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(RulesError error)
{
    static ErrorCategory const category("rules", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Rules
