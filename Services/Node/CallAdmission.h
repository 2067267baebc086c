#pragma once

#include "LibHttp/Refusal.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/NodeMetrics.h"

namespace Anvilyard::Node {

/// Asks the pool's FairAdmission whether one online request is served, and counts the request as in flight from then on.
class CallAdmission
{
public:
    struct Options {
        NodeContext &context;
        NodeMetrics &metrics;
        RequestId request;
        /// Priority of the customer, else of the route.
        Serving::Urgency urgency = Serving::Urgency::Highest;
        /// Empty for a caller without a key; unset if the desired state has no customers.
        std::optional<CustomerId> customer = {};
    };

    explicit CallAdmission(Options options);
    ~CallAdmission();
    CallAdmission(CallAdmission const &) = delete;
    CallAdmission &operator=(CallAdmission const &) = delete;

    /// Returns the refusal of a request whose first placement is this one; unset if it is admitted, if it was asked before, or if the
    /// placement is refused for another reason.
    [[nodiscard]] std::optional<Http::Refusal>
    refusalOf(PoolName const &pool, Serving::Placement const &placement, Duration latencyTarget, Instant now);
    /// Records that the request ended.
    void end();

private:
    [[nodiscard]] Serving::FairAdmission &fairness();
    void record(Serving::Placement const &placement, Serving::FairAdmissionVerdict const &verdict) const;

    Options options_;
    /// Pool of the first placement; a stream that goes on may change it before.
    PoolName pool_;
    bool isDecided_ = false;
    /// Set while the request is in flight.
    std::optional<Serving::RequestWeight> weight_;
};

} // namespace Anvilyard::Node
