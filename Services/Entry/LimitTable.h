#pragma once

#include "LibPeer/UsageReports.h"
#include "LibRouting/RateLimiter.h"
#include "LibRouting/ShareDivider.h"
#include "LibRules/RuleSet.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Anvilyard::Entry {

/// Identifies the customer and service that a limit applies to.
struct LimitKey {
    CustomerId customer;
    ServiceName service;
    auto operator<=>(LimitKey const &) const = default;
};

/// A limit from the rules. A rate that is not set is unlimited.
struct Limit {
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    bool operator==(Limit const &) const = default;
};

/// Returns the limit for a customer and service. The customer's own rule takes precedence over the rule for all customers.
std::optional<Limit> findLimit(Rules::RuleSet const &rules, LimitKey const &key);

/// Selects the keys that a usage report contains.
enum class UsageSelection {
    /// All keys with recent requests.
    Active,
    /// Keys that have had no share, or refusals because their share was too small, since the last report.
    ShareNeeded,
};

/// Enforces the limits in this process. Keeps local token buckets that fill at this instance's share, and the cumulative counts from
/// which the shares are calculated. Thread-safe; requests hold the lock only for the arithmetic of one key.
class LimitTable
{
public:
    explicit LimitTable(Routing::ShareDividerOptions options);

    /// Admits and counts a request, or returns how long it has to wait. Returns zero if it was admitted.
    [[nodiscard]] Duration admit(LimitKey const &key, Limit const &limit, std::size_t instances, Instant now);
    /// Charges the tokens that a finished request produced. Later requests wait for them.
    void chargeTokens(LimitKey const &key, std::uint64_t tokens, Instant now);

    /// Sets the callback that runs on a traffic thread when a key starts to need a share or a larger one.
    void onShareNeeded(std::function<void()> callback);
    /// Returns the counts for a report and resets the need of the keys in it.
    [[nodiscard]] std::vector<Peer::UsageCount> takeUsage(UsageSelection which, Instant now);
    /// Applies the share granted in reply to a report sent at `reportedAt`, unless a newer share is in force. The divider may already
    /// have calculated with the newer one.
    void applyShare(Peer::GrantedShare const &share, Instant reportedAt, Instant now);
    /// Returns the serial of the share last applied for a key, or 0 if there was none.
    [[nodiscard]] std::uint64_t shareSerial(LimitKey const &key);
    void removeIdle(Instant now);

private:
    struct Entry {
        Entry(Limit const &limit, double requestShare, double tokenShare, Instant now);

        Limit limit;
        Routing::RateLimiter requests;
        Routing::RateLimiter tokens;
        Instant shareExpiresAt;
        Instant shareReportedAt = Instant::min();
        Instant lastDemandAt;
        bool isShareNeeded = false;
        Peer::UsageCount count;
    };

    Entry &entryFor(LimitKey const &key, Limit const &limit, std::size_t instances, Instant now);
    /// Counts a request and returns how long it has to wait. Zero means that it is admitted.
    static Duration take(Entry &entry, Instant now);
    static bool isNewer(Peer::GrantedShare const &share, Instant reportedAt, Entry const &entry);
    static void setShares(Entry &entry, double requestShare, double tokenShare, Instant now);

    Routing::ShareDividerOptions options_;
    std::function<void()> onShareNeeded_;
    std::mutex mutex_;
    std::map<LimitKey, Entry> entries_;
};

} // namespace Anvilyard::Entry
