#include "LibServing/ServerLimitTable.h"

#include <algorithm>

namespace Anvilyard::Serving {

ServerLimitTable::ServerLimitTable(ServerLimitTableOptions options)
    : options_(options)
{
}

bool ServerLimitTable::onResponse(ServerProcess const &server, StatedLimit const &stated, Instant sentAt, Instant now)
{
    switch (stated.kind) {
    case StatedLimit::Kind::NotStated:
    case StatedLimit::Kind::Unreadable:
        return false;
    case StatedLimit::Kind::Limited:
        removeOld(now);
        return apply({.server = server, .rate = stated.rate, .statedAt = now});
    case StatedLimit::Kind::Unlimited:
        break;
    }
    auto const known = limits_.find(server.id);
    if (known == limits_.end() || !known->second.rate || sentAt < known->second.statedAt)
        return false;
    return apply({.server = server, .rate = std::nullopt, .statedAt = now});
}

bool ServerLimitTable::merge(std::span<ServerLimit const> limits, Instant now)
{
    bool isChanged = false;
    for (auto const &limit : limits)
        isChanged = apply(limit) || isChanged;
    removeOld(now);
    return isChanged;
}

bool ServerLimitTable::apply(ServerLimit const &limit)
{
    auto const [found, isNew] = limits_.try_emplace(limit.server.id, limit);
    auto &known = found->second;
    bool const isNewer = std::pair(limit.server.startedAt, limit.statedAt) > std::pair(known.server.startedAt, known.statedAt);
    if (!isNew && !isNewer)
        return false;
    bool const isChanged = isNew || known.server != limit.server || known.rate != limit.rate;
    known = limit;
    version_ += isChanged ? 1 : 0;
    return isChanged;
}

void ServerLimitTable::removeOld(Instant now)
{
    std::erase_if(limits_, [&](auto const &entry) {
        auto const retention = entry.second.rate ? options_.limitRetention : options_.endedRetention;
        return now - entry.second.statedAt >= retention;
    });
}

std::optional<RequestRate> ServerLimitTable::find(ServerProcess const &server) const
{
    auto const found = limits_.find(server.id);
    if (found == limits_.end() || found->second.server.startedAt < server.startedAt)
        return std::nullopt;
    return found->second.rate;
}

std::map<ServerId, ServerLimit> const &ServerLimitTable::all() const
{
    return limits_;
}

std::uint64_t ServerLimitTable::version() const
{
    return version_;
}

} // namespace Anvilyard::Serving
