#include "LibServing/ServingError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Serving {

namespace {

char const *describe(int value)
{
    switch (static_cast<ServingError>(value)) {
    case ServingError::BadPeerMessage:
        return "malformed message from a peer";
    case ServingError::BadRequest:
        return "the request cannot be understood";
    case ServingError::BadRecord:
        return "malformed record of the platform";
    }
    return "unknown serving error";
}

} // namespace

std::error_code make_error_code(ServingError error)
{
    static ErrorCategory const category("serving", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Serving
