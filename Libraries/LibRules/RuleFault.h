#pragma once

#include <string>

namespace Anvilyard::Rules {

/// A fault of a rules file, with a hint for the operator.
struct RuleFault {
    /// 1-based; 0 if the fault concerns the complete file.
    int line = 0;
    std::string message;
    std::string hint;

    /// Formatted as "line 3: message (hint)".
    [[nodiscard]] std::string toString() const;
};

} // namespace Anvilyard::Rules
