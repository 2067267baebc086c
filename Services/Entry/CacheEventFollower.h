#pragma once

#include "LibHttp/EventSplitter.h"
#include "Services/Entry/ThreadContext.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Anvilyard::Entry {

/// One cache event of an engine.
struct CacheEvent {
    /// Sequence number of the event, without gaps for one engine.
    std::uint64_t sequence = 0;
    /// Hashes of the prompt prefixes that were added to the cache.
    std::vector<std::uint64_t> stored;
    std::vector<std::uint64_t> removed;
};

/// Parses the data of one server-sent event. Returns `std::nullopt` if it is not a cache event.
std::optional<CacheEvent> parseCacheEvent(std::string_view data);

/// Follows the cache events of one engine and reopens the stream whenever it ends. Used on one traffic thread.
class CacheEventFollower
{
public:
    struct Handlers {
        std::function<void(CacheEvent const &)> onEvent;
        /// Called when events are missing, so that the recorded contents of the engine's cache are out of date.
        std::function<void()> onGap;
    };

    CacheEventFollower(ThreadContext &context, Fleet::BackendServer server, Handlers handlers);
    ~CacheEventFollower();
    CacheEventFollower(CacheEventFollower const &) = delete;
    CacheEventFollower &operator=(CacheEventFollower const &) = delete;

    [[nodiscard]] Fleet::BackendServer const &server() const;

private:
    void open();
    void onHead(Http::ResponseHead const &head);
    void onPiece(std::string_view piece);
    void onData(std::string_view data);
    void scheduleReopen();

    ThreadContext &context_;
    Fleet::BackendServer server_;
    Handlers handlers_;
    std::shared_ptr<Http::Exchange> exchange_;
    std::string unfinished_;
    std::optional<std::uint64_t> lastSequence_;
    Duration reopenDelay_;
    std::unique_ptr<Http::Timer> timer_;
};

} // namespace Anvilyard::Entry
