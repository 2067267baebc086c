#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Batch {

/// A backend server on which this process may currently run batch items.
struct SlotServer {
    ServerId id;
    std::set<ServiceName> services;
    std::uint32_t slots = 0;

    bool operator==(SlotServer const &) const = default;
};

/// Counts running items against the slots of each server. Performs no I/O.
class ServerSlots
{
public:
    void setServers(std::vector<SlotServer> servers);
    /// Returns the least loaded server of the service that has a free slot.
    [[nodiscard]] std::optional<ServerId> findFreeServer(ServiceName const &service, Instant now) const;
    [[nodiscard]] bool hasFreeSlot(ServerId const &server, Instant now) const;
    void acquire(ServerId const &server);
    void release(ServerId const &server);
    /// Assigns no items to the server until `until`, after it refused or failed one.
    void pause(ServerId const &server, Instant until);

    [[nodiscard]] bool isServed(ServiceName const &service) const;
    [[nodiscard]] std::uint32_t freeSlots(Instant now) const;
    [[nodiscard]] std::uint32_t totalSlots() const;
    /// Returns how many items must end on the server for the rest to fit into its slots.
    [[nodiscard]] std::uint32_t excess(ServerId const &server) const;
    [[nodiscard]] std::vector<ServerId> overloadedServers() const;

private:
    struct Entry {
        SlotServer server;
        std::uint32_t running = 0;
        Instant pausedUntil{};
    };

    std::map<ServerId, Entry> entries_;
};

} // namespace Anvilyard::Batch
