#include "LibHttp/HttpError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Http {

namespace {

char const *describe(int value)
{
    switch (static_cast<HttpError>(value)) {
    case HttpError::ConnectFailed:
        return "the connection could not be made";
    case HttpError::ConnectTimeout:
        return "the connection was not made in time";
    case HttpError::ClosedEarly:
        return "the connection ended before the message was complete";
    case HttpError::Silent:
        return "nothing arrived in time";
    case HttpError::Malformed:
        return "the message is malformed";
    case HttpError::HeadTooLarge:
        return "the message's head is too large";
    case HttpError::BodyTooLarge:
        return "the message's body is too large";
    case HttpError::Cancelled:
        return "the exchange was cancelled";
    case HttpError::BindFailed:
        return "cannot bind to the listening address";
    case HttpError::BadAddress:
        return "not an IP number and port";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(HttpError error)
{
    static ErrorCategory const category("http", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Http
