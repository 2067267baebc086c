#include "LibRules/RuleFault.h"

namespace Anvilyard::Rules {

std::string RuleFault::toString() const
{
    auto text = line > 0 ? "line " + std::to_string(line) + ": " + message : message;
    if (!hint.empty())
        text += " (" + hint + ")";
    return text;
}

} // namespace Anvilyard::Rules
