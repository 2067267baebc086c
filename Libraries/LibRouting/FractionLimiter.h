#pragma once

#include "LibCore/Time.h"
#include "LibRouting/LimitExchange.h"
#include "LibRouting/RateLimiter.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Routing {

struct FractionLimiterOptions {
    InstanceId self;
    /// Start time of this process in the reports.
    std::int64_t startedAt = 0;
    /// Time from the report for which a grant is valid.
    Duration grantLifetime = 2s;
    /// Time without a reply after which the share limits this entry. Replies take milliseconds, and a lost one is followed by the next
    /// after 50 ms.
    Duration replyTimeout = 200ms;
    /// Minimum time between two reports to one coordinator.
    Duration reportInterval = 50ms;
    /// Minimum time between two reports if half of what may be admitted before the next reply is used up.
    Duration urgentReportInterval = 5ms;
    /// Maximum time between two reports to one coordinator. Grants are renewed several times within their lifetime.
    Duration idleReportInterval = 500ms;
    /// Interval of reports to a coordinator that does not reply. It may run a build that logs each one.
    Duration unansweredReportInterval = 1s;
    /// A coordinator that has not replied for this long does not reply.
    Duration unansweredTimeout = 3s;
    /// Customers without demand that a report asks grants for. Beyond this number they take turns.
    std::size_t idleCustomersPerReport = 150;
    /// A customer with requests within this time is in every report to its coordinator.
    Duration demandRetention = 2s;
    /// Requests that all entries together may admit at once without grants. It is part of the agreed slack of 20 requests.
    double ungrantedRequests = 5;
    /// Bounds of the time after which refused callers may return.
    Duration minRetryAfter = 100ms;
    Duration maxRetryAfter = 5s;
    /// Returns the runner that coordinates the limit of a customer; `std::nullopt` if none is known.
    std::function<std::optional<InstanceId>(CustomerId const &)> coordinatorOf;
};

/// Admits the requests of customers with rate limits at one entry. Of each customer, the fraction that its coordinator granted is admitted,
/// which uses the whole limit however demand is distributed over entries. Without a current reply the entry is limited to its share, and
/// without a valid grant to an equal share of the limit and a small allowance. Performs no I/O, and tryAdmit() neither waits nor allocates
/// memory for a known customer.
class FractionLimiter
{
public:
    explicit FractionLimiter(FractionLimiterOptions options);

    /// Replaces the limits of all customers.
    void setLimits(std::unordered_map<CustomerId, RequestLimit> const &limits, Instant now);
    /// Sets the number of entries that may be running, this one included.
    void setKnownEntries(std::size_t count);
    /// Call when coordinators may have changed.
    void refreshCoordinators();

    /// Counts a request. Returns `std::nullopt` if it is admitted, which requests of unknown customers always are, and otherwise the time
    /// after which the caller may retry.
    [[nodiscard]] std::optional<Duration> tryAdmit(CustomerId const &customer, Instant now);
    /// Reports that are due, by coordinator. Call about 20 times a second, and after a request when isReportUrgent().
    [[nodiscard]] std::vector<std::pair<InstanceId, LimitReport>> takeReports(Instant now);
    /// Whether a report is due because of a request since the last call of takeReports(). Coordinators learn of new demand at once.
    [[nodiscard]] bool isReportUrgent() const;
    void onReply(LimitReply const &reply, Instant now);

    /// Number of customers with recent requests and without a valid grant.
    [[nodiscard]] std::size_t ungrantedWithDemand(Instant now) const;

    struct CustomerCounts {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        /// The admission fraction; unset without a valid grant.
        std::optional<double> fraction;
    };

    /// Counts since the start, by customer.
    [[nodiscard]] std::map<CustomerId, CustomerCounts> counts(Instant now) const;

private:
    struct Coordinator {
        Instant reportedAt = Instant::min();
        Instant firstReportedAt = Instant::min();
        /// The last report that asked grants for customers without demand.
        Instant regularlyReportedAt = Instant::min();
        Instant repliedAt = Instant::min();
        /// Position among the customers without demand.
        std::size_t nextIdle = 0;
        std::vector<CustomerId> customers;
    };

    struct Customer {
        RequestLimit limit;
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        Instant demandAt = Instant::min();
        /// The first request since the last reply.
        std::optional<Instant> unansweredSince;
        double fraction = 1;
        double credit = 0;
        /// Number of admitted requests up to which the grant holds.
        double admittedUntil = 0;
        /// Number of admitted requests from which the next report is urgent.
        double urgentFrom = 0;
        Instant grantUntil = Instant::min();
        std::int64_t grantSentAt = 0;
        /// Limits this entry without a current reply.
        RateLimiter share;
        double sharePerSecond = 0;
        Coordinator *coordinator = nullptr;
        /// The last one that was known.
        std::optional<InstanceId> lastCoordinator = {};
        std::uint64_t coordinatorChanges = 0;
    };

    [[nodiscard]] bool decide(Customer &customer, Instant now);
    [[nodiscard]] double equalShare(Customer const &customer) const;
    /// Requests that this entry may admit at once without a grant.
    [[nodiscard]] double allowanceFor(CustomerId const &id) const;
    [[nodiscard]] Duration retryAfter(Customer const &customer, Instant now);
    enum class Demand {
        None,
        Some,
        /// What may be admitted before the next reply is nearly used up.
        Urgent,
    };

    [[nodiscard]] static Demand demandOf(Customer const &customer);
    [[nodiscard]] bool isDue(Coordinator const &coordinator, Demand demand, Instant now) const;
    [[nodiscard]] std::optional<LimitReport> composeFor(Coordinator &coordinator, Instant now);

    FractionLimiterOptions options_;
    std::size_t knownEntries_ = 1;
    std::unordered_map<CustomerId, Customer> customers_;
    std::map<InstanceId, Coordinator> coordinators_;
    bool isReportUrgent_ = false;
    std::uint64_t refusals_ = 0;
};

} // namespace Anvilyard::Routing
