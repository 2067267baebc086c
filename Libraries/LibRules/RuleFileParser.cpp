#include "LibRules/RuleFileParser.h"

#include "LibRules/RuleChecker.h"
#include "LibRules/RuleLineParser.h"

#include <algorithm>

namespace Anvilyard::Rules {

ParsedRules parseRules(std::string_view text, Generation generation)
{
    if (text.size() > MaxRulesFileBytes) {
        RuleFault fault{.message = "the file is larger than " + std::to_string(MaxRulesFileBytes) + " bytes", .hint = "shorten it"};
        return tl::unexpected(std::vector<RuleFault>{std::move(fault)});
    }
    RuleSet rules{.generation = generation};
    std::vector<RuleFault> faults;
    int number = 0;
    for (auto const lineText : splitLines(text)) {
        ++number;
        auto const line = RuleLine::split(lineText);
        if (line.kind != RuleLine::Kind::Rule)
            continue;
        auto lineFaults = parseRuleLine(line, number, rules);
        faults.insert(faults.end(), lineFaults.begin(), lineFaults.end());
    }
    auto const checkFaults = checkRules(rules, faults.empty() ? ParsedLines::All : ParsedLines::Some);
    faults.insert(faults.end(), checkFaults.begin(), checkFaults.end());
    std::stable_sort(faults.begin(), faults.end(), [](auto const &left, auto const &right) { return left.line < right.line; });
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return rules;
}

} // namespace Anvilyard::Rules
