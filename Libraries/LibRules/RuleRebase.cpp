#include "LibRules/RuleRebase.h"

#include "LibRules/RuleDifference.h"
#include "LibRules/RuleLine.h"

#include <algorithm>

namespace Anvilyard::Rules {

namespace {

using Lines = std::vector<std::string_view>;

/// Base lines [from, until) and the lines that replace them; if both ends are equal, lines are inserted before line `from`.
struct Replacement {
    std::size_t from = 0;
    std::size_t until = 0;
    Lines lines;

    [[nodiscard]] bool isInsertion() const
    {
        return from == until;
    }
};

/// Adds a replacement. It is split into single lines if both sides have the same number of lines, so that changes of adjacent
/// lines do not conflict.
void addReplacement(std::vector<Replacement> &replacements, Replacement replacement)
{
    if (replacement.isInsertion() && replacement.lines.empty())
        return;
    if (replacement.until - replacement.from != replacement.lines.size()) {
        replacements.push_back(std::move(replacement));
        return;
    }
    for (std::size_t offset = 0; offset < replacement.lines.size(); ++offset) {
        auto const line = replacement.from + offset;
        replacements.push_back({.from = line, .until = line + 1, .lines = {replacement.lines[offset]}});
    }
}

std::vector<Replacement> findReplacements(Lines const &base, Lines const &changed)
{
    std::vector<Replacement> replacements;
    std::size_t baseLine = 0;
    std::size_t changedLine = 0;
    auto const addUntil = [&](std::size_t baseEnd, std::size_t changedEnd) {
        Replacement replacement{.from = baseLine, .until = baseEnd};
        replacement.lines.assign(changed.begin() + static_cast<std::ptrdiff_t>(changedLine),
                                 changed.begin() + static_cast<std::ptrdiff_t>(changedEnd));
        addReplacement(replacements, std::move(replacement));
    };
    for (auto const &common : commonLines(base, changed)) {
        addUntil(common.older, common.newer);
        baseLine = common.older + 1;
        changedLine = common.newer + 1;
    }
    addUntil(base.size(), changed.size());
    return replacements;
}

std::string requesterOf(Lines const &lines, std::string_view author)
{
    for (auto const line : lines) {
        if (auto const parts = RuleLine::split(line); !parts.requester.empty())
            return std::string(parts.requester);
    }
    return std::string(author);
}

/// Returns whether both replace a common base line with different lines.
bool conflicts(Replacement const &ours, Replacement const &theirs)
{
    if (ours.isInsertion() || theirs.isInsertion())
        return false;
    auto const overlap = std::max(ours.from, theirs.from) < std::min(ours.until, theirs.until);
    auto const same = ours.from == theirs.from && ours.until == theirs.until && ours.lines == theirs.lines;
    return overlap && !same;
}

std::vector<std::string> toStrings(Lines const &lines)
{
    return {lines.begin(), lines.end()};
}

std::vector<RebaseConflict>
findConflicts(std::vector<Replacement> const &ours, std::vector<Replacement> const &theirs, RebaseInput const &input)
{
    std::vector<RebaseConflict> found;
    auto first = theirs.begin();
    for (auto const &our : ours) {
        while (first != theirs.end() && first->until < our.from)
            ++first;
        for (auto their = first; their != theirs.end() && their->from < our.until; ++their) {
            if (!conflicts(our, *their))
                continue;
            found.push_back({
                .baseLine = static_cast<int>(std::max(our.from, their->from)) + 1,
                .ours = toStrings(our.lines),
                .theirs = toStrings(their->lines),
                .ourRequester = requesterOf(our.lines, input.ourAuthor),
                .theirRequester = requesterOf(their->lines, input.theirAuthor),
            });
        }
    }
    return found;
}

/// Applies both lists to the base; an identical replacement in both is applied once.
class Merger
{
public:
    explicit Merger(Lines const &base)
        : removed_(base.size())
        , insertedBefore_(base.size() + 1)
        , base_(base)
    {
    }

    void apply(std::vector<Replacement> const &replacements)
    {
        for (auto const &replacement : replacements) {
            for (auto line = replacement.from; line < replacement.until; ++line)
                removed_[line] = true;
            insert(replacement);
        }
    }

    [[nodiscard]] std::string text() const
    {
        std::string result;
        for (std::size_t line = 0; line <= base_.size(); ++line) {
            for (auto const inserted : insertedBefore_[line])
                result.append(inserted).push_back('\n');
            if (line < base_.size() && !removed_[line])
                result.append(base_[line]).push_back('\n');
        }
        return result;
    }

private:
    void insert(Replacement const &replacement)
    {
        auto &place = insertedBefore_[replacement.from];
        auto const before = place;
        for (auto const line : replacement.lines) {
            if (std::find(before.begin(), before.end(), line) == before.end())
                place.push_back(line);
        }
    }

    std::vector<bool> removed_;
    std::vector<Lines> insertedBefore_;
    Lines const &base_;
};

} // namespace

tl::expected<std::string, std::vector<RebaseConflict>> rebaseRules(RebaseInput const &input)
{
    auto const base = splitLines(input.base);
    auto const ourLines = splitLines(input.ours);
    auto const theirLines = splitLines(input.theirs);
    auto const ours = findReplacements(base, ourLines);
    auto const theirs = findReplacements(base, theirLines);
    if (auto found = findConflicts(ours, theirs, input); !found.empty())
        return tl::unexpected(std::move(found));
    Merger merger(base);
    merger.apply(theirs);
    merger.apply(ours);
    return merger.text();
}

} // namespace Anvilyard::Rules
