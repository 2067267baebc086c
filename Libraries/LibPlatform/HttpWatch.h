#pragma once

#include "LibCore/Random.h"
#include "LibHttp/HttpClient.h"
#include "LibPlatform/ObjectStore.h"

#include <memory>

namespace Anvilyard::Platform {

struct HttpWatchOptions {
    Http::EventLoop &loop;
    std::shared_ptr<Http::HttpClient> client;
    Address platform;
    Kind kind;
    ResourceVersion from;
    Duration idleTimeout;
    Duration maxDuration;
    WatchHandlers handlers;
};

/// Follows the changes of a kind over consecutive streamed responses. Each stream starts after the last version seen, so a cut
/// connection, a timeout or an unavailable platform delays changes but loses none. Ends only if its version is too old.
class HttpWatch : public Watch
{
public:
    static std::unique_ptr<HttpWatch> create(HttpWatchOptions options);
};

} // namespace Anvilyard::Platform
