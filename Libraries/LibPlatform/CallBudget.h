#pragma once

#include "LibCore/Random.h"
#include "LibCore/StrongType.h"
#include "LibPlatform/CallKind.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/OutagePacing.h"
#include "LibPlatform/TokenBucket.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace Anvilyard::Platform {

using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/// The platform's call limits for all instances together.
struct FleetLimits {
    double changesPerSecond = 400;
    double readsPerSecond = 2000;
};

struct CallBudgetOptions {
    FleetLimits fleet;
    /// Fraction of the limits that is distributed among the instances. Their calls are not synchronised, so some seconds have
    /// more calls than the average.
    double usableShare = 0.9;
    /// Fraction of the instance's share for this budget, if several processes or threads of an instance have a budget each.
    double processShare = 1;
    /// Used until the number is known. Too high a value wastes calls for a short time, too low a value could exceed the limit.
    std::size_t liveInstances = 9;
    /// Size of the token buckets, as the time in which the rate fills them.
    Duration burst = 1s;
    /// Maximum length of the queue of one class and kind.
    std::size_t queueLimit = 512;
    OutagePacingOptions pacing;
};

enum class CallDecision {
    Start,
    /// Nothing was sent: the queue was full, or the call's deadline passed while it was queued.
    Refuse,
};

struct CallAction {
    CallId id;
    CallDecision decision = CallDecision::Start;
};

struct CallRequest {
    CallId id;
    CallClass callClass = CallClass::Read;
    CallKind kind = CallKind::Read;
    /// Time until which the call may wait in the queue.
    Instant deadline;
};

struct ClassCounters {
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::size_t waiting = 0;
};

/// Limits the calls of one process to its share of the platform's limits, which is the fleet's limit divided by the number of
/// live instances. Waiting calls start in the order of their classes. One token is reserved for leases, so that they never
/// wait behind a burst of other calls.
class CallBudget
{
public:
    static constexpr std::size_t ClassCount = 4;

    CallBudget(CallBudgetOptions options, Instant now, RandomSource random);

    std::vector<CallAction> onCall(CallRequest const &request, Instant now);
    std::vector<CallAction> onOutcome(CallOutcome outcome, Instant now);
    std::vector<CallAction> onTimer(Instant now);
    void onLiveInstances(std::size_t count, Instant now);

    /// Time at which onTimer() is due, or Instant::max() if no call waits.
    [[nodiscard]] Instant nextTimer() const;
    [[nodiscard]] ClassCounters counters(CallClass callClass) const;
    [[nodiscard]] bool isOutage() const;

private:
    struct Waiting {
        CallId id;
        Instant deadline;
    };
    static constexpr std::size_t KindCount = 2;

    using Queues = std::array<std::deque<Waiting>, ClassCount>;

    [[nodiscard]] double rateOf(CallKind kind) const;
    [[nodiscard]] double burstOf(CallKind kind) const;
    void refill(Instant now);
    void refuseOverdue(Instant now, std::vector<CallAction> &actions);
    void startWaiting(Instant now, std::vector<CallAction> &actions);
    bool tryStartOne(CallKind kind, Instant now, std::vector<CallAction> &actions);

    CallBudgetOptions options_;
    RandomSource random_;
    OutagePacing pacing_;
    std::array<TokenBucket, KindCount> buckets_;
    std::array<Queues, KindCount> queues_;
    std::array<ClassCounters, ClassCount> counters_;
    Instant lastRefill_;
};

} // namespace Anvilyard::Platform
