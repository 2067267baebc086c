#pragma once

#include "LibCore/Result.h"
#include "LibServing/ServerLimit.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Serving {

/// Number of limits that a datagram of some kilobytes contains.
constexpr std::size_t MaxLimitsPerMessage = 40;

/// Splits limits into groups of at most so many, in their order.
std::vector<std::vector<ServerLimit>> splitServerLimits(std::map<ServerId, ServerLimit> const &limits, std::size_t maxPerGroup);
/// Encodes limits as a JSON text. Clocks of instances differ, so it contains the age of each statement instead of its time.
std::string encodeServerLimits(std::vector<ServerLimit> const &limits, Instant now);
/// Whether a datagram contains limits.
bool isServerLimits(std::string_view text);
/// Fails with `ServingError::BadPeerMessage` if the text is not complete.
Result<std::vector<ServerLimit>> decodeServerLimits(std::string_view text, Instant now);

} // namespace Anvilyard::Serving
