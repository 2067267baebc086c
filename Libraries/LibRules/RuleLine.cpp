#include "LibRules/RuleLine.h"

namespace Anvilyard::Rules {

namespace {

constexpr std::string_view Blanks = " \t\r";
constexpr std::string_view AskedBy = "asked by ";

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos)
        return {};
    auto const last = text.find_last_not_of(Blanks);
    return text.substr(first, last - first + 1);
}

/// Returns the position of the comment's `#`, or the line's length if there is no comment. In YAML a comment starts only
/// after a blank and outside quotes.
std::size_t findComment(std::string_view line)
{
    char quote = 0;
    for (std::size_t position = 0; position < line.size(); ++position) {
        auto const character = line[position];
        if (quote == '"' && character == '\\') {
            ++position;
        } else if (quote != 0) {
            if (character == quote)
                quote = 0;
        } else if (character == '"' || character == '\'') {
            quote = character;
        } else if (character == '#' && (position == 0 || Blanks.find(line[position - 1]) != std::string_view::npos)) {
            return position;
        }
    }
    return line.size();
}

} // namespace

RuleLine RuleLine::split(std::string_view line)
{
    auto const at = findComment(line);
    RuleLine parts;
    parts.mapping = trim(line.substr(0, at));
    if (parts.mapping.empty()) {
        parts.kind = at < line.size() ? Kind::Comment : Kind::Blank;
        return parts;
    }
    parts.kind = Kind::Rule;
    if (at == line.size())
        return parts;
    auto comment = trim(line.substr(at + 1));
    if (comment.starts_with(AskedBy))
        comment.remove_prefix(AskedBy.size());
    auto const colon = comment.find(':');
    parts.requester = trim(comment.substr(0, colon));
    if (colon != std::string_view::npos)
        parts.reason = trim(comment.substr(colon + 1));
    return parts;
}

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        auto const end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

} // namespace Anvilyard::Rules
