#pragma once

#include <string_view>

namespace Anvilyard {

/// Whether the text is valid UTF-8, without surrogates and overlong forms (RFC 3629).
bool isUtf8(std::string_view text);

} // namespace Anvilyard
