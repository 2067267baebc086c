#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Rules {

/// One line of a rules file, split into its parts but not yet parsed.
struct RuleLine {
    enum class Kind {
        Blank,
        Comment,
        Rule,
    };

    Kind kind = Kind::Blank;
    /// The flow mapping, without its comment.
    std::string_view mapping;
    /// Requester of the rule; empty if the line does not name one.
    std::string_view requester;
    std::string_view reason;

    /// The views point into `line`.
    static RuleLine split(std::string_view line);
};

/// Returns the lines of a text without their newlines. A last line without a newline is included.
std::vector<std::string_view> splitLines(std::string_view text);

} // namespace Anvilyard::Rules
