#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibHttp/EventLoop.h"
#include "LibPlatform/ObjectStore.h"

#include <memory>

namespace Anvilyard::Platform {

struct HttpObjectStoreOptions {
    Http::EventLoop &loop;
    Address platform;
    /// Time after which a call without a response fails and its connection is considered dead.
    Duration callTimeout = 2s;
    /// Time without data after which a watch is reopened.
    Duration watchIdleTimeout = 30s;
    /// Time after which a watch is reopened even if it receives data.
    Duration maxWatchDuration = 60s;
};

/// Object API client over HTTP. It neither repeats changes nor settles unknown outcomes, which is left to the layers above.
/// Must be used on the loop's thread, on which the replies are called. No reply is called after destruction.
class HttpObjectStore : public ObjectStore
{
public:
    using ObjectStore::create;
    static std::unique_ptr<HttpObjectStore> create(HttpObjectStoreOptions options);
};

} // namespace Anvilyard::Platform
