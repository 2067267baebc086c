#pragma once

#include "LibCore/Ids.h"
#include "LibHttp/HttpClient.h"
#include "LibPlatform/InstanceList.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/SettlingStore.h"

#include <future>
#include <memory>
#include <thread>

namespace Anvilyard::Operator {

/// Blocking calls to the platform and to instances, for sequential commands. An event loop on a separate thread performs them.
class PlatformSession
{
public:
    explicit PlatformSession(Address platform);
    ~PlatformSession();
    PlatformSession(PlatformSession const &) = delete;
    PlatformSession &operator=(PlatformSession const &) = delete;

    Result<Platform::Object> get(Platform::Kind const &kind, Platform::ObjectName const &name);
    Result<Platform::ObjectList> list(Platform::Kind const &kind, Platform::ListOptions const &options);
    /// Settles the outcome by the spec's writer if the response is lost.
    Result<Platform::Object>
    create(Platform::Kind const &kind, Platform::ObjectName const &name, std::string const &spec, Platform::WriterId const &writer);
    Result<std::vector<Platform::EndpointSet>> instances();
    /// Sends one request to an instance.
    Result<Http::HttpResponse> fetch(Address const &server, Http::HttpRequest const &request);

private:
    struct Parts;

    template<typename Value>
    Result<Value> call(std::function<void(Parts &, Platform::Reply<Value>)> start);

    Http::EventLoop loop_;
    std::unique_ptr<Parts> parts_;
    std::thread thread_;
};

} // namespace Anvilyard::Operator
