#pragma once

#include "LibCore/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Rules {

/// A line that differs between two rules files.
struct LineChange {
    enum class Kind {
        Added,
        Removed,
    };

    Kind kind = Kind::Added;
    /// 1-based line number, in the newer file if added, in the older one if removed.
    std::uint32_t line = 0;
    std::string text;

    bool operator==(LineChange const &) const = default;
};

/// Returns the changes from `older` to `newer`: removals by line, then additions by line.
std::vector<LineChange> lineDifference(std::string_view older, std::string_view newer);

/// Returns the newer text, or an error if the changes do not match the older one. The result ends with a newline.
Result<std::string> applyDifference(std::string_view older, std::vector<LineChange> const &changes);

/// Pair of equal lines (0-based) that a difference keeps; pairs are in increasing order in both files.
struct CommonLine {
    std::size_t older = 0;
    std::size_t newer = 0;
};
std::vector<CommonLine> commonLines(std::vector<std::string_view> const &older, std::vector<std::string_view> const &newer);

} // namespace Anvilyard::Rules
