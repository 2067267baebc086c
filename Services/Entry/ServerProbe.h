#pragma once

#include "LibHttp/HttpClient.h"
#include "LibRouting/ServerHealth.h"

#include <functional>

namespace Anvilyard::Entry {

/// Sends a health probe to a backend server on a new connection. Any answer except a server error (5xx) counts as healthy, because
/// plain services need not support the path.
void probeServer(Http::HttpClient &client, Address const &server, std::function<void(Routing::ProbeOutcome)> done);

} // namespace Anvilyard::Entry
