#include "LibServing/ServerReach.h"

#include <algorithm>

namespace Anvilyard::Serving {

ServerReach::ServerReach(ServerReachOptions options)
    : options_(options)
{
}

void ServerReach::setServers(std::map<ServerId, PoolName> const &servers)
{
    poolNames_ = servers;
    for (auto &[name, pool] : pools_)
        pool.servers.clear();
    for (auto const &[id, name] : servers)
        pools_[name].servers.push_back(id);
    std::erase_if(pools_, [](auto const &entry) { return entry.second.servers.empty(); });
    for (auto &[name, pool] : pools_) {
        auto const isGone = [&, poolName = name](ServerId const &id) {
            auto const found = poolNames_.find(id);
            return found == poolNames_.end() || found->second != poolName;
        };
        std::erase_if(pool.failures, [&](auto const &failure) { return isGone(failure.first); });
        std::erase_if(pool.checking, isGone);
    }
}

ServerReach::Pool *ServerReach::poolOf(ServerId const &server)
{
    auto const name = poolNames_.find(server);
    return name == poolNames_.end() ? nullptr : &pools_.at(name->second);
}

void ServerReach::onConnectFailed(ServerId const &server, Instant now)
{
    auto *pool = poolOf(server);
    if (!pool || pool->state != Pool::State::InReach)
        return;
    pool->failures[server] = now;
    std::erase_if(pool->failures, [&](auto const &failure) { return now - failure.second > options_.failureWindow; });
    if (pool->failures.size() >= std::min(options_.serversToSuspect, pool->servers.size()))
        pool->state = Pool::State::Suspected;
}

std::vector<ServerId> ServerReach::chooseChecks(Pool const &pool, RandomSource &random) const
{
    auto servers = pool.servers;
    std::shuffle(servers.begin(), servers.end(), random);
    // Those that have not failed are most likely to disprove the suspicion.
    std::stable_partition(servers.begin(), servers.end(), [&](ServerId const &id) { return !pool.failures.contains(id); });
    servers.resize(std::min(servers.size(), pool.state == Pool::State::Suspected ? options_.serversToCheck : 1));
    return servers;
}

std::vector<ServerId> ServerReach::takeChecks(Instant now, RandomSource &random)
{
    std::vector<ServerId> checks;
    for (auto &[name, pool] : pools_) {
        if (pool.state == Pool::State::InReach || !pool.checking.empty() || now < pool.nextCheckAt)
            continue;
        // Out of reach, each server is equally likely to be connected to first.
        if (pool.state == Pool::State::OutOfReach)
            pool.failures.clear();
        auto const chosen = chooseChecks(pool, random);
        pool.checking.insert(chosen.begin(), chosen.end());
        pool.nextCheckAt = now + options_.checkInterval;
        checks.insert(checks.end(), chosen.begin(), chosen.end());
    }
    return checks;
}

bool ServerReach::onChecked(ServerId const &server, bool isConnected, Instant now)
{
    auto *pool = poolOf(server);
    if (!pool || pool->checking.erase(server) == 0)
        return false;
    bool const wasOutOfReach = pool->state == Pool::State::OutOfReach;
    if (isConnected) {
        pool->failures.clear();
        pool->checking.clear();
        pool->state = Pool::State::InReach;
        return wasOutOfReach;
    }
    if (wasOutOfReach || !pool->checking.empty())
        return false;
    pool->state = Pool::State::OutOfReach;
    pool->nextCheckAt = now + options_.checkInterval;
    for (auto &[name, other] : pools_) {
        if (other.state == Pool::State::InReach)
            other.state = Pool::State::Suspected;
    }
    return true;
}

bool ServerReach::isOutOfReach(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found != pools_.end() && found->second.state == Pool::State::OutOfReach;
}

bool ServerReach::isBeingChecked(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found != pools_.end() && found->second.state == Pool::State::Suspected;
}

std::set<PoolName> ServerReach::outOfReach() const
{
    std::set<PoolName> names;
    for (auto const &[name, pool] : pools_) {
        if (pool.state == Pool::State::OutOfReach)
            names.insert(name);
    }
    return names;
}

} // namespace Anvilyard::Serving
