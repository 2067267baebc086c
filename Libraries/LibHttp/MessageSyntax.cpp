#include "LibHttp/MessageSyntax.h"

#include <algorithm>

namespace Anvilyard::Http {

namespace {

constexpr std::string_view SymbolsOfTokens = "!#$%&'*+-.^_`|~";

bool isControl(char character)
{
    auto const code = static_cast<unsigned char>(character);
    return code < ' ' || code == 0x7f;
}

bool isOfToken(char character)
{
    bool const isAlphanumeric =
        (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isAlphanumeric || SymbolsOfTokens.find(character) != std::string_view::npos;
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::ranges::none_of(text, [](char character) { return character == ' ' || isControl(character); });
}

bool isName(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isOfToken);
}

bool isValue(std::string_view text)
{
    return std::ranges::none_of(text, [](char character) { return character != '\t' && isControl(character); });
}

/// Shows control characters by their codes, as the text goes into logs and responses.
std::string quote(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr std::size_t MaxShown = 80;
    std::string quoted = "\"";
    for (auto const character : text.substr(0, MaxShown)) {
        auto const code = static_cast<unsigned char>(character);
        if (isControl(character))
            quoted += std::string("\\x") + Digits[code / 16] + Digits[code % 16];
        else
            quoted += character;
    }
    return quoted + (text.size() > MaxShown ? "...\"" : "\"");
}

} // namespace

std::optional<std::string> findSyntaxFault(std::string_view target, Headers const &headers)
{
    if (!isTarget(target))
        return quote(target) + " is not a request target";
    for (auto const &[name, value] : headers.fields()) {
        if (!isName(name))
            return quote(name) + " is not a header name";
        if (!isValue(value))
            return quote(value) + " is not a value of the header " + name;
    }
    return std::nullopt;
}

} // namespace Anvilyard::Http
