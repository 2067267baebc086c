#pragma once

#include <system_error>

namespace Anvilyard::Operator {

enum class OperatorError {
    FileUnreadable = 1,
    FileNotWritten,
    /// A stored rule set is malformed.
    BadRuleSet,
    /// An entry instance refused the request.
    EntryRefused,
};

std::error_code make_error_code(OperatorError error);

} // namespace Anvilyard::Operator

template<>
struct std::is_error_code_enum<Anvilyard::Operator::OperatorError> : std::true_type {
};
