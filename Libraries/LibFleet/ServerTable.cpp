#include "LibFleet/ServerTable.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include <xxhash.h>

namespace Anvilyard::Fleet {

namespace {

constexpr std::size_t SendsPerDoubling = 3;

bool isSame(BackendServer const &left, BackendServer const &right)
{
    return std::tie(left.pool, left.address, left.dataCentre, left.state)
        == std::tie(right.pool, right.address, right.dataCentre, right.state);
}

bool isSame(std::optional<BackendServer> const &left, std::optional<BackendServer> const &right)
{
    if (!left || !right)
        return left.has_value() == right.has_value();
    return isSame(*left, *right);
}

/// Two watchers may assign one version to different values. The more cautious value then takes precedence on every instance.
auto precedence(ServerRecord const &record)
{
    auto const &server = record.server;
    return std::tuple(record.version, record.presence, server.state, server.address, server.pool, server.dataCentre);
}

std::uint64_t hashOf(ServerRecord const &record)
{
    auto const &server = record.server;
    auto text = server.id.value() + '\n' + server.pool.value() + '\n' + server.address.value() + '\n' + server.dataCentre.value();
    text.push_back(static_cast<char>(server.state));
    text.push_back(static_cast<char>(record.presence));
    return XXH3_64bits_withSeed(text.data(), text.size(), record.version);
}

} // namespace

ServerTable::ServerTable(ServerTableOptions options)
    : options_(options)
{
}

bool ServerTable::onListRead(std::vector<BackendServer> const &listed, Instant now)
{
    std::map<ServerId, BackendServer const *> byId;
    for (auto const &server : listed)
        byId[server.id] = &server;
    // Servers that are stored or were observed before but are no longer listed count as read, too.
    std::set<ServerId> ids;
    for (auto const &[id, server] : byId)
        ids.insert(id);
    for (auto const &[id, entry] : entries_)
        ids.insert(id);
    for (auto const &[id, observation] : observations_)
        ids.insert(id);
    auto changed = !isPopulated_;
    isPopulated_ = true;
    for (auto const &id : ids) {
        auto const server = byId.find(id);
        recordRead(id, server == byId.end() ? std::nullopt : std::optional(*server->second));
        changed = adopt(id, observations_[id], now) || changed;
    }
    return changed;
}

void ServerTable::recordRead(ServerId const &id, std::optional<BackendServer> const &value)
{
    auto const [entry, isFirst] = observations_.try_emplace(id);
    auto &observation = entry->second;
    if (isFirst || !isSame(observation.value, value)) {
        observation.change = isFirst ? Observation::Change::NotObserved : Observation::Change::Observed;
        observation.value = value;
        observation.equalReads = 0;
    }
    ++observation.equalReads;
}

std::uint32_t ServerTable::readsNeeded(Observation const &observation, Entry const *entry) const
{
    auto const isNew = entry == nullptr;
    auto const isLeaving = observation.value && observation.value->state == ServerState::Leaving;
    // A new or leaving server does no harm if the read was stale.
    if (isNew || isLeaving)
        return 1;
    if (observation.value && entry->record.server.state == ServerState::Leaving && entry->record.presence == ServerPresence::Listed)
        return options_.readsToRestore;
    return observation.change == Observation::Change::Observed ? options_.readsAfterChange : options_.readsWithoutChange;
}

bool ServerTable::adopt(ServerId const &id, Observation &observation, Instant now)
{
    auto const found = entries_.find(id);
    auto const *entry = found == entries_.end() ? nullptr : &found->second;
    std::optional<BackendServer> storedValue;
    if (entry != nullptr && entry->record.presence == ServerPresence::Listed)
        storedValue = entry->record.server;
    if (isSame(observation.value, storedValue) || observation.equalReads < readsNeeded(observation, entry))
        return false;
    // The difference is resolved; another one must be observed again.
    observation.change = Observation::Change::NotObserved;
    ServerRecord record{.version = entry == nullptr ? 1 : entry->record.version + 1};
    if (observation.value) {
        record.server = *observation.value;
    } else {
        record.server = entry->record.server;
        record.server.state = ServerState::Leaving;
        record.presence = ServerPresence::Removed;
    }
    store(std::move(record), now);
    pendingUpdates_.add(id);
    return true;
}

void ServerTable::store(ServerRecord record, Instant now)
{
    auto const id = record.server.id;
    auto &entry = entries_[id];
    entry.recordExpiresAt.reset();
    if (record.presence == ServerPresence::Removed) {
        entry.recordExpiresAt = now + options_.removedRetention;
        nextExpiry_ = std::min(nextExpiry_.value_or(*entry.recordExpiresAt), *entry.recordExpiresAt);
    }
    entry.record = std::move(record);
    digest_.reset();
}

bool ServerTable::merge(std::vector<ServerRecord> const &records, Instant now)
{
    bool changed = false;
    for (auto const &record : records) {
        auto const found = entries_.find(record.server.id);
        if (found != entries_.end() && precedence(record) <= precedence(found->second.record))
            continue;
        store(record, now);
        // Complete tables are sent only on request and are not passed on, since other peers have them already.
        if (records.size() <= options_.recordsPerMessage)
            pendingUpdates_.add(record.server.id);
        isPopulated_ = true;
        changed = true;
    }
    return changed;
}

bool ServerTable::setLeavingByRule(std::set<ServerId> leaving)
{
    if (leaving == leavingByRule_)
        return false;
    leavingByRule_ = std::move(leaving);
    return true;
}

void ServerTable::onTick(Instant now)
{
    if (!nextExpiry_ || now < *nextExpiry_)
        return;
    nextExpiry_.reset();
    std::erase_if(entries_, [&](auto const &entry) {
        auto const &recordExpiresAt = entry.second.recordExpiresAt;
        auto const isForgotten = recordExpiresAt && *recordExpiresAt <= now;
        if (isForgotten)
            pendingUpdates_.remove(entry.first);
        else if (recordExpiresAt)
            nextExpiry_ = std::min(nextExpiry_.value_or(*recordExpiresAt), *recordExpiresAt);
        return isForgotten;
    });
}

void ServerTable::stopWatching()
{
    observations_.clear();
}

std::vector<BackendServer> ServerTable::servers() const
{
    std::vector<BackendServer> servers;
    for (auto const &[id, entry] : entries_) {
        if (entry.record.presence == ServerPresence::Removed)
            continue;
        servers.push_back(entry.record.server);
        if (leavingByRule_.contains(id))
            servers.back().state = ServerState::Leaving;
    }
    return servers;
}

bool ServerTable::isPopulated() const
{
    return isPopulated_;
}

std::vector<ServerRecord> ServerTable::takeUpdates(std::size_t fleetSize)
{
    std::vector<ServerRecord> records;
    auto const sendLimit = SendsPerDoubling * (std::bit_width(fleetSize) + 1U);
    for (auto const &id : pendingUpdates_.take(options_.recordsPerMessage, sendLimit))
        records.push_back(entries_.at(id).record);
    return records;
}

void ServerTable::clearUpdates()
{
    pendingUpdates_.clear();
}

bool ServerTable::hasUpdates() const
{
    return !pendingUpdates_.empty();
}

std::vector<ServerRecord> ServerTable::allRecords() const
{
    std::vector<ServerRecord> records;
    for (auto const &[id, entry] : entries_)
        records.push_back(entry.record);
    return records;
}

std::uint64_t ServerTable::digest() const
{
    if (digest_)
        return *digest_;
    digest_ = 0;
    for (auto const &[id, entry] : entries_) {
        // Removed records expire at a different time on each instance.
        if (entry.record.presence == ServerPresence::Listed)
            *digest_ ^= hashOf(entry.record);
    }
    return *digest_;
}

} // namespace Anvilyard::Fleet
