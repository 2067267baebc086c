#pragma once

#include "LibCore/Random.h"
#include "LibHttp/EventLoop.h"
#include "LibPlatform/PagedList.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace Anvilyard::Node {

struct StoreFollowerHooks {
    /// Called with all objects of the kind.
    std::function<void(std::vector<Platform::Object>, Platform::ResourceVersion)> onListed = {};
    /// Called with each page of a list. The objects are then not collected for onListed. A list that fails midway begins again, so that
    /// pages may come more than once.
    std::function<void(std::vector<Platform::Object>)> onPage = {};
    std::function<void(Platform::WatchChange, Platform::Object)> onChange = {};
    std::function<void(Platform::ResourceVersion)> onProgress = {};
    /// Called before onListed when the store responds again after an outage.
    std::function<void(Duration outage)> onRecovered = {};
    /// As in Platform::WatchHandlers.
    std::function<std::optional<std::chrono::milliseconds>()> holdTime = {};
};

struct StoreFollowerOptions {
    Http::EventLoop &loop;
    Platform::ObjectStore &store;
    Platform::Kind kind;
    RandomSource &random;
    enum class Extent {
        Changes,
        /// Lists the existing objects once, without a watch.
        ListOnce,
    } extent = Extent::Changes;
    /// Consistency of the first list. Later lists may follow an outage, after which a stale one would show the state before it.
    Platform::ListConsistency firstList = Platform::ListConsistency::Latest;
    StoreFollowerHooks hooks;
    /// Backoff before the retry after a failure, doubled with each failure up to `maxBackoff`. The actual wait is a random share of
    /// one half to all of it so that instances do not retry at the same time.
    Duration initialBackoff = 50ms;
    Duration maxBackoff = 800ms;
};

/// Follows the objects of a kind: lists them, watches them unless the extent is ListOnce, and lists again whenever the watch ends.
class StoreFollower
{
public:
    explicit StoreFollower(StoreFollowerOptions options);
    StoreFollower(StoreFollower const &) = delete;
    StoreFollower &operator=(StoreFollower const &) = delete;

    void start();
    /// Stops watching. A list that never succeeded is still retried.
    void pause();
    /// Watches again after a pause, from the last version seen. If the store no longer has that history, it is listed again.
    void resume();
    /// Calls the store anew if the watch has not returned since then. The response to a watch call may be lost, which cannot be told from
    /// an absence of changes.
    void renewWatch(Instant silentSince);
    /// Time since which the store has not responded; std::nullopt while it responds.
    [[nodiscard]] std::optional<Instant> unreachableSince() const;

private:
    void list(std::string continueToken);
    void onPage(Result<Platform::ObjectList> page);
    void watch(Platform::ResourceVersion from);
    void retryLater(Error const &error);

    StoreFollowerOptions options_;
    std::vector<Platform::Object> listed_;
    /// Version of the last list, or of the last return of the watch.
    Platform::ResourceVersion version_;
    std::unique_ptr<Platform::Watch> watch_;
    /// When the watch was opened or last returned.
    Instant watchReturnedAt_;
    std::unique_ptr<Http::Timer> timer_;
    Duration backoff_;
    std::optional<Instant> unreachableSince_;
    bool isFirstPage_ = true;
    /// Of the current list.
    Platform::ListProgress listProgress_;
    /// Of the current list.
    struct {
        Instant startedAt;
        std::size_t pages = 0;
        std::size_t objects = 0;
        std::size_t bytes = 0;
    } listExtent_;
    bool hasWatchEnded_ = false;
    bool isListing_ = false;
    bool hasListed_ = false;
    bool isPaused_ = false;
    std::shared_ptr<std::monostate> alive_ = std::make_shared<std::monostate>();
};

} // namespace Anvilyard::Node
