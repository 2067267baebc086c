#include "LibHttp/HttpError.h"
#include "LibPlatform/ResponseMapping.h"

#include <gtest/gtest.h>

using namespace Anvilyard;
using namespace Anvilyard::Platform;
using Http::Reached;

namespace {

struct FailureCase {
    CallVerb verb;
    Reached reached;
    PlatformError expected;
};

struct ResponseCase {
    CallVerb verb;
    int status;
    bool hasRetryAfter;
    PlatformError expected;
};

} // namespace

/// A change of which bytes were sent may have been applied, so its failure must not be reported as certain.
TEST(ResponseMapping, OnlyChangesThatMayHaveBeenSentHaveUnknownOutcome)
{
    std::vector<FailureCase> const cases = {
        {CallVerb::Read, Reached::NothingSent, PlatformError::Unavailable},
        {CallVerb::Read, Reached::Sent, PlatformError::Unavailable},
        {CallVerb::Read, Reached::ResponseStarted, PlatformError::Unavailable},
        {CallVerb::Create, Reached::NothingSent, PlatformError::Unavailable},
        {CallVerb::Create, Reached::Sent, PlatformError::OutcomeUnknown},
        {CallVerb::Create, Reached::ResponseStarted, PlatformError::OutcomeUnknown},
        {CallVerb::Update, Reached::NothingSent, PlatformError::Unavailable},
        {CallVerb::Update, Reached::Sent, PlatformError::OutcomeUnknown},
        {CallVerb::Update, Reached::ResponseStarted, PlatformError::OutcomeUnknown},
        {CallVerb::Remove, Reached::NothingSent, PlatformError::Unavailable},
        {CallVerb::Remove, Reached::Sent, PlatformError::OutcomeUnknown},
    };
    for (auto const &[verb, reached, expected] : cases) {
        for (auto const transport : {Http::HttpError::ClosedEarly, Http::HttpError::Silent, Http::HttpError::Malformed}) {
            auto const error = mapFailure(verb, {.error = {.code = make_error_code(transport)}, .reached = reached});
            EXPECT_EQ(error.code, expected) << static_cast<int>(verb) << ' ' << static_cast<int>(reached);
        }
    }
}

/// Only a 503 with Retry-After proves that a change was not applied; other 5xx statuses leave its outcome unknown.
TEST(ResponseMapping, StatusesMapToErrors)
{
    std::vector<ResponseCase> const cases = {
        {CallVerb::Create, 409, false, PlatformError::AlreadyExists},     {CallVerb::Update, 409, false, PlatformError::Conflict},
        {CallVerb::Remove, 409, false, PlatformError::Conflict},          {CallVerb::Read, 404, false, PlatformError::NotFound},
        {CallVerb::Update, 404, false, PlatformError::NotFound},          {CallVerb::Read, 410, false, PlatformError::VersionTooOld},
        {CallVerb::Create, 400, false, PlatformError::InvalidValue},      {CallVerb::Update, 422, false, PlatformError::InvalidValue},
        {CallVerb::Create, 413, false, PlatformError::ValueTooLarge},     {CallVerb::Create, 429, true, PlatformError::TooManyCalls},
        {CallVerb::Read, 429, false, PlatformError::TooManyCalls},        {CallVerb::Read, 500, false, PlatformError::Unavailable},
        {CallVerb::Read, 503, true, PlatformError::Unavailable},          {CallVerb::Create, 500, false, PlatformError::OutcomeUnknown},
        {CallVerb::Create, 500, true, PlatformError::OutcomeUnknown},     {CallVerb::Update, 502, false, PlatformError::OutcomeUnknown},
        {CallVerb::Update, 503, false, PlatformError::OutcomeUnknown},    {CallVerb::Update, 503, true, PlatformError::Unavailable},
        {CallVerb::Remove, 504, true, PlatformError::OutcomeUnknown},     {CallVerb::Read, 400, false, PlatformError::MalformedResponse},
        {CallVerb::Update, 302, false, PlatformError::MalformedResponse},
    };
    for (auto const &[verb, status, hasRetryAfter, expected] : cases) {
        Http::HttpResponse response{.status = status};
        if (hasRetryAfter)
            response.headers.set("Retry-After", "1");
        EXPECT_EQ(mapResponse(verb, response).code, expected) << static_cast<int>(verb) << ' ' << status;
    }
    EXPECT_FALSE(mapResponse(CallVerb::Create, {.status = 201}).code);
}
