#pragma once

#include "LibCore/Time.h"
#include "LibFleet/FleetView.h"
#include "LibServing/SoftwareVersion.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Serving {

/// Registration of a backend server.
struct ServerRecord {
    ServerId id;
    PoolName pool;
    Address address;
    DataCentreId dataCentre;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    enum class State {
        Ready,
        Draining,
    } state = State::Ready;
    /// Start time as reported by the server, in Unix milliseconds. Another value under the same id means that the server restarted.
    std::int64_t startedAt = 0;
    /// Empty if the registration states none.
    SoftwareVersion softwareVersion;

    bool operator==(ServerRecord const &) const = default;
};

/// Whether a server may be used.
enum class ServerUse {
    Usable,
    /// The server is leaving or unregistered. For a short time it is still used if its pool has no other server.
    LastResort,
};

struct UsableServer {
    ServerRecord record;
    ServerUse use = ServerUse::Usable;
};

struct ServerDirectoryOptions {
    /// Time for which a leaving server may still receive requests if there is no other. It must receive none after 2 s; the
    /// difference covers the propagation delay of registration changes.
    Duration lastResortTime = 1s;
    /// Time after the registry's recovery within which servers renew registrations that lapsed during its outage.
    Duration reregistrationTime = 2s;
    /// Time for which the record of a departed server is retained. It exceeds any lag of the registry.
    Duration departedRetention = 10min;
};

/// Known backend servers, according to their registrations and their own statements that they leave. Designed for three situations: an
/// outage of the registry after which many registrations have lapsed although all servers are still running, servers that disappear from
/// it without notice, and servers that leave before their registration shows it. Performs no I/O.
class ServerDirectory
{
public:
    explicit ServerDirectory(ServerDirectoryOptions options);

    /// Replaces all registrations with a complete listing.
    void onListed(std::vector<ServerRecord> records, Instant now);
    void onRegistered(ServerRecord record, Instant now);
    void onUnregistered(ServerId const &id, Instant now);
    /// Called when a server stated in a response that it is leaving. This holds until another process registers under its id, whatever
    /// the registration of this process says, as registrations lag. Returns whether it is new.
    bool onLeavingStated(ServerRecord const &server, Instant now);
    /// Called when the registry responds again after an outage.
    void onRegistryReturned(Instant now);

    /// All servers that may receive requests, including last-resort ones.
    [[nodiscard]] std::vector<UsableServer> usable(Instant now) const;
    [[nodiscard]] std::optional<UsableServer> find(ServerId const &id, Instant now) const;
    /// Next time at which usable() changes without a new event; `std::nullopt` if there is none.
    [[nodiscard]] std::optional<Instant> nextChange(Instant now) const;

private:
    struct Entry {
        ServerRecord record;
        /// The registration is missing, but the server stays fully usable until this time.
        std::optional<Instant> lapsedUntil;
        /// The server is a last resort until this time and unusable afterwards.
        std::optional<Instant> leavingUntil;
        /// Start time of the server process that stated that it is leaving.
        std::optional<std::int64_t> leavingStatedBy;
    };

    void markLeaving(Entry &entry, Instant now);
    void expireLapse(Entry &entry, Instant now) const;
    [[nodiscard]] std::optional<UsableServer> useOf(Entry const &entry, Instant now) const;

    ServerDirectoryOptions options_;
    std::map<ServerId, Entry> entries_;
    /// Until this time, missing registrations are attributed to an outage of the registry.
    Instant graceUntil_ = Instant::min();
};

} // namespace Anvilyard::Serving
