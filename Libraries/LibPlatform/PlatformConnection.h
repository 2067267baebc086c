#pragma once

#include "LibHttp/HttpClient.h"
#include "LibPlatform/ResponseMapping.h"

#include <functional>
#include <memory>

namespace Anvilyard::Platform {

/// Sends single calls to the platform and maps their outcome to PlatformError. If a call times out, the idle connections are
/// closed as well, since they may be dead too, and the next call opens a new one.
class PlatformConnection
{
public:
    using ResponseHandler = std::function<void(Result<Http::HttpResponse>)>;

    static std::unique_ptr<PlatformConnection> create(Http::EventLoop &loop, Address platform, Duration callTimeout);
    virtual ~PlatformConnection() = default;

    virtual void call(CallVerb verb, Http::HttpRequest request, ResponseHandler done) = 0;
    [[nodiscard]] virtual std::shared_ptr<Http::HttpClient> client() const = 0;
};

} // namespace Anvilyard::Platform
