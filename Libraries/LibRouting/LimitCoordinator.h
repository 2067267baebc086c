#pragma once

#include "LibCore/Time.h"
#include "LibRouting/LimitExchange.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Routing {

struct LimitCoordinatorOptions {
    InstanceId self;
    /// Time over which a surplus of tokens is spent and a deficit is made up. At least twice the age of the counts, 100 ms, or the
    /// admission fraction oscillates.
    Duration settlingTime = 250ms;
    /// Time constant of the offered rate.
    Duration offeredWindow = 200ms;
    /// Time constant of the admitted rate of an entry, from which its share is computed.
    Duration shareWindow = 1s;
    /// Minimum time between two computations of an admission fraction.
    Duration fractionInterval = 10ms;
    /// An entry that has been silent for this long may be using its share without a reply. Entries report every 500 ms.
    Duration silenceTimeout = 1s;
    /// An entry that has been silent for this long may be using an equal share.
    Duration equalShareTimeout = 2s;
    /// An entry that has been silent for this long is no longer counted. Instances are cut off for 5 to 12 s.
    Duration forgetTimeout = 60s;
    /// Requests that an entry with new demand may admit before its next reply, besides its part of the level.
    double minAdvance = 2;
    /// Time for which an entry may go on at its own rate before its next reply. Entries report every 50 ms, and datagrams get lost.
    Duration advanceTime = 200ms;
    /// Requests, and part of what may be admitted in `toleranceWindow`, that are admitted beyond rate and burst, as random arrivals below
    /// the limit exceed it for short times. This is half of the agreed slack, 20 requests and a tenth of 5 s; the other half is left for
    /// counts that are still on their way.
    double tolerance = 10;
    double tolerancePart = 0.05;
    Duration toleranceWindow = 5s;
};

/// Does the accounting for the rate limits of customers over all entries, on the runner that coordinates them. Demand may be distributed
/// unevenly over hundreds of entries, shift between them and jump to several times the limit: every entry gets the same admission
/// fraction, which depends on the sum of demand only. Each customer has a token bucket whose level falls below zero when more was admitted
/// than was available, since entries decide on requests before they are counted here. Performs no I/O.
class LimitCoordinator
{
public:
    LimitCoordinator(LimitCoordinatorOptions options, Instant now);

    /// Replaces the limits of all customers. Customers keep their levels, up to the new burst.
    void setLimits(std::unordered_map<CustomerId, RequestLimit> const &limits, Instant now);
    /// Sets the entries that may be running. The equal shares of those that do not report are subtracted from the limits.
    void setKnownEntries(std::vector<InstanceId> const &entries, Instant now);
    /// Keeps entries from being forgotten that run without reporting here, such as those of an earlier build.
    void onEntriesAlive(std::vector<InstanceId> const &entries, Instant now);
    /// Processes a report and returns the grants for the customers in it. Customers without a limit get none.
    LimitReply onReport(LimitReport const &report, Instant now);

    struct LimitedCustomer {
        CustomerId customer;
        RequestLimit limit;
        double offeredPerSecond = 0;
    };

    /// Customers of whose requests some are refused now.
    [[nodiscard]] std::vector<LimitedCustomer> limitedCustomers(Instant now) const;

private:
    struct Entry {
        std::int64_t startedAt = 0;
        std::int64_t reportSentAt = 0;
        /// Unset if the entry is known but never reported here.
        std::optional<Instant> heardAt;
        /// When it was last known to be running.
        Instant aliveAt;
    };

    /// Usage of one customer at one entry.
    struct Usage {
        std::int64_t startedAt = 0;
        CustomerUsage counts;
        Instant countedAt;
        Instant demandAt = Instant::min();
        double admittedPerSecond = 0;
        double sharePerSecond = 0;
        /// Tokens withheld since the entry fell silent. They are given back when its counts arrive.
        double withheld = 0;
    };

    struct Customer {
        RequestLimit limit;
        double level = 0;
        Instant refilledAt;
        /// When counts of any entry last arrived.
        Instant countedAt = Instant::min();
        double offeredPerSecond = 0;
        double offeredSince = 0;
        Instant fractionAt;
        double fraction = 1;
        double admittedPerSecond = 0;
        /// Entries with recent demand, counted at each computation of the fraction.
        std::size_t activeEntries = 0;
        std::map<InstanceId, Usage> usage;
    };

    [[nodiscard]] bool isSilent(Entry const &entry, Instant now) const;
    [[nodiscard]] double capacityOf(Customer const &customer) const;
    /// Rate that a silent entry may be using.
    [[nodiscard]] double withheldRate(Customer const &customer, InstanceId const &id, Entry const &entry, Instant now) const;
    void refill(Customer &customer, Instant now);
    void charge(Customer &customer, LimitReport const &report, CustomerUsage const &counts, Instant now);
    /// Takes counts that another coordinator has charged as those from which increases are charged.
    void startCounting(Customer &customer, Usage &usage, LimitReport const &report, CustomerUsage const &counts, Instant now) const;
    void updateFraction(Customer &customer, Instant now);
    void updateShare(Customer const &customer, Usage &usage) const;
    /// Bounds what floods admit at an entry between two replies, without refusing what is left in the bucket.
    [[nodiscard]] double advanceFor(Customer const &customer, Usage const &usage, Instant now) const;
    void forgetSilent(Instant now);

    LimitCoordinatorOptions options_;
    std::map<InstanceId, Entry> entries_;
    std::unordered_map<CustomerId, Customer> customers_;
    Instant forgetAt_;
};

} // namespace Anvilyard::Routing
