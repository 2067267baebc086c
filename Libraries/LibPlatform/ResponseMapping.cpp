#include "LibPlatform/ResponseMapping.h"

namespace Anvilyard::Platform {

namespace {

constexpr int FirstServerError = 500;

PlatformError mapStatus(CallVerb verb, Http::HttpResponse const &response)
{
    switch (response.status) {
    case 400:
    case 422:
        if (verb != CallVerb::Read)
            return PlatformError::InvalidValue;
        break;
    case 404:
        return PlatformError::NotFound;
    case 409:
        return verb == CallVerb::Create ? PlatformError::AlreadyExists : PlatformError::Conflict;
    case 410:
        return PlatformError::VersionTooOld;
    case 413:
        return PlatformError::ValueTooLarge;
    case 429:
        return PlatformError::TooManyCalls;
    case 503:
        if (response.headers.contains("Retry-After"))
            return PlatformError::Unavailable;
        break;
    default:
        break;
    }
    if (response.status < FirstServerError)
        return PlatformError::MalformedResponse;
    return verb == CallVerb::Read ? PlatformError::Unavailable : PlatformError::OutcomeUnknown;
}

} // namespace

Error mapFailure(CallVerb verb, Http::ExchangeFailure const &failure)
{
    bool const isCertain = verb == CallVerb::Read || failure.reached == Http::Reached::NothingSent;
    auto const error = isCertain ? PlatformError::Unavailable : PlatformError::OutcomeUnknown;
    return {.code = make_error_code(error), .detail = failure.error.toString()};
}

Error mapResponse(CallVerb verb, Http::HttpResponse const &response)
{
    if (response.status >= 200 && response.status < 300)
        return {};
    return {.code = make_error_code(mapStatus(verb, response)), .detail = "status " + std::to_string(response.status)};
}

} // namespace Anvilyard::Platform
