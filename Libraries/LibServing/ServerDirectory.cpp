#include "LibServing/ServerDirectory.h"

#include <algorithm>
#include <set>

namespace Anvilyard::Serving {

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : options_(options)
{
}

void ServerDirectory::onRegistryReturned(Instant now)
{
    graceUntil_ = now + options_.reregistrationTime;
}

void ServerDirectory::onListed(std::vector<ServerRecord> records, Instant now)
{
    std::set<ServerId> listed;
    for (auto &record : records) {
        listed.insert(record.id);
        onRegistered(std::move(record), now);
    }
    std::erase_if(entries_, [&](auto const &entry) {
        auto const &until = entry.second.leavingUntil;
        return until && now >= *until + options_.departedRetention && !listed.contains(entry.first);
    });
    std::vector<ServerId> missing;
    for (auto const &[id, entry] : entries_) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (auto const &id : missing)
        onUnregistered(id, now);
}

void ServerDirectory::onRegistered(ServerRecord record, Instant now)
{
    auto &entry = entries_[record.id];
    expireLapse(entry, now);
    // After a statement only a later start time shows a new process. A record of another writer may have none, and an old list an
    // earlier one.
    if (entry.leavingStatedBy && record.startedAt > *entry.leavingStatedBy)
        entry.leavingStatedBy.reset();
    bool const isSameProcess = entry.record.startedAt == record.startedAt || entry.leavingStatedBy.has_value();
    bool const wasLeaving = entry.leavingUntil.has_value() && isSameProcess;
    entry.record = std::move(record);
    entry.lapsedUntil.reset();
    if (entry.record.state == ServerRecord::State::Ready && !entry.leavingStatedBy) {
        entry.leavingUntil.reset();
        return;
    }
    if (!wasLeaving)
        markLeaving(entry, now);
}

void ServerDirectory::onUnregistered(ServerId const &id, Instant now)
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    // The entry is retained for a while, so that a repeated draining registration does not extend the last-resort time.
    if (entry.leavingUntil) {
        if (now >= *entry.leavingUntil + options_.departedRetention)
            entries_.erase(found);
        return;
    }
    if (entry.lapsedUntil) {
        expireLapse(entry, now);
        return;
    }
    if (now < graceUntil_)
        entry.lapsedUntil = graceUntil_;
    else
        markLeaving(entry, now);
}

bool ServerDirectory::onLeavingStated(ServerRecord const &server, Instant now)
{
    auto const found = entries_.find(server.id);
    if (found == entries_.end() || found->second.record.startedAt > server.startedAt)
        return false;
    auto &entry = found->second;
    if (entry.leavingStatedBy && *entry.leavingStatedBy >= server.startedAt)
        return false;
    entry.leavingStatedBy = server.startedAt;
    expireLapse(entry, now);
    entry.lapsedUntil.reset();
    if (!entry.leavingUntil)
        markLeaving(entry, now);
    return true;
}

void ServerDirectory::markLeaving(Entry &entry, Instant now)
{
    entry.leavingUntil = now + options_.lastResortTime;
}

/// Treats a server whose lapsed registration was not renewed as having left when its grace period ended.
void ServerDirectory::expireLapse(Entry &entry, Instant now) const
{
    if (entry.lapsedUntil && now >= *entry.lapsedUntil) {
        entry.leavingUntil = entry.lapsedUntil;
        entry.lapsedUntil.reset();
    }
}

std::optional<UsableServer> ServerDirectory::useOf(Entry const &entry, Instant now) const
{
    if (entry.lapsedUntil)
        return now < *entry.lapsedUntil ? std::optional(UsableServer{entry.record, ServerUse::Usable}) : std::nullopt;
    if (entry.leavingUntil)
        return now < *entry.leavingUntil ? std::optional(UsableServer{entry.record, ServerUse::LastResort}) : std::nullopt;
    return UsableServer{entry.record, ServerUse::Usable};
}

std::vector<UsableServer> ServerDirectory::usable(Instant now) const
{
    std::vector<UsableServer> servers;
    for (auto const &[id, entry] : entries_) {
        if (auto server = useOf(entry, now))
            servers.push_back(std::move(*server));
    }
    return servers;
}

std::optional<UsableServer> ServerDirectory::find(ServerId const &id, Instant now) const
{
    auto const found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : useOf(found->second, now);
}

std::optional<Instant> ServerDirectory::nextChange(Instant now) const
{
    std::optional<Instant> next;
    for (auto const &[id, entry] : entries_) {
        for (auto const &until : {entry.lapsedUntil, entry.leavingUntil}) {
            if (until && *until > now && (!next || *until < *next))
                next = until;
        }
    }
    return next;
}

} // namespace Anvilyard::Serving
