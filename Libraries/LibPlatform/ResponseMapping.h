#pragma once

#include "LibCore/Result.h"
#include "LibHttp/HttpClient.h"
#include "LibPlatform/PlatformError.h"

namespace Anvilyard::Platform {

/// Verb of a call. It determines which error a failure maps to.
enum class CallVerb {
    Read,
    Create,
    Update,
    Remove,
};

/// Maps a failed exchange to an error. The outcome is unknown only for a change of which bytes may have been sent.
Error mapFailure(CallVerb verb, Http::ExchangeFailure const &failure);

/// Maps the status of a response to an error, whose code is empty if the call succeeded. A 5xx status leaves the outcome of
/// a change unknown. The exception is a 503 with Retry-After: the platform sends it only if it did not apply the change.
Error mapResponse(CallVerb verb, Http::HttpResponse const &response);

} // namespace Anvilyard::Platform
