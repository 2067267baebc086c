#include "LibRules/RuleDifference.h"

#include "LibRules/RuleLine.h"
#include "LibRules/RulesError.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace Anvilyard::Rules {

namespace {

using Lines = std::vector<std::string_view>;

constexpr std::size_t InvalidIndex = std::numeric_limits<std::size_t>::max();

struct Occurrence {
    std::size_t olderCount = 0;
    std::size_t newerCount = 0;
    std::size_t older = InvalidIndex;
};

struct Range {
    std::size_t from = 0;
    std::size_t olderUntil = 0;
    std::size_t newerUntil = 0;
};

/// Excludes the equal lines at both ends.
Range trimEqualEnds(Lines const &older, Lines const &newer)
{
    Range range{.from = 0, .olderUntil = older.size(), .newerUntil = newer.size()};
    while (range.from < range.olderUntil && range.from < range.newerUntil && older[range.from] == newer[range.from])
        ++range.from;
    while (range.olderUntil > range.from && range.newerUntil > range.from && older[range.olderUntil - 1] == newer[range.newerUntil - 1]) {
        --range.olderUntil;
        --range.newerUntil;
    }
    return range;
}

/// Returns the lines that occur exactly once in both files, in the order of the newer file.
std::vector<CommonLine> uniqueMatches(Lines const &older, Lines const &newer, Range const &range)
{
    std::unordered_map<std::string_view, Occurrence> occurrences;
    for (auto line = range.from; line < range.olderUntil; ++line) {
        auto &occurrence = occurrences[older[line]];
        ++occurrence.olderCount;
        occurrence.older = line;
    }
    for (auto line = range.from; line < range.newerUntil; ++line)
        ++occurrences[newer[line]].newerCount;
    std::vector<CommonLine> matches;
    for (auto line = range.from; line < range.newerUntil; ++line) {
        auto const &occurrence = occurrences[newer[line]];
        if (occurrence.olderCount == 1 && occurrence.newerCount == 1)
            matches.push_back({.older = occurrence.older, .newer = line});
    }
    return matches;
}

/// Returns the longest subsequence of matches that is in increasing order in the older file, too.
std::vector<CommonLine> longestIncreasing(std::vector<CommonLine> const &matches)
{
    std::vector<std::size_t> endOfLength;
    std::vector<std::size_t> previous(matches.size(), InvalidIndex);
    for (std::size_t match = 0; match < matches.size(); ++match) {
        auto const place = std::lower_bound(endOfLength.begin(), endOfLength.end(), match, [&](auto left, auto right) {
            return matches[left].older < matches[right].older;
        });
        if (place != endOfLength.begin())
            previous[match] = *(place - 1);
        if (place == endOfLength.end())
            endOfLength.push_back(match);
        else
            *place = match;
    }
    std::vector<CommonLine> increasing;
    for (auto match = endOfLength.empty() ? InvalidIndex : endOfLength.back(); match != InvalidIndex; match = previous[match])
        increasing.push_back(matches[match]);
    std::reverse(increasing.begin(), increasing.end());
    return increasing;
}

} // namespace

std::vector<CommonLine> commonLines(Lines const &older, Lines const &newer)
{
    auto const range = trimEqualEnds(older, newer);
    std::vector<CommonLine> common;
    for (std::size_t line = 0; line < range.from; ++line)
        common.push_back({.older = line, .newer = line});
    auto const middle = longestIncreasing(uniqueMatches(older, newer, range));
    common.insert(common.end(), middle.begin(), middle.end());
    for (auto line = range.olderUntil; line < older.size(); ++line)
        common.push_back({.older = line, .newer = line - range.olderUntil + range.newerUntil});
    return common;
}

std::vector<LineChange> lineDifference(std::string_view older, std::string_view newer)
{
    auto const olderLines = splitLines(older);
    auto const newerLines = splitLines(newer);
    std::vector<bool> olderIsCommon(olderLines.size());
    std::vector<bool> newerIsCommon(newerLines.size());
    for (auto const &common : commonLines(olderLines, newerLines)) {
        olderIsCommon[common.older] = true;
        newerIsCommon[common.newer] = true;
    }
    std::vector<LineChange> changes;
    auto const addChanges = [&](Lines const &lines, std::vector<bool> const &common, LineChange::Kind kind) {
        for (std::size_t line = 0; line < lines.size(); ++line) {
            if (!common[line])
                changes.push_back({.kind = kind, .line = static_cast<std::uint32_t>(line + 1), .text = std::string(lines[line])});
        }
    };
    addChanges(olderLines, olderIsCommon, LineChange::Kind::Removed);
    addChanges(newerLines, newerIsCommon, LineChange::Kind::Added);
    return changes;
}

Result<std::string> applyDifference(std::string_view older, std::vector<LineChange> const &changes)
{
    auto const olderLines = splitLines(older);
    std::vector<bool> removed(olderLines.size());
    std::unordered_map<std::size_t, std::string_view> added;
    for (auto const &change : changes) {
        auto const line = static_cast<std::size_t>(change.line) - 1;
        if (change.kind == LineChange::Kind::Added) {
            added.emplace(line, change.text);
        } else if (line >= olderLines.size() || olderLines[line] != change.text) {
            return failure(RulesError::DifferenceMismatch, "line " + std::to_string(change.line));
        } else {
            removed[line] = true;
        }
    }
    std::string newer;
    std::size_t oldLine = 0;
    std::size_t used = 0;
    for (std::size_t line = 0;; ++line) {
        auto const insertion = added.find(line);
        if (insertion != added.end()) {
            newer.append(insertion->second).push_back('\n');
            ++used;
            continue;
        }
        while (oldLine < olderLines.size() && removed[oldLine])
            ++oldLine;
        if (oldLine == olderLines.size())
            break;
        newer.append(olderLines[oldLine++]).push_back('\n');
    }
    if (used != added.size())
        return failure(RulesError::DifferenceMismatch, "an added line is beyond the end of the text");
    return newer;
}

} // namespace Anvilyard::Rules
