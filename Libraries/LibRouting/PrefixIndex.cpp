#include "LibRouting/PrefixIndex.h"

#include <algorithm>

namespace Anvilyard::Routing {

PrefixIndex::PrefixIndex(std::size_t capacity)
    : capacity_(capacity)
{
}

void PrefixIndex::add(ServerNumber server, std::span<std::uint64_t const> hashes)
{
    for (auto const hash : hashes) {
        auto const [position, isNew] = entries_.try_emplace(hash);
        auto &entry = position->second;
        if (isNew)
            entry.used = byRecency_.insert(byRecency_.begin(), hash);
        else
            byRecency_.splice(byRecency_.begin(), byRecency_, entry.used);
        addHolder(entry, server);
    }
    while (entries_.size() > capacity_) {
        entries_.erase(byRecency_.back());
        byRecency_.pop_back();
    }
}

void PrefixIndex::addHolder(Entry &entry, ServerNumber server)
{
    auto &holders = entry.holders;
    auto found = std::find_if(holders.begin(), holders.end(), [&](auto const &holder) { return holder.server == server; });
    if (found == holders.end())
        found = holders.end() - 1;
    *found = {.server = server, .epoch = epochOf(server)};
    // The newest holder is stored first, so the oldest one is replaced.
    std::rotate(holders.begin(), found, found + 1);
}

void PrefixIndex::confirm(ServerNumber server, std::uint64_t hash)
{
    if (auto const found = entries_.find(hash); found != entries_.end())
        addHolder(found->second, server);
}

void PrefixIndex::remove(ServerNumber server, std::uint64_t hash)
{
    auto const found = entries_.find(hash);
    if (found == entries_.end())
        return;
    for (auto &holder : found->second.holders) {
        if (holder.server == server)
            holder = {};
    }
}

void PrefixIndex::invalidateServer(ServerNumber server)
{
    if (epochs_.size() <= server)
        epochs_.resize(server + 1);
    ++epochs_[server];
}

void PrefixIndex::clear()
{
    entries_.clear();
    byRecency_.clear();
}

std::size_t PrefixIndex::size() const
{
    return entries_.size();
}

std::uint32_t PrefixIndex::epochOf(ServerNumber server) const
{
    return server < epochs_.size() ? epochs_[server] : 0;
}

} // namespace Anvilyard::Routing
