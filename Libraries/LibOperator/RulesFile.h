#pragma once

#include "LibOperator/RuleAcceptance.h"

#include <string>
#include <string_view>
#include <variant>

namespace Anvilyard::Operator {

/// A rules file of an operator. Its first line may name the generation that it is based on; that line is not part of the rules.
struct RulesFile {
    std::string text;
    RuleBase base;
    /// Number of lines before the rules. Added to the line numbers of faults to get those of the file.
    int leadingLines = 0;
};

RulesFile parseRulesFile(std::string_view content);
/// Returns the text, preceded by a line that names its generation.
std::string formatRulesFile(std::string_view text, Generation generation);

Result<RulesFile> readRulesFile(std::string const &path);
Result<std::monostate> writeRulesFile(std::string const &path, std::string_view text, Generation generation);

} // namespace Anvilyard::Operator
