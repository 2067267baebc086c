#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibFleet/PeerMessages.h"
#include "LibFleet/UpdateQueue.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Fleet {

struct ServerTableOptions {
    /// Number of consecutive equal reads before this watcher adopts a change that it observed itself.
    std::uint32_t readsAfterChange = 2;
    /// Number of consecutive equal reads before this watcher adopts a difference whose change it did not observe, as its own
    /// reads may be the stale ones.
    std::uint32_t readsWithoutChange = 5;
    /// Number of consecutive equal reads before a leaving server is restored.
    std::uint32_t readsToRestore = 10;
    /// Time for which the record of a removed server is kept, so that an older record does not restore it.
    Duration removedRetention = 30min;
    std::size_t recordsPerMessage = 16;
};

/// Table of the backend servers of all pools, combined from the platform's lagging instance list and the leaving lines of the
/// rules. Watchers read the list and pass changes to the other instances as versioned records. The same records in any order
/// result in the same table. Performs no I/O.
class ServerTable
{
public:
    explicit ServerTable(ServerTableOptions options);

    /// Processes a watcher's read of the complete list. Returns whether the table changed.
    bool onListRead(std::vector<BackendServer> const &listed, Instant now);
    /// Merges records from a peer. Returns whether the table changed.
    bool merge(std::vector<ServerRecord> const &records, Instant now);
    /// Sets the servers that the rules declare as leaving. Returns whether the set changed.
    bool setLeavingByRule(std::set<ServerId> leaving);
    void onTick(Instant now);
    /// Discards this process's own observations when it is no longer a watcher.
    void stopWatching();

    /// Returns the servers that the fleet routes to.
    [[nodiscard]] std::vector<BackendServer> servers() const;
    /// Returns whether servers were received from a watcher's read or from a peer.
    [[nodiscard]] bool isPopulated() const;
    /// Returns a bounded number of changed records for one message.
    std::vector<ServerRecord> takeUpdates(std::size_t fleetSize);
    [[nodiscard]] bool hasUpdates() const;
    /// Discards pending updates. To be called once peers have the same records.
    void clearUpdates();
    [[nodiscard]] std::vector<ServerRecord> allRecords() const;
    /// Equal on instances with the same records.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct Entry {
        ServerRecord record;
        std::optional<Instant> recordExpiresAt;
    };

    /// This watcher's own reads of one server; a missing value means that the server was not listed.
    struct Observation {
        std::optional<BackendServer> value;
        std::uint32_t equalReads = 0;
        enum class Change {
            NotObserved,
            Observed,
        } change = Change::NotObserved;
    };

    void recordRead(ServerId const &id, std::optional<BackendServer> const &value);
    [[nodiscard]] std::uint32_t readsNeeded(Observation const &observation, Entry const *entry) const;
    bool adopt(ServerId const &id, Observation &observation, Instant now);
    void store(ServerRecord record, Instant now);

    ServerTableOptions options_;
    std::map<ServerId, Entry> entries_;
    std::map<ServerId, Observation> observations_;
    std::set<ServerId> leavingByRule_;
    UpdateQueue<ServerId> pendingUpdates_;
    bool isPopulated_ = false;
    /// Not later than the first time at which a removed record expires.
    std::optional<Instant> nextExpiry_;
    /// Computed on demand after a change.
    mutable std::optional<std::uint64_t> digest_;
};

} // namespace Anvilyard::Fleet
