#include "Services/Entry/CacheEventFeeds.h"

#include <set>

namespace Anvilyard::Entry {

CacheEventFeeds::CacheEventFeeds(ThreadContext &context, CacheEventFeedsOptions options)
    : context_(context)
    , options_(std::move(options))
{
    check();
}

std::map<ServerId, Fleet::BackendServer> CacheEventFeeds::selectServers()
{
    auto const view = context_.view.read();
    context_.choosers.update(view);
    std::set<PoolName> enginePools;
    for (auto const &rule : view->fleet().rules->pools) {
        if (rule.kind == Rules::PoolKind::ModelEngine)
            enginePools.insert(rule.pool);
    }
    std::map<ServerId, Fleet::BackendServer> wanted;
    for (auto const &[pool, chooser] : context_.choosers.all()) {
        if (!enginePools.contains(pool))
            continue;
        // The subset is ordered by rank, so that the same engines are followed when there are more than `maxEngines`.
        for (auto const &server : chooser.subset()) {
            if (wanted.size() < options_.maxEngines)
                wanted.emplace(server.id, server);
        }
    }
    return wanted;
}

void CacheEventFeeds::check()
{
    auto const servers = selectServers();
    std::erase_if(followers_, [&](auto const &entry) {
        auto const found = servers.find(entry.first);
        return found == servers.end() || found->second.address != entry.second->server().address;
    });
    for (auto const &[id, server] : servers) {
        auto &follower = followers_[id];
        if (follower)
            continue;
        follower = std::make_unique<CacheEventFollower>(
            context_,
            server,
            CacheEventFollower::Handlers{
                .onEvent = [this, followed = server](CacheEvent const &event) { options_.onEvent(followed, event); },
                .onGap = [this, followed = server] { options_.onGap(followed); },
            });
    }
    timer_ = context_.loop.at(readLocalClock() + options_.checkInterval, [this] { check(); });
}

} // namespace Anvilyard::Entry
