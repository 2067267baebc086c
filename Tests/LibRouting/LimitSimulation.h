#pragma once

#include "LibCore/Random.h"
#include "LibRouting/FractionLimiter.h"
#include "LibRouting/LimitCoordinator.h"

#include <memory>
#include <queue>
#include <set>
#include <variant>
#include <vector>

namespace Anvilyard::Testing {

struct LimitSimulationOptions {
    std::size_t entries = 55;
    std::size_t runners = 3;
    Routing::RequestLimit limit{.perSecond = 20, .burst = 20};
    std::uint64_t seed = 1;
    double lostShare = 0;
    double duplicatedShare = 0;
    /// Share of datagrams that arrive late, and so in another order.
    double delayedShare = 0;
    Duration delay = 1ms;
    Duration maxDelay = 300ms;
    /// Time after which instances consider a runner dead that they get nothing from.
    Duration peerTimeout = 1500ms;
};

/// Requests of one customer at many entries, the runners that coordinate its limit, and the network between them, on a simulated clock.
class LimitSimulation
{
public:
    struct Counts {
        std::size_t offered = 0;
        std::size_t admitted = 0;
        std::size_t datagrams = 0;
        /// Customers in all reports and grants in all replies.
        std::size_t records = 0;
    };

    explicit LimitSimulation(LimitSimulationOptions options);
    LimitSimulation(LimitSimulation const &) = delete;
    LimitSimulation &operator=(LimitSimulation const &) = delete;

    /// Sets the requests per second of all entries together.
    void setDemand(double perSecond);
    /// A share of the demand goes to some entries, chosen anew each time; the rest is spread evenly.
    void concentrateDemand(std::size_t entries, double share);
    void setLimit(Routing::RequestLimit const &limit);
    /// Entries from `firstEntry` and runners from `firstRunner` get nothing from the others any more.
    void partition(std::size_t firstEntry, std::size_t firstRunner);
    void heal();
    /// Ends the runner that coordinates the limit.
    void killCoordinator();
    void restartAll();
    void run(Duration duration);

    [[nodiscard]] Counts const &counts() const;
    /// Returns the largest number of requests admitted in any 5 s that end after `since`.
    [[nodiscard]] std::size_t worstWindow(Instant since = Instant{}) const;
    /// Returns how many may be admitted in 5 s by the agreement with operators.
    [[nodiscard]] static double allowedInWindow(Routing::RequestLimit const &limit);
    [[nodiscard]] Instant now() const;

private:
    struct Message {
        Instant arrivesAt;
        std::size_t entry = 0;
        std::size_t runner = 0;
        std::variant<Routing::LimitReport, Routing::LimitReply> content;

        bool operator>(Message const &other) const
        {
            return arrivesAt > other.arrivesAt;
        }
    };

    void startEntry(std::size_t index);
    void startRunner(std::size_t index);
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] bool isCut(std::size_t entry, std::size_t runner) const;
    [[nodiscard]] std::optional<InstanceId> coordinatorFor(std::size_t entry) const;
    void arrive();
    void report(std::size_t entry);
    void send(Message message);
    void deliver();
    void scheduleViewChange();

    LimitSimulationOptions options_;
    RandomSource random_;
    Instant now_{};
    std::int64_t starts_ = 0;
    std::vector<std::unique_ptr<Routing::FractionLimiter>> entries_;
    std::vector<Instant> nextTick_;
    std::vector<std::unique_ptr<Routing::LimitCoordinator>> runners_;
    /// Runners that each entry considers alive.
    std::vector<std::set<std::size_t>> views_;
    std::optional<Instant> viewChangeAt_;
    std::optional<std::pair<std::size_t, std::size_t>> cut_;
    double demand_ = 0;
    std::vector<std::size_t> busy_;
    double busyShare_ = 0;
    std::priority_queue<Message, std::vector<Message>, std::greater<>> network_;
    std::vector<Instant> admitted_;
    Counts counts_;
};

} // namespace Anvilyard::Testing
