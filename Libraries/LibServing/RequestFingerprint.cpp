#include "LibServing/RequestFingerprint.h"

#include <array>
#include <charconv>

namespace Anvilyard::Serving {

std::string toString(RequestFingerprint fingerprint)
{
    std::array<char, 2 * sizeof(std::uint64_t)> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.value(), 16).ptr;
    return {digits.data(), end};
}

} // namespace Anvilyard::Serving
