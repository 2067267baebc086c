#pragma once

#include "LibYield/BatchGate.h"

namespace Anvilyard::Yield {

/// Batch slots of one engine. BatchGate has one instance for each engine that it owns. Performs no I/O.
class EngineGate
{
public:
    EngineGate(GateOptions const &options, GateLimits limits);

    void setLimits(GateLimits limits, Instant now);
    void onTally(InstanceId const &from, OnlineTally const &tally, Instant now);
    void forget(InstanceId const &instance, Instant now);
    void onLoad(EngineLoad const &load, Instant now);
    void onTokenGap(Duration gap, Instant now);
    /// Updates the slots to the current time.
    void update(Instant now);

    [[nodiscard]] std::uint32_t allowed() const;
    [[nodiscard]] std::uint64_t onlineInFlight() const;
    /// Next time at which update() may change the slots without a new event.
    [[nodiscard]] std::optional<Instant> nextTick() const;

private:
    struct Tally {
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        Instant expires;
    };

    [[nodiscard]] std::uint32_t budget() const;
    [[nodiscard]] std::uint64_t estimateOnline(Instant now) const;
    [[nodiscard]] bool isSignalFresh(Instant now) const;
    void growTowards(std::uint32_t target, Instant now);
    void dropExpiredTallies(Instant now);

    /// Factor by which the usual gap grows with each token, so that it adapts to an engine that became permanently slower.
    static constexpr double UsualGapDrift = 1.002;
    static constexpr std::uint32_t MinGapsForCongestion = 16;

    GateOptions const &options_;
    GateLimits limits_;
    std::uint32_t allowed_ = 0;
    std::map<InstanceId, Tally> tallies_;
    Instant talliesFreshUntil_ = Instant::min();
    Instant loadFreshUntil_ = Instant::min();
    /// Number of requests in the engine that are not own batch streams, in the two newest load reports. The lower value is used, as a
    /// report that lags behind own changes is too high.
    double foreign_ = 0;
    double foreignBefore_ = 0;
    bool isQueueing_ = false;
    std::optional<Instant> nextGrowth_;
    Instant congestedUntil_ = Instant::min();
    double usualGap_ = 0;
    std::uint32_t gapsSeen_ = 0;
};

} // namespace Anvilyard::Yield
