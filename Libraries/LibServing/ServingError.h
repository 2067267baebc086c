#pragma once

#include <system_error>

namespace Anvilyard::Serving {

enum class ServingError {
    /// A datagram or response of a peer is malformed.
    BadPeerMessage = 1,
    /// A caller's request is incomplete or malformed.
    BadRequest,
    /// A record of the platform is malformed.
    BadRecord,
};

std::error_code make_error_code(ServingError error);

} // namespace Anvilyard::Serving

template<>
struct std::is_error_code_enum<Anvilyard::Serving::ServingError> : std::true_type {
};
