#include "LibServing/PromptPart.h"

#include <array>
#include <charconv>

namespace Anvilyard::Serving {

std::string toString(std::span<PromptPartId const> parts)
{
    std::string text;
    for (auto const &part : parts) {
        std::array<char, 2 * sizeof(std::uint64_t)> digits{};
        auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), part.value(), 16).ptr;
        text += text.empty() ? "" : ",";
        text.append(digits.data(), end);
    }
    return text;
}

} // namespace Anvilyard::Serving
