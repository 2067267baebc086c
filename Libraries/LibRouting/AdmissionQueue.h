#pragma once

#include "LibCore/Ids.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Routing {

/// Identifies a waiting request to the owner of the queue.
using Ticket = StrongType<struct TicketTag, std::uint64_t>;

struct AdmissionQueueOptions {
    std::size_t maxLength = 256;
    /// Upper bound of the wait, however late the deadline is. A short wait and a clear refusal are better than a long wait.
    Duration maxWait = 2s;
};

/// Requests that wait for capacity on the backend servers of one pool. Customers take turns; the requests of one customer are
/// taken by earliest deadline. If the queue is full, the customer with the most waiting requests loses the one with the
/// latest deadline. Performs no I/O.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(AdmissionQueueOptions options);

    /// Adds a request. Returns the request that must be refused because the queue is full, which may be the same one.
    std::optional<Ticket> enqueue(Ticket ticket, CustomerId const &customer, Instant deadline, Instant now);
    /// Removes and returns the next request, or returns `std::nullopt` if none waits.
    std::optional<Ticket> takeNext();
    /// Removes and returns the requests whose wait has expired; the caller refuses them.
    std::vector<Ticket> takeExpired(Instant now);
    /// Removes a request whose caller has disconnected.
    void remove(Ticket ticket);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

private:
    struct Waiting {
        Instant expiresAt;
        Ticket ticket;
        auto operator<=>(Waiting const &) const = default;
    };

    struct Customer {
        /// Sorted by expiry, the earliest first.
        std::vector<Waiting> waiting;
        std::uint64_t lastTurn = 0;
    };

    [[nodiscard]] Ticket evictOne();

    AdmissionQueueOptions options_;
    std::map<CustomerId, Customer> customers_;
    std::size_t size_ = 0;
    std::uint64_t turn_ = 0;
};

} // namespace Anvilyard::Routing
