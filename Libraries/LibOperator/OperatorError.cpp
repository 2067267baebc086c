#include "LibOperator/OperatorError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Operator {

namespace {

char const *describe(int value)
{
    switch (static_cast<OperatorError>(value)) {
    case OperatorError::FileUnreadable:
        return "the file cannot be read";
    case OperatorError::FileNotWritten:
        return "the file could not be written";
    case OperatorError::BadRuleSet:
        return "the platform stores a malformed rule set";
    case OperatorError::EntryRefused:
        return "the entry instance refused the request";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(OperatorError error)
{
    static ErrorCategory const category("operator", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Operator
