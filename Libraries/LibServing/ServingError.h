#pragma once

#include <system_error>

namespace Anvilyard::Serving {

enum class ServingError {
    /// A peer's datagram or answer is not in the form that peers speak.
    BadPeerMessage = 1,
    /// A caller's request lacks something or has it in another form.
    BadRequest,
    /// A record of the platform is not in the form agreed.
    BadRecord,
};

std::error_code make_error_code(ServingError error);

} // namespace Anvilyard::Serving

template<>
struct std::is_error_code_enum<Anvilyard::Serving::ServingError> : std::true_type {
};
