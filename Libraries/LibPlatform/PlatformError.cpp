#include "LibPlatform/PlatformError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Platform {

namespace {

char const *describe(int value)
{
    switch (static_cast<PlatformError>(value)) {
    case PlatformError::AlreadyExists:
        return "an object with this name already exists";
    case PlatformError::Conflict:
        return "the object has a different version";
    case PlatformError::NotFound:
        return "no object with this name";
    case PlatformError::TooManyCalls:
        return "the platform refused the call because of its rate limit";
    case PlatformError::Unavailable:
        return "the platform is unavailable";
    case PlatformError::OutcomeUnknown:
        return "no response was received; the change may have taken effect";
    case PlatformError::VersionTooOld:
        return "the platform no longer stores this version";
    case PlatformError::ValueTooLarge:
        return "the value exceeds the platform's size limit";
    case PlatformError::MalformedResponse:
        return "the platform sent a malformed response";
    case PlatformError::OverBudget:
        return "the budget of platform calls is exhausted";
    case PlatformError::InvalidValue:
        return "the platform refused the value as invalid";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(PlatformError error)
{
    static ErrorCategory const category("platform", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Platform
