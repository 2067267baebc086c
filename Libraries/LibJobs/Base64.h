#pragma once

#include "LibCore/Result.h"

#include <string>
#include <string_view>

namespace Anvilyard::Jobs {

/// Base64 according to RFC 4648, section 4, with padding.
std::string encodeBase64(std::string_view bytes);
Result<std::string> decodeBase64(std::string_view text);

} // namespace Anvilyard::Jobs
