#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibServing/ServerDirectory.h"
#include "LibServing/SoftwareVersion.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Anvilyard::Serving {

/// Encodes the versions of a pool as a record of the platform's store.
std::string encodeVersions(SoftwareVersions const &versions);
/// Fails with `ServingError::BadRecord` if the text is not a complete record.
Result<SoftwareVersions> decodeVersions(std::string_view text);

struct VersionRecordOptions {
    /// Time without servers of a version after which the record drops it. It exceeds the life of any stream, and the time for which an
    /// instance may use servers that others no longer see.
    Duration forgetTime = 2min;
    /// Time without servers of a version after which an instance no longer relies on its record. It is less than forgetTime.
    Duration trustTime = 1min;
};

/// Software versions of pools that the record in the platform's store contains, as far as this instance knows. A stream may begin only at a
/// version in the record. If the record contains a single version, each stream that callers may take up began at it, whatever an instance
/// that has just started knows. Performs no I/O.
class VersionRecord
{
public:
    explicit VersionRecord(VersionRecordOptions options = {});

    /// Sets the servers that this instance knows.
    void onServers(std::span<UsableServer const> servers, Instant now);
    /// Records that the record contains these versions, among others.
    void onRecorded(PoolName const &pool, SoftwareVersions const &versions, Instant now);
    /// Records that the record was read or written and contains just these versions.
    void onWritten(PoolName const &pool, SoftwareVersions const &versions, Instant now);
    /// Stops relying on versions without servers. Call at least once a second.
    void onTick(Instant now);

    [[nodiscard]] bool isRecorded(PoolName const &pool, SoftwareVersion const &version) const;
    /// Versions of the pool that are known to be in the record.
    [[nodiscard]] SoftwareVersions recorded(PoolName const &pool) const;
    /// The same for each pool.
    [[nodiscard]] std::map<PoolName, SoftwareVersions> all() const;
    /// Versions of the pool's servers.
    [[nodiscard]] SoftwareVersions inUse(PoolName const &pool) const;
    /// Pools with servers of versions that are not known to be in the record.
    [[nodiscard]] std::set<PoolName> incomplete() const;
    /// Pools whose record may contain versions that have had no servers for long.
    [[nodiscard]] std::set<PoolName> withForgotten(Instant now) const;
    /// Given the versions in the record, returns those that it should contain.
    [[nodiscard]] SoftwareVersions wanted(PoolName const &pool, SoftwareVersions const &stored, Instant now) const;

private:
    struct Pool {
        SoftwareVersions recorded;
        SoftwareVersions inUse;
        /// When servers of a version were last known; for versions without any, when the instance first heard of the version.
        std::map<SoftwareVersion, Instant> seenAt;
    };

    VersionRecordOptions options_;
    std::map<PoolName, Pool> pools_;
};

} // namespace Anvilyard::Serving
