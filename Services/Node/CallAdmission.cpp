#include "Services/Node/CallAdmission.h"

#include "LibObserve/Events.h"
#include "Services/Node/NodeRefusals.h"

namespace Anvilyard::Node {

using Serving::FairAdmissionVerdict;
using Serving::Placement;

namespace {

std::string_view nameOf(FairAdmissionVerdict::Outcome outcome)
{
    switch (outcome) {
    case FairAdmissionVerdict::Outcome::Admitted:
        return "admitted";
    case FairAdmissionVerdict::Outcome::ShortOfCapacity:
        return "short-of-capacity";
    case FairAdmissionVerdict::Outcome::OverShare:
        return "over-share";
    }
    return "unknown";
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string percent(double share)
{
    constexpr double Percent = 100;
    return std::to_string(static_cast<int>(share * Percent));
}

} // namespace

CallAdmission::CallAdmission(Options options)
    : options_(std::move(options))
{
}

CallAdmission::~CallAdmission()
{
    end();
}

std::optional<Http::Refusal> CallAdmission::refusalOf(PoolName const &pool, Placement const &placement, Duration latencyTarget, Instant now)
{
    // Limits of servers have a schedule of their own for refused callers.
    bool const isForLoad =
        placement.outcome == Placement::Outcome::Chosen || (placement.outcome == Placement::Outcome::Full && !placement.limitedRate);
    if (!options_.customer || !isForLoad || std::exchange(isDecided_, true))
        return std::nullopt;
    pool_ = pool;
    auto const verdict = fairness().decide({.customer = options_.customer,
                                            .urgency = options_.urgency,
                                            .shortestWait = placement.shortestWait,
                                            .latencyTarget = latencyTarget,
                                            .occupancy = placement.occupancy,
                                            .meanRun = options_.context.placement.meanRun(pool)},
                                           now,
                                           options_.context.random);
    if (verdict.outcome == FairAdmissionVerdict::Outcome::Admitted) {
        weight_ = fairness().onStarted(*options_.customer, std::nullopt);
        return std::nullopt;
    }
    record(placement, verdict);
    return verdict.outcome == FairAdmissionVerdict::Outcome::OverShare ? Refusals::overShare(verdict.retryAfter)
                                                                       : Refusals::overloaded(verdict.retryAfter);
}

void CallAdmission::end()
{
    if (auto const weight = std::exchange(weight_, std::nullopt))
        fairness().onFinished(*options_.customer, *weight);
}

Serving::FairAdmission &CallAdmission::fairness()
{
    return options_.context.fairness[pool_];
}

/// The fields are the inputs of the decision, so that a refusal can be explained later.
void CallAdmission::record(Placement const &placement, FairAdmissionVerdict const &verdict) const
{
    options_.metrics.onAdmissionRefused(nameOf(verdict.outcome), static_cast<std::size_t>(options_.urgency));
    Observe::log(Observe::Events::NodeAdmissionRefused,
                 {{"request", options_.request.value()},
                  {"pool", pool_.value()},
                  {"customer", options_.customer->value()},
                  {"reason", std::string(nameOf(verdict.outcome))},
                  {"urgency", std::to_string(static_cast<int>(options_.urgency))},
                  {"servers", std::to_string(placement.servers)},
                  {"shortest_wait_ms", milliseconds(placement.shortestWait)},
                  {"occupancy_percent", percent(placement.occupancy)},
                  {"pressure_percent", percent(verdict.pressure)},
                  {"customer_share_percent", percent(verdict.customerShare)},
                  {"admitted_percent", percent(verdict.admittedFraction)},
                  {"retry_after_ms", milliseconds(verdict.retryAfter)}});
}

} // namespace Anvilyard::Node
