#pragma once

#include "LibServing/FairAdmission.h"
#include "LibServing/OnlinePlacement.h"

#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace Anvilyard::Serving {

/// Load that changes over the time of a replay. All but the seconds are multiples of the usual.
struct ReplayLoad {
    std::string name;
    /// Mean arrivals, relative to what all servers can run.
    double mean = 0.7;
    Duration meanRun = 300ms;
    /// Factor on all arrivals at a time since the start.
    std::function<double(Duration)> factor = [](Duration) { return 1.0; };
    /// Factor on the arrivals of one customer.
    std::function<double(Duration)> floodFactor = [](Duration) { return 1.0; };
    /// Share of the servers that are lost.
    std::function<double(Duration)> lost = [](Duration) { return 0.0; };
    /// Items of batch jobs that wait for free slots from the sixth second on.
    std::size_t batchItems = 0;
};

/// Callers by what became of them.
struct ReplayCount {
    std::size_t callers = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    /// On time after a refusal.
    std::size_t onTimeAfterRetry = 0;
    [[nodiscard]] double shareOnTime() const;
    /// Value per caller as in the design page: 1.1 on time, 0.17 late, and their mean after a refusal.
    [[nodiscard]] double value() const;
    ReplayCount &operator+=(ReplayCount const &other);
};

struct ReplayResult {
    std::vector<ReplayCount> byCustomer;
    std::vector<ReplayCount> byUrgency = std::vector<ReplayCount>(3);
    ReplayCount all;
    /// The tenth of the callers with the largest requests.
    ReplayCount largest;
    std::size_t itemsDone = 0;
    std::size_t itemsCut = 0;
};

/// Entries that place requests with OnlinePlacement at a model of servers with slots, which run waiting requests in order of arrival. An
/// entry knows its own new requests, and those of all as of the last report. A caller that is refused comes back once, at another entry.
class OverloadReplay
{
public:
    enum class Decision {
        /// Serving::admit().
        ByLoad,
        /// FairAdmission.
        Fair,
    };

    static constexpr std::size_t Customers = 75;
    /// The customer whose rate `floodFactor` changes. It sends 5% of the requests usually.
    static constexpr std::size_t Flooding = 3;

    OverloadReplay(ReplayLoad load, Decision decision);
    ReplayResult run();

private:
    struct Caller {
        std::size_t customer = 0;
        bool isLarge = false;
        bool isRetry = false;
        /// Deadline of the caller, who honours Retry-After up to a third of the time left.
        Instant deadline;
    };

    struct Arrival {
        Instant at;
        Caller caller;
        bool operator>(Arrival const &other) const
        {
            return at > other.at;
        }
    };

    struct Finish {
        Instant at;
        std::size_t entry = 0;
        std::size_t server = 0;
        std::size_t customer = 0;
        RequestWeight weight;
        bool operator>(Finish const &other) const
        {
            return at > other.at;
        }
    };

    struct Server {
        /// End times of online requests, running or waiting.
        std::vector<Instant> ends;
        /// Ends of running batch items.
        std::vector<Instant> items;
        bool isLost = false;
    };

    struct Entry {
        FairAdmission admission;
        OnlinePlacement placement;
        /// Requests sent since the last report.
        LoadTracker sent = {};
    };

    [[nodiscard]] static Urgency urgencyOfCustomer(std::size_t customer);
    void addArrivals(Duration since);
    void addNewArrival(Instant at, std::size_t customer);
    void takeReports(Instant now);
    void loseServers(Instant now);
    void setServers();
    void startItems(Instant now);
    void handle(Arrival const &arrival);
    void send(std::size_t entryIndex, std::size_t serverIndex, Arrival const &arrival);
    void refuse(Arrival const &arrival, Duration retryAfter);
    void count(Caller const &caller, ReplayCount const &counted);
    [[nodiscard]] double uniform();

    ReplayLoad load_;
    Decision decision_;
    RandomSource random_{20261206};
    /// Arrivals and run times are the same for both decisions.
    RandomSource arrivalRandom_{7};
    std::vector<double> usualShare_;
    std::vector<Server> servers_;
    std::vector<Entry> entries_;
    /// Holds the requests of all entries as of the last report.
    PeerTable peers_{{.self = InstanceId("self")}};
    std::uint64_t reports_ = 0;
    std::priority_queue<Arrival, std::vector<Arrival>, std::greater<>> arrivals_;
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes_;
    std::size_t waitingItems_ = 0;
    ReplayResult result_;
};

} // namespace Anvilyard::Serving
