#pragma once

#include "LibHttp/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilyard::Http {

/// Returns what in a target or in the headers would end a line of the message's head early, or is no target, name or value in the syntax
/// of RFC 9110 and 9112; `std::nullopt` if they may be sent. Such characters would smuggle headers, or a whole request, into the
/// connection.
std::optional<std::string> findSyntaxFault(std::string_view target, Headers const &headers);

} // namespace Anvilyard::Http
