#pragma once

#include <system_error>

namespace Anvilyard::Platform {

/// Errors of Object API calls, mapped from HTTP.
enum class PlatformError {
    /// An object with the name to create already exists.
    AlreadyExists = 1,
    /// The object has a different version than the conditional change requires.
    Conflict,
    NotFound,
    /// Refused because of the rate limit; not applied.
    TooManyCalls,
    /// The platform is unavailable; the call was not applied.
    Unavailable,
    /// No response was received; the change may or may not have taken effect. ChangeSettlement determines which.
    OutcomeUnknown,
    /// The platform no longer stores the requested version; the objects must be listed again.
    VersionTooOld,
    ValueTooLarge,
    MalformedResponse,
    /// The process's call budget is exhausted; nothing was sent.
    OverBudget,
    /// The platform refused what was sent as invalid; not applied.
    InvalidValue,
};

std::error_code make_error_code(PlatformError error);

} // namespace Anvilyard::Platform

template<>
struct std::is_error_code_enum<Anvilyard::Platform::PlatformError> : std::true_type {
};
