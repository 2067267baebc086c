#include "LibServing/ServingError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Serving {

namespace {

char const *describe(int value)
{
    switch (static_cast<ServingError>(value)) {
    case ServingError::BadPeerMessage:
        return "a peer's message cannot be understood";
    case ServingError::BadRequest:
        return "the request cannot be understood";
    case ServingError::BadRecord:
        return "a record of the platform cannot be understood";
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
