#pragma once

#include <system_error>

namespace Anvilyard::Http {

/// Errors of an exchange, independent of the underlying transport error.
enum class HttpError {
    ConnectFailed = 1,
    ConnectTimeout,
    /// The connection ended or broke before the message was complete.
    ClosedEarly,
    /// Nothing arrived before the stage's deadline.
    Silent,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    Cancelled,
    /// The server could not bind to the listening address.
    BindFailed,
    BadAddress,
};

std::error_code make_error_code(HttpError error);

} // namespace Anvilyard::Http

template<>
struct std::is_error_code_enum<Anvilyard::Http::HttpError> : std::true_type {
};
