#pragma once

#include <system_error>

namespace Anvilyard::Rules {

enum class RulesError {
    /// Line changes do not match the text that they are applied to.
    DifferenceMismatch = 1,
    /// A stored rule set lacks a field, or has a field of a wrong type or a wrong digest.
    InvalidRuleSetObject,
};

std::error_code make_error_code(RulesError error);

} // namespace Anvilyard::Rules

template<>
struct std::is_error_code_enum<Anvilyard::Rules::RulesError> : std::true_type {
};
