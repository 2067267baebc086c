#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace Anvilyard::Rules {

/// Lines of the common base that two operators changed differently.
struct RebaseConflict {
    /// First line in the base, 1-based.
    int baseLine = 0;
    /// The lines as changed by each operator; empty if removed.
    std::vector<std::string> ours;
    std::vector<std::string> theirs;
    /// Requester given in the comments of the changed lines, or the author if the lines were removed.
    std::string ourRequester;
    std::string theirRequester;
};

struct RebaseInput {
    /// The text that both operators started from.
    std::string_view base;
    std::string_view ours;
    std::string_view ourAuthor;
    /// The newest accepted text.
    std::string_view theirs;
    std::string_view theirAuthor;
};

/// Applies our change to the newest text. Returns the merged text if the two changes affect different lines, otherwise all
/// conflicts. Lines added by either operator are in the result, and lines removed by either are not. The result must be
/// checked before use, since lines that are valid in each file may be inconsistent with each other.
tl::expected<std::string, std::vector<RebaseConflict>> rebaseRules(RebaseInput const &input);

} // namespace Anvilyard::Rules
