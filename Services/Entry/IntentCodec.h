#pragma once

#include "LibCore/Result.h"
#include "LibRouting/IntentGuard.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Entry {

/// Encodes an intent as the JSON text that is stored in the platform.
std::string encodeIntent(Routing::IntentRecord const &record);
/// Decodes a stored intent. Returns `std::nullopt` if the text is not an intent.
std::optional<Routing::IntentRecord> decodeIntent(std::string_view text);

} // namespace Anvilyard::Entry
