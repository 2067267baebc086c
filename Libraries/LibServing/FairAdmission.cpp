#include "LibServing/FairAdmission.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Anvilyard::Serving {

namespace {

/// Demand is decayed in steps, so that each request does not visit every customer.
constexpr Duration DecayStep = 50ms;
/// Recent demand below this is forgotten. One request falls below it after nine seconds.
constexpr double NegligibleDemand = 0.05;
/// Requests of one urgency, weighted by age, above which it counts as present.
constexpr double PresentArrivals = 0.25;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Falls from 1 at `from` to 0 at `until`.
double ramp(double value, double from, double until)
{
    return std::clamp((until - value) / (until - from), 0.0, 1.0);
}

} // namespace

FairAdmission::FairAdmission(FairAdmissionOptions options)
    : options_(options)
    , returns_(options.maxRetryAfter)
{
}

double FairAdmission::Demand::sum() const
{
    return recent + inFlight;
}

FairAdmissionVerdict FairAdmission::decide(FairAdmissionRequest const &request, Instant now, RandomSource &random)
{
    using Outcome = FairAdmissionVerdict::Outcome;
    FairAdmissionVerdict verdict{.pressure = pressureOf(request)};
    auto const byLoad = admitAfterWait(request.shortestWait, request.latencyTarget, options_.admission);
    if (!request.customer) {
        verdict.outcome = byLoad.isAdmitted ? Outcome::Admitted : Outcome::ShortOfCapacity;
        verdict.retryAfter = byLoad.retryAfter;
        return verdict;
    }
    decay(now);
    recordArrival(request);
    auto const demand = customers_[*request.customer].sum();
    verdict.customerShare = demand / totalDemand_;
    auto const ofCustomer = fractionOfCustomer(demand, std::min(verdict.pressure, options_.maxShed));
    auto const ofUrgency = fractionOfUrgency(request.urgency, verdict.pressure);
    auto const least = options_.minRelativeService * admitted_ / arrivals_;
    verdict.admittedFraction = std::max(ofCustomer * ofUrgency, std::min(least, 1.0));
    bool const isChosen = verdict.admittedFraction >= 1 || std::uniform_real_distribution<double>()(random) < verdict.admittedFraction;
    if (byLoad.isAdmitted && isChosen) {
        ++admitted_;
        return verdict;
    }
    verdict.outcome = byLoad.isAdmitted && ofCustomer < ofUrgency ? Outcome::OverShare : Outcome::ShortOfCapacity;
    auto const earliest = std::max(options_.admission.minRetryAfter, byLoad.retryAfter);
    verdict.retryAfter = returnDelay(request.urgency, earliest, now);
    return verdict;
}

/// The shortest wait of many servers is 0 until none has a free slot, and then at once a large part of the allowed wait if runs are long.
/// Requests wait before, as they are placed by loads of the past. The occupancy of all servers tells earlier and more gradually.
double FairAdmission::pressureOf(FairAdmissionRequest const &request) const
{
    auto const allowed = toSeconds(allowedWait(request.latencyTarget, options_.admission));
    auto const byWait = toSeconds(request.shortestWait) / std::max(1e-6, allowed);
    if (request.meanRun <= Duration::zero())
        return byWait;
    // At this occupancy the mean wait is the longest allowed one.
    auto const waiting = allowed / toSeconds(request.meanRun);
    auto const byOccupancy = ((request.occupancy - 1) / waiting - options_.shortFrom) / (1 - options_.shortFrom);
    return std::max(byWait, byOccupancy);
}

RequestWeight FairAdmission::onStarted(CustomerId const &customer, std::optional<WorkSize> work)
{
    auto const weight = sizeOf(work);
    customers_[customer].inFlight += weight;
    totalDemand_ += weight;
    return RequestWeight(weight);
}

void FairAdmission::onFinished(CustomerId const &customer, RequestWeight weight)
{
    auto const found = customers_.find(customer);
    if (found == customers_.end())
        return;
    auto const ended = std::min(found->second.inFlight, weight.value());
    found->second.inFlight -= ended;
    totalDemand_ -= ended;
}

void FairAdmission::decay(Instant now)
{
    if (now - decayedAt_ < DecayStep)
        return;
    auto const factor = std::exp2(-toSeconds(now - std::exchange(decayedAt_, now)) / toSeconds(options_.demandHalfLife));
    for (auto &[id, demand] : customers_)
        demand.recent *= factor;
    std::erase_if(customers_, [](auto const &entry) { return entry.second.sum() < NegligibleDemand; });
    totalDemand_ = 0;
    for (auto const &[id, demand] : customers_)
        totalDemand_ += demand.sum();
    for (auto &arrivals : arrivalsByUrgency_)
        arrivals *= factor;
    for (auto *sum : {&arrivals_, &admitted_, &knownWork_, &knownRequests_})
        *sum *= factor;
}

void FairAdmission::recordArrival(FairAdmissionRequest const &request)
{
    if (request.work) {
        knownWork_ += request.work->value();
        ++knownRequests_;
    }
    auto const size = sizeOf(request.work);
    customers_[*request.customer].recent += size;
    totalDemand_ += size;
    ++arrivalsByUrgency_[static_cast<std::size_t>(request.urgency)];
    ++arrivals_;
}

/// Size relative to the average request.
double FairAdmission::sizeOf(std::optional<WorkSize> work) const
{
    return work && knownWork_ > 0 ? work->value() * knownRequests_ / knownWork_ : 1;
}

double FairAdmission::fractionOfCustomer(double demand, double shed) const
{
    auto const tolerated = options_.tolerance * totalDemand_ / static_cast<double>(customers_.size());
    if (shed <= 0 || demand <= tolerated)
        return 1;
    std::vector<double> demands;
    for (auto const &[id, other] : customers_) {
        if (other.sum() > tolerated)
            demands.push_back(other.sum());
    }
    std::sort(demands.begin(), demands.end(), std::greater<>());
    // The level is lowered over the largest customers until what exceeds it is the part to refuse.
    auto const excess = shed * totalDemand_;
    double above = 0;
    double level = demands.front();
    for (std::size_t count = 1; count <= demands.size(); ++count) {
        above += demands[count - 1];
        level = (above - excess) / static_cast<double>(count);
        if (count == demands.size() || level >= demands[count])
            break;
    }
    return std::clamp(std::max(level, tolerated) / demand, 0.0, 1.0);
}

double FairAdmission::fractionOfUrgency(Urgency urgency, double pressure) const
{
    auto const own = arrivalsByUrgency_.begin() + static_cast<std::ptrdiff_t>(urgency);
    auto const moreUrgent = std::count_if(arrivalsByUrgency_.begin(), own, [](double arrivals) { return arrivals >= PresentArrivals; });
    if (moreUrgent == 0)
        return 1;
    return moreUrgent == 1 ? ramp(pressure, options_.firstRankFrom, options_.firstRankUntil)
                           : ramp(pressure, options_.lowerRanksFrom, options_.lowerRanksUntil);
}

Duration FairAdmission::returnDelay(Urgency urgency, Duration earliest, Instant now)
{
    // A sum that halves with the half-life holds the requests of this time.
    auto const remembered = toSeconds(options_.demandHalfLife) / std::log(2);
    return returns_.next(urgency, earliest, RequestRate(options_.returningShare * admitted_ / remembered), now);
}

} // namespace Anvilyard::Serving
