#pragma once

#include "Services/Entry/OnlineRequest.h"

namespace Anvilyard::Entry {

/// Creates the request to the backend server from the caller's request, without the caller's key and hop-by-hop headers.
Http::HttpRequest toBackendRequest(OnlineRequest const &request, std::string traceparent);

/// Creates the headers of the answer to the caller from the headers of the backend server's answer.
Http::Headers toCallerHeaders(OnlineRequest const &request, Http::Headers const &headers);

} // namespace Anvilyard::Entry
