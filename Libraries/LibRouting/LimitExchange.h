#pragma once

#include "LibCore/Ids.h"

#include <cstdint>
#include <vector>

namespace Anvilyard::Routing {

/// Rate limit of one customer over all instances.
struct RequestLimit {
    double perSecond = 0;
    /// Requests that are admitted beyond the rate after a time with fewer requests.
    double burst = 0;

    bool operator==(RequestLimit const &) const = default;
};

/// Requests of one customer that an entry has decided on since its process started.
struct CustomerUsage {
    CustomerId customer;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// How often the entry has changed the coordinator of the customer. What it decided on under another coordinator was charged there.
    std::uint64_t coordinatorChanges = 0;

    bool operator==(CustomerUsage const &) const = default;
};

/// Report of an entry to the coordinator of some customers. Counts are cumulative, so lost, duplicated and reordered reports do no harm.
struct LimitReport {
    InstanceId entry;
    /// Start time of the entry's process. Together with `sentAt` it orders the reports of an entry.
    std::int64_t startedAt = 0;
    /// Local clock of the entry in microseconds. The reply repeats it, so that its age is known whatever the delay.
    std::int64_t sentAt = 0;
    std::vector<CustomerUsage> usage;

    bool operator==(LimitReport const &) const = default;
};

/// What an entry may admit of one customer's requests.
struct LimitGrant {
    CustomerId customer;
    /// Part of the requests that are admitted, from 0 to 1.
    double fraction = 1;
    /// Requests per second that the entry may admit while it gets no replies. The shares of all entries add up to the limit.
    double sharePerSecond = 0;
    /// Admitted requests of the entry that the coordinator has counted.
    std::uint64_t counted = 0;
    /// Requests that the entry may admit beyond these before its next reply.
    double advance = 0;

    bool operator==(LimitGrant const &) const = default;
};

/// Reply of a coordinator to a report.
struct LimitReply {
    InstanceId coordinator;
    /// From the report.
    std::int64_t startedAt = 0;
    std::int64_t reportSentAt = 0;
    std::vector<LimitGrant> grants;

    bool operator==(LimitReply const &) const = default;
};

} // namespace Anvilyard::Routing
