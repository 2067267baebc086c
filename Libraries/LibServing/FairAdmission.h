#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibServing/Admission.h"
#include "LibServing/ReturnSchedule.h"

#include <array>
#include <map>
#include <optional>

namespace Anvilyard::Serving {

/// Size of a request: prompt tokens and ten times the output tokens.
using WorkSize = StrongType<struct WorkSizeTag, double>;
/// Size of a request relative to the average one when it was sent.
using RequestWeight = StrongType<struct RequestWeightTag, double>;

struct FairAdmissionOptions {
    AdmissionOptions admission;
    /// Time after which a request counts half as demand. An entry with ten requests a second then knows the shares of large customers from
    /// about 30 requests, and follows a customer that sends more within a second.
    Duration demandHalfLife = 2s;
    /// Multiple of the mean demand of all customers up to which a customer is not refused for its share. Small samples of customers that
    /// send equally often differ by this much.
    double tolerance = 2;
    /// Largest share of the demand that is refused to customers over their share.
    double maxShed = 0.75;
    /// Share of requests that are admitted in spite of their customer's share and their urgency, relative to that of all requests. The
    /// requirement is 0.25; the rest allows for requests that are refused because servers are full.
    double minRelativeService = 0.4;
    /// Pressure from which less urgent requests are refused, and from which all of them are, if one class is more urgent and if several
    /// are. Pressure is 0 while capacity is not short, and 1 when the mean wait is the longest allowed one.
    /// With ramps from 0.3 to 0.8 and from 0.1 to 0.5, urgent requests waited so long in OverloadReplay that the least urgent were on time
    /// more often when they returned.
    double firstRankFrom = 0.1;
    double firstRankUntil = 0.5;
    double lowerRanksFrom = 0;
    double lowerRanksUntil = 0.3;
    /// Share of the rate of admitted requests that is assumed to be free for refused callers that return.
    /// With 0.3, more of them came back while the load was still high.
    double returningShare = 0.1;
    /// Share of the longest allowed wait that the mean wait reaches before capacity counts as short. With 0.35, OverloadReplay refused
    /// requests at a load just below the capacity, which lost 0.2% of the value; with 0.6, more requests were late.
    double shortFrom = 0.5;
    /// Longest Retry-After. Callers honour a third of their time, which is 5 s.
    Duration maxRetryAfter = 1500ms;
};

struct FairAdmissionRequest {
    /// Empty for a caller without a key; unset if the desired state has no customers.
    std::optional<CustomerId> customer = {};
    Urgency urgency = Urgency::Highest;
    /// Unset if unknown; the request counts as one of average size.
    std::optional<WorkSize> work = {};
    /// Shortest expected wait for a slot over the servers of the pool.
    Duration shortestWait{0};
    Duration latencyTarget = 1s;
    /// Online requests in flight per slot of the pool, and the time for which a request occupies one.
    double occupancy = 0;
    Duration meanRun{0};
};

struct FairAdmissionVerdict {
    enum class Outcome {
        Admitted,
        /// No server is expected to begin in time, or the time is left to more urgent requests.
        ShortOfCapacity,
        /// The customer has more than its share of the requests, and capacity is short.
        OverShare,
    } outcome = Outcome::Admitted;
    Duration retryAfter{0};
    /// How short capacity is; 1 if the wait is the longest allowed one.
    double pressure = 0;
    /// Share of the customer in the work that this entry has had lately.
    double customerShare = 0;
    /// Share of such requests that is admitted.
    double admittedFraction = 1;
};

/// Decides at arrival which requests of one pool are refused while its servers cannot serve all in time: those of customers with far more
/// than an equal share, as far as they exceed it, and the less urgent ones. Designed for one customer of many that sends several times its
/// usual rate, for load that rises to twice the mean within a moment, and for the loss of half the servers. It uses what one entry
/// observes: its own recent and running requests, and the expected wait. As the wait rises, more of the excess is refused, so that the wait
/// settles before other customers are refused. Without customers it decides as admit() does. Performs no I/O.
class FairAdmission
{
public:
    explicit FairAdmission(FairAdmissionOptions options = {});

    [[nodiscard]] FairAdmissionVerdict decide(FairAdmissionRequest const &request, Instant now, RandomSource &random);
    /// Records that an admitted request is sent. The returned weight is passed to onFinished() when it ends.
    RequestWeight onStarted(CustomerId const &customer, std::optional<WorkSize> work);
    void onFinished(CustomerId const &customer, RequestWeight weight);

private:
    /// A sum of which each part halves with the half-life.
    struct Demand {
        double recent = 0;
        double inFlight = 0;
        [[nodiscard]] double sum() const;
    };

    [[nodiscard]] double pressureOf(FairAdmissionRequest const &request) const;
    void decay(Instant now);
    void recordArrival(FairAdmissionRequest const &request);
    [[nodiscard]] double sizeOf(std::optional<WorkSize> work) const;
    /// Share of this customer's requests that may be admitted if `shed` of all demand has to be refused.
    [[nodiscard]] double fractionOfCustomer(double demand, double shed) const;
    [[nodiscard]] double fractionOfUrgency(Urgency urgency, double pressure) const;
    [[nodiscard]] Duration returnDelay(Urgency urgency, Duration earliest, Instant now);

    FairAdmissionOptions options_;
    std::map<CustomerId, Demand> customers_;
    /// Sum over all customers.
    double totalDemand_ = 0;
    std::array<double, UrgencyCount> arrivalsByUrgency_{};
    double arrivals_ = 0;
    double admitted_ = 0;
    /// Sizes of the requests whose size is known, and their number.
    double knownWork_ = 0;
    double knownRequests_ = 0;
    Instant decayedAt_{};
    ReturnSchedule returns_;
};

} // namespace Anvilyard::Serving
