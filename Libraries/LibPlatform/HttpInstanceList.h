#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibHttp/EventLoop.h"
#include "LibPlatform/InstanceList.h"

#include <memory>

namespace Anvilyard::Platform {

struct HttpInstanceListOptions {
    Http::EventLoop &loop;
    Address platform;
    Duration callTimeout = 2s;
};

/// Fetches the instance list over HTTP. Must be used on the loop's thread, on which the replies are called. No reply is called
/// after destruction.
class HttpInstanceList : public InstanceList
{
public:
    static std::unique_ptr<HttpInstanceList> create(HttpInstanceListOptions options);
};

} // namespace Anvilyard::Platform
