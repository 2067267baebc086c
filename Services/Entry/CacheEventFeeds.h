#pragma once

#include "Services/Entry/CacheEventFollower.h"

#include <functional>
#include <map>
#include <memory>

namespace Anvilyard::Entry {

struct CacheEventFeedsOptions {
    /// Maximum number of engines that are followed. It is bounded because each engine sends an event for about every request that it
    /// receives from any instance.
    std::size_t maxEngines = 16;
    Duration checkInterval = 1s;
    /// These are called on the thread that follows the streams.
    std::function<void(Fleet::BackendServer const &, CacheEvent const &)> onEvent;
    std::function<void(Fleet::BackendServer const &)> onGap;
};

/// Follows the cache events of the engines in this instance's subsets, up to a maximum number. Used on one traffic thread.
class CacheEventFeeds
{
public:
    CacheEventFeeds(ThreadContext &context, CacheEventFeedsOptions options);

private:
    void check();
    [[nodiscard]] std::map<ServerId, Fleet::BackendServer> selectServers();

    ThreadContext &context_;
    CacheEventFeedsOptions options_;
    std::map<ServerId, std::unique_ptr<CacheEventFollower>> followers_;
    std::unique_ptr<Http::Timer> timer_;
};

} // namespace Anvilyard::Entry
