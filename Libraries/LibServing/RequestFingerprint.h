#pragma once

#include "LibCore/StrongType.h"

#include <cstdint>
#include <string>

namespace Anvilyard::Serving {

/// Identifies what a request asks for: equal for each repeat of it, at any instance, as a request of its own or as an item of a batch job.
using RequestFingerprint = StrongType<struct RequestFingerprintTag, std::uint64_t>;

/// Formats a fingerprint in hexadecimal.
std::string toString(RequestFingerprint fingerprint);

} // namespace Anvilyard::Serving
