#pragma once

#include "LibHttp/HttpMessage.h"

namespace Anvilyard::Http {

/// Returns whether a header of the message applies only to one connection or to the message's framing (RFC 9110, section 7.6.1).
/// Such headers are not forwarded.
bool isHopByHopHeader(Headers const &headers, std::string_view name);

} // namespace Anvilyard::Http
