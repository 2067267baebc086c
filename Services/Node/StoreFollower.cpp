#include "Services/Node/StoreFollower.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Node {

using Platform::PlatformError;

StoreFollower::StoreFollower(StoreFollowerOptions options)
    : options_(std::move(options))
    , backoff_(options_.initialBackoff)
{
}

void StoreFollower::start()
{
    list("");
}

std::optional<Instant> StoreFollower::unreachableSince() const
{
    return unreachableSince_;
}

void StoreFollower::pause()
{
    isPaused_ = true;
    watch_.reset();
    if (!hasListed_)
        return;
    timer_.reset();
    unreachableSince_.reset();
}

void StoreFollower::resume()
{
    if (!std::exchange(isPaused_, false))
        return;
    // The first list still runs or is retried, and the watch follows it.
    if (!hasListed_ || isListing_)
        return;
    watch(version_);
}

void StoreFollower::renewWatch(Instant silentSince)
{
    bool const isWatching = watch_ && !hasWatchEnded_;
    if (isWatching && watchReturnedAt_ < silentSince)
        watch(version_);
}

void StoreFollower::list(std::string continueToken)
{
    isListing_ = true;
    isFirstPage_ = continueToken.empty();
    if (isFirstPage_) {
        listed_.clear();
        listExtent_ = {.startedAt = readLocalClock()};
        listProgress_ = {};
    }
    options_.store.list(Platform::CallClass::Read,
                        options_.kind,
                        {
                            .continueToken = std::move(continueToken),
                            .consistency = hasListed_ ? Platform::ListConsistency::Latest : options_.firstList,
                        },
                        [this, weak = std::weak_ptr(alive_)](Result<Platform::ObjectList> page) {
                            if (!weak.expired())
                                onPage(std::move(page));
                        });
}

void StoreFollower::onPage(Result<Platform::ObjectList> page)
{
    if (!page)
        return retryLater(page.error());
    // The watch starts at the version of the first page and thus includes changes made between two pages.
    if (isFirstPage_)
        version_ = page->version;
    ++listExtent_.pages;
    listExtent_.objects += page->objects.size();
    for (auto const &object : page->objects)
        listExtent_.bytes += object.spec.size() + object.status.size();
    if (options_.hooks.onPage)
        options_.hooks.onPage(std::move(page->objects));
    else
        listed_.insert(listed_.end(), std::make_move_iterator(page->objects.begin()), std::make_move_iterator(page->objects.end()));
    if (!page->continueToken.empty()) {
        if (auto const advanced = listProgress_.advance(page->continueToken); !advanced)
            return retryLater(advanced.error());
        return list(page->continueToken);
    }
    isListing_ = false;
    hasListed_ = true;
    auto const listDuration = std::chrono::duration_cast<std::chrono::milliseconds>(readLocalClock() - listExtent_.startedAt);
    Observe::log(Observe::Events::NodeStoreListed,
                 {{"kind", options_.kind.value()},
                  {"objects", std::to_string(listExtent_.objects)},
                  {"pages", std::to_string(listExtent_.pages)},
                  {"bytes", std::to_string(listExtent_.bytes)},
                  {"after_ms", std::to_string(listDuration.count())}});
    backoff_ = options_.initialBackoff;
    if (auto const lostAt = std::exchange(unreachableSince_, std::nullopt)) {
        auto const outage = readLocalClock() - *lostAt;
        Observe::log(Observe::Events::NodeStoreRegained,
                     {{"kind", options_.kind.value()},
                      {"away_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(outage).count())}});
        if (options_.hooks.onRecovered)
            options_.hooks.onRecovered(outage);
    }
    if (options_.hooks.onListed)
        options_.hooks.onListed(std::exchange(listed_, {}), version_);
    if (options_.extent == StoreFollowerOptions::Extent::Changes && !isPaused_)
        watch(version_);
}

void StoreFollower::watch(Platform::ResourceVersion from)
{
    watchReturnedAt_ = readLocalClock();
    hasWatchEnded_ = false;
    watch_ = options_.store.watch(options_.kind,
                                  std::move(from),
                                  {
                                      .onChange = options_.hooks.onChange,
                                      .onProgress =
                                          [this, weak = std::weak_ptr(alive_)](Platform::ResourceVersion const &version) {
                                              if (weak.expired())
                                                  return;
                                              version_ = version;
                                              watchReturnedAt_ = readLocalClock();
                                              if (options_.hooks.onProgress)
                                                  options_.hooks.onProgress(version);
                                          },
                                      .onEnd =
                                          [this, weak = std::weak_ptr(alive_)](Error error) {
                                              if (weak.expired())
                                                  return;
                                              hasWatchEnded_ = true;
                                              retryLater(error);
                                          },
                                      .holdTime = options_.hooks.holdTime,
                                  });
}

void StoreFollower::retryLater(Error const &error)
{
    isListing_ = false;
    if (isPaused_ && hasListed_)
        return;
    // A compacted history is not an outage, so the backoff before the next list does not grow.
    bool const isOutage = error.code != PlatformError::VersionTooOld;
    if (isOutage && !unreachableSince_) {
        unreachableSince_ = readLocalClock();
        Observe::log(Observe::Events::NodeStoreLost, {{"kind", options_.kind.value()}, {"error", error.toString()}});
    }
    std::uniform_int_distribution<Duration::rep> spread(backoff_.count() / 2, backoff_.count());
    auto const wait = Duration(spread(options_.random));
    if (isOutage)
        backoff_ = std::min(backoff_ * 2, options_.maxBackoff);
    timer_ = options_.loop.at(readLocalClock() + wait, [this] {
        watch_.reset();
        list("");
    });
}

} // namespace Anvilyard::Node
