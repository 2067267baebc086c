#include "LibOperator/RulesFile.h"

#include "LibOperator/OperatorError.h"

#include <charconv>
#include <fstream>
#include <iterator>

namespace Anvilyard::Operator {

namespace {

constexpr std::string_view GenerationPrefix = "# anvilyard generation ";

std::optional<Generation> parseGenerationLine(std::string_view line)
{
    if (!line.starts_with(GenerationPrefix))
        return std::nullopt;
    line.remove_prefix(GenerationPrefix.size());
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(line.data(), line.data() + line.size(), number);
    if (error != std::errc{} || end != line.data() + line.size())
        return std::nullopt;
    return Generation(number);
}

} // namespace

RulesFile parseRulesFile(std::string_view content)
{
    auto const lineEnd = content.find('\n');
    auto const generation = parseGenerationLine(content.substr(0, lineEnd));
    RulesFile file;
    if (generation) {
        file.base = {.kind = RuleBase::Kind::Generation, .generation = *generation};
        file.leadingLines = 1;
        content.remove_prefix(lineEnd == std::string_view::npos ? content.size() : lineEnd + 1);
    }
    file.text = std::string(content);
    if (!file.text.empty() && !file.text.ends_with('\n'))
        file.text += '\n';
    return file;
}

std::string formatRulesFile(std::string_view text, Generation generation)
{
    return std::string(GenerationPrefix) + std::to_string(generation.value()) + "\n" + std::string(text);
}

Result<RulesFile> readRulesFile(std::string const &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string const content{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream.is_open() || stream.bad())
        return failure(OperatorError::FileUnreadable, path);
    return parseRulesFile(content);
}

Result<std::monostate> writeRulesFile(std::string const &path, std::string_view text, Generation generation)
{
    std::ofstream stream(path, std::ios::binary | std::ios::trunc);
    stream << formatRulesFile(text, generation);
    stream.close();
    if (!stream)
        return failure(OperatorError::FileNotWritten, path);
    return std::monostate{};
}

} // namespace Anvilyard::Operator
