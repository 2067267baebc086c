#include "LibJobs/ItemPlacement.h"
#include "LibJobs/JobTracker.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace Anvilyard;
using namespace Anvilyard::Jobs;
using namespace Anvilyard::Serving;

namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr Duration Step = 10ms;
/// Time between two rounds of a runner, and between two reports to the runners of its data centre.
constexpr Duration RoundInterval = 50ms;
/// Time between two exchanges of load with other data centres.
constexpr Duration FarInterval = 250ms;
constexpr Duration RunTime = 4s;
PoolName const batchPool("p");

struct FleetOptions {
    /// Servers of each data centre.
    std::map<std::string, std::size_t> servers{{"a", 20}, {"b", 20}, {"c", 20}};
    /// Waiting items of each runner, by data centre.
    std::map<std::string, std::size_t> items;
    std::uint32_t slots = 7;
    unsigned seed = 1;
};

/// Fourteen runners of a large fleet in three data centres. Runners know the load of their data centre 50 ms late and the sums of others
/// 250 ms late.
class SimulatedFleet
{
public:
    struct Server {
        ServerId id;
        DataCentreId dataCentre;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
    };

    struct Runner {
        InstanceId id;
        DataCentreId dataCentre;
        PeerTable peers;
        LoadTracker load;
        JobTracker jobs{JobTrackerOptions{}};
        ItemPlacement placement;
        std::vector<PoolServer> servers = {};
        std::uint64_t reports = 0;
    };

    explicit SimulatedFleet(FleetOptions options)
        : options_(std::move(options))
        , random_(options_.seed)
    {
        for (auto const &[dataCentre, count] : options_.servers) {
            for (std::size_t number = 0; number < count; ++number)
                servers_.push_back({.id = ServerId(dataCentre + std::to_string(number)), .dataCentre = DataCentreId(dataCentre)});
        }
        for (std::size_t number = 0; number < 14; ++number) {
            std::string const dataCentre(1, "abc"[number % 3]);
            InstanceId const id("r" + std::to_string(number));
            runners_.push_back({.id = id,
                                .dataCentre = DataCentreId(dataCentre),
                                .peers = PeerTable({.self = id, .ownRole = InstanceRole::Runner, .dataCentre = DataCentreId(dataCentre)}),
                                .placement = ItemPlacement({.self = id})});
            auto &runner = runners_.back();
            runner.peers.setOwnStage(InstanceStage::Serving, Start);
            runner.peers.setFleetKind(FleetKind::Large);
            JobRecord record{.id = JobId("j" + std::to_string(number)), .host = "h"};
            auto const items = options_.items.find(dataCentre);
            for (std::size_t item = 0; items != options_.items.end() && item < items->second; ++item)
                record.items.push_back({.id = ItemId(std::to_string(item)), .target = "/x", .body = "body", .tokens = 100});
            auto const job = record.id;
            runner.jobs.add(std::move(record), {}, 0s, Start);
            runner.jobs.setPolicy(job, {.pool = batchPool, .maxAttempts = 3, .completionTarget = 18s, .giveUpAfter = 600s}, Start);
        }
        exchangeReports(true);
        exchangeSums();
        for (auto &runner : runners_) {
            std::vector<ItemServer> pool;
            for (auto const &server : servers_)
                pool.push_back({.id = server.id, .dataCentre = server.dataCentre, .acceptsNew = true});
            auto const assigned = runner.peers.itemServers(pool);
            for (auto const &server : servers_)
                runner.servers.push_back({.id = server.id,
                                          .slots = options_.slots,
                                          .isFar = server.dataCentre != runner.dataCentre,
                                          .isAssigned = assigned.contains(server.id),
                                          .acceptsNew = true});
        }
    }

    /// `online`: requests at each server from now on. They are reported like items.
    void setOnline(std::uint32_t online)
    {
        for (auto &server : servers_)
            server.online = online;
    }

    void run(Duration duration)
    {
        for (auto const until = now_ + duration; now_ < until; now_ += Step)
            step();
    }

    [[nodiscard]] std::size_t waitingIn(std::string const &dataCentre) const
    {
        std::size_t waiting = 0;
        for (auto const &runner : runners_) {
            if (runner.dataCentre.value() == dataCentre)
                waiting += runner.jobs.waiting(batchPool, now_);
        }
        return waiting;
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return waitingIn("a") + waitingIn("b") + waitingIn("c");
    }

    /// Requests and items at a server of a data centre, the most at any time.
    [[nodiscard]] std::uint32_t mostAt(std::string const &dataCentre) const
    {
        auto const found = most_.find(dataCentre);
        return found == most_.end() ? 0 : found->second;
    }

    /// Longest time for which items of a runner waited with none started.
    [[nodiscard]] Duration longestTimeWithoutStart() const
    {
        return longestTimeWithoutStart_;
    }

    /// Smallest and largest number of items of a runner that are running.
    [[nodiscard]] std::pair<std::size_t, std::size_t> runningByRunner() const
    {
        std::vector<std::size_t> running;
        for (auto const &runner : runners_)
            running.push_back(runner.jobs.counts().running);
        auto const [least, most] = std::minmax_element(running.begin(), running.end());
        return {*least, *most};
    }

    /// Longest time for which items of a runner waited while at least a quarter of the servers had half of their slots free.
    [[nodiscard]] Duration longestWaitBesideFreeServers() const
    {
        return longestWait_;
    }

private:
    struct Run {
        std::size_t runner;
        std::size_t server;
        ItemStart item;
        Instant until;
    };

    void step()
    {
        auto const elapsed = now_ - Start;
        endRuns();
        if (elapsed % FarInterval == Duration::zero())
            exchangeSums();
        if (elapsed % RoundInterval == Duration::zero())
            exchangeReports(elapsed % (2 * FarInterval) == Duration::zero());
        auto const rounds = static_cast<std::size_t>(RoundInterval / Step);
        for (std::size_t number = 0; number < runners_.size(); ++number) {
            if (static_cast<std::size_t>(elapsed / Step) % rounds == number % rounds)
                place(number);
        }
        for (auto const &server : servers_) {
            auto &most = most_[server.dataCentre.value()];
            most = std::max(most, server.online + server.batch);
        }
        measureWait();
    }

    void measureWait()
    {
        auto const freeServers = static_cast<std::size_t>(std::count_if(
            servers_.begin(), servers_.end(), [&](Server const &server) { return 2 * (server.online + server.batch) <= options_.slots; }));
        for (auto const &runner : runners_) {
            auto &wait = waits_[runner.id];
            bool const hasWaiting = runner.jobs.waiting(batchPool, now_) > 0;
            wait = hasWaiting && 4 * freeServers >= servers_.size() ? wait + Step : Duration::zero();
            longestWait_ = std::max(longestWait_, wait);
            auto &last = lastStarts_.try_emplace(runner.id, now_).first->second;
            if (!hasWaiting)
                last = now_;
            longestTimeWithoutStart_ = std::max(longestTimeWithoutStart_, now_ - last);
        }
    }

    void endRuns()
    {
        std::erase_if(runs_, [&](Run const &run) {
            if (now_ < run.until)
                return false;
            auto &runner = runners_[run.runner];
            runner.jobs.onSendEnded(run.item.job, run.item.index, SendEnd::Complete, now_);
            runner.load.onFinished(servers_[run.server].id, WorkClass::Batch);
            --servers_[run.server].batch;
            return true;
        });
    }

    void place(std::size_t number)
    {
        auto &runner = runners_[number];
        runner.peers.onTick(now_);
        ItemDemand const demand{.waiting = runner.jobs.waiting(batchPool, now_), .tokens = runner.jobs.waitingTokens()};
        for (auto const &change : runner.placement.plan(batchPool, runner.servers, demand, runner.load, runner.peers, now_)) {
            auto const server = static_cast<std::size_t>(
                std::find_if(servers_.begin(), servers_.end(), [&](Server const &known) { return known.id == change.server; })
                - servers_.begin());
            for (std::uint32_t count = 0; count < change.preempt; ++count)
                preempt(number, server);
            for (std::uint32_t count = 0; count < change.start; ++count)
                start(number, server);
        }
    }

    void start(std::size_t number, std::size_t server)
    {
        auto &runner = runners_[number];
        auto const next = runner.jobs.next(batchPool, RunTime, now_);
        ASSERT_TRUE(next);
        runner.jobs.onStarted(*next);
        runner.load.onStarted(servers_[server].id, WorkClass::Batch);
        ++servers_[server].batch;
        lastStarts_.insert_or_assign(runner.id, now_);
        auto const spread = std::chrono::milliseconds(std::uniform_int_distribution<int>(-1000, 1000)(random_));
        runs_.push_back({.runner = number, .server = server, .item = *next, .until = now_ + RunTime + spread});
    }

    void preempt(std::size_t number, std::size_t server)
    {
        auto const run =
            std::find_if(runs_.begin(), runs_.end(), [&](Run const &known) { return known.runner == number && known.server == server; });
        ASSERT_NE(run, runs_.end());
        auto &runner = runners_[number];
        runner.jobs.onSendEnded(run->item.job, run->item.index, SendEnd::Preempted, now_);
        runner.load.onFinished(servers_[server].id, WorkClass::Batch);
        --servers_[server].batch;
        runs_.erase(run);
    }

    /// Requests are those of one entry in each data centre, which sends them to the servers there.
    [[nodiscard]] LoadByServer onlineIn(DataCentreId const &dataCentre) const
    {
        LoadByServer load;
        for (auto const &server : servers_) {
            if (server.dataCentre == dataCentre && server.online > 0)
                load[server.id].online = server.online;
        }
        return load;
    }

    /// Delivers the reports of RoundInterval ago, and prepares the next ones.
    void exchangeReports(bool includesFar)
    {
        auto const previous = std::exchange(nextReports_, {});
        for (auto const &report : previous) {
            for (auto &receiver : runners_) {
                bool const isNear = receiver.dataCentre == report.dataCentre;
                if (!isNear && !includesFar)
                    continue;
                auto delivered = report;
                if (!isNear)
                    delivered.inFlight.clear();
                receiver.peers.onReport(std::move(delivered), now_);
            }
        }
        ++reportNumber_;
        for (auto const &runner : runners_)
            nextReports_.push_back({.sender = runner.id,
                                    .startedAt = 1,
                                    .number = reportNumber_,
                                    .nextWithin = 500ms,
                                    .role = InstanceRole::Runner,
                                    .dataCentre = runner.dataCentre,
                                    .inFlight = runner.load.all(),
                                    .waitingTokens = runner.jobs.waitingTokens()});
        for (auto const *dataCentre : {"a", "b", "c"})
            nextReports_.push_back({.sender = InstanceId(std::string("entry-") + dataCentre),
                                    .startedAt = 1,
                                    .number = reportNumber_,
                                    .nextWithin = 500ms,
                                    .dataCentre = DataCentreId(dataCentre),
                                    .inFlight = onlineIn(DataCentreId(dataCentre))});
        if (previous.empty())
            exchangeReports(true);
    }

    /// Delivers the sums of FarInterval ago, and prepares the next ones.
    void exchangeSums()
    {
        auto const previous = std::exchange(nextSums_, {});
        for (auto const &sum : previous) {
            for (auto &receiver : runners_) {
                if (receiver.dataCentre != sum.dataCentre)
                    receiver.peers.onSummary(sum, now_);
            }
        }
        ++sumNumber_;
        for (auto const *dataCentre : {"a", "b", "c"}) {
            LoadSummary sum{.relay = InstanceId(std::string("relay-") + dataCentre),
                            .position = {.startedAt = 1, .number = sumNumber_},
                            .dataCentre = DataCentreId(dataCentre),
                            .near = onlineIn(DataCentreId(dataCentre))};
            for (auto const &runner : runners_) {
                for (auto const &[server, count] : runner.load.all())
                    sum.near[server].batch += runner.dataCentre == sum.dataCentre ? count.batch : 0;
            }
            nextSums_.push_back(std::move(sum));
        }
        if (previous.empty())
            exchangeSums();
    }

    FleetOptions options_;
    std::mt19937 random_;
    Instant now_ = Start;
    std::vector<Server> servers_;
    std::vector<Runner> runners_;
    std::vector<Run> runs_;
    std::vector<PeerReport> nextReports_;
    std::vector<LoadSummary> nextSums_;
    std::uint64_t reportNumber_ = 0;
    std::uint64_t sumNumber_ = 0;
    std::map<std::string, std::uint32_t> most_;
    std::map<InstanceId, Duration> waits_;
    std::map<InstanceId, Instant> lastStarts_;
    Duration longestWait_{0};
    Duration longestTimeWithoutStart_{0};
};

/// After this time, waiting items count as stalled.
constexpr Duration StalledAfter = 5s;

} // namespace

/// A data centre loses servers under a backlog of items, as in half-c, most-c and late-c on coldline-kr-grown. Guards against runners there
/// that keep enough servers to get no others, while servers of other data centres have room.
TEST(ItemPlacementTest, ItemsDoNotWaitBesideServersOfOtherDataCentresWithRoom)
{
    for (std::size_t const left : {20U, 10U, 8U, 4U, 0U}) {
        SimulatedFleet fleet({.servers = {{"a", 20}, {"b", 20}, {"c", left}}, .items = {{"a", 5}, {"b", 5}, {"c", 100}}});
        fleet.run(30s);
        EXPECT_LE(fleet.longestWaitBesideFreeServers(), StalledAfter) << left << " servers left";
        EXPECT_EQ(fleet.waiting(), 0U) << left << " servers left";
    }
}

/// All jobs belong to one data centre whose servers are all there. Guards against a backlog there beside idle servers.
TEST(ItemPlacementTest, ABacklogOfOneDataCentreUsesTheServersOfOthers)
{
    SimulatedFleet fleet({.items = {{"a", 200}}});
    fleet.run(30s);
    EXPECT_LE(fleet.longestWaitBesideFreeServers(), StalledAfter);
    EXPECT_EQ(fleet.waiting(), 0U);
}

/// All runners have a backlog and one data centre has no servers left, as in half-c on coldline-kr-grown. A runner sees the end of its own
/// item at once, and the runners of other data centres 250 ms later. Guards against runners that fill each slot anew before others see it.
TEST(ItemPlacementTest, RunnersWithoutServersNearbyGetTheirPartOfABacklog)
{
    for (std::size_t const left : {0U, 4U, 8U}) {
        for (std::uint32_t const online : {0U, 1U}) {
            SimulatedFleet fleet({.servers = {{"a", 20}, {"b", 20}, {"c", left}}, .items = {{"a", 300}, {"b", 300}, {"c", 300}}});
            fleet.setOnline(online);
            fleet.run(25s);
            EXPECT_LE(fleet.longestTimeWithoutStart(), StalledAfter) << left << " servers left, " << online << " requests at each";
            auto const even = (40 + left) * (6 - online) / 14;
            EXPECT_GE(fleet.runningByRunner().first, even / 2) << left << " servers left, " << online << " requests at each";
        }
    }
}

/// Several runners see the same free servers at the same time, and see what others started there 250 ms late. Guards against items that
/// take the slots of online requests.
TEST(ItemPlacementTest, RunnersOfOtherDataCentresLeaveSlotsForRequests)
{
    for (unsigned const seed : {1U, 2U, 3U, 4U}) {
        for (std::uint32_t const online : {0U, 1U, 2U, 3U}) {
            SimulatedFleet fleet({.servers = {{"a", 20}, {"b", 20}, {"c", 8}}, .items = {{"c", 200}}, .seed = seed});
            fleet.setOnline(online);
            fleet.run(20s);
            EXPECT_LE(fleet.mostAt("a"), 6U) << online << " requests at each server, seed " << seed;
            EXPECT_LE(fleet.mostAt("b"), 6U) << online << " requests at each server, seed " << seed;
        }
    }
}

/// Runners are cut off from the other data centres. Guards against items at servers whose load is unknown.
TEST(ItemPlacementTest, NoItemsStartWhereTheLoadIsUnknown)
{
    InstanceId const self("r0");
    PeerTable peers({.self = self, .ownRole = InstanceRole::Runner, .dataCentre = DataCentreId("a")});
    peers.setOwnStage(InstanceStage::Serving, Start);
    peers.setFleetKind(FleetKind::Large);
    LoadTracker const own;
    ItemDemand const demand{.waiting = 10, .tokens = 1000};
    std::vector<PoolServer> const far{{.id = ServerId("far"), .slots = 7, .isFar = true, .acceptsNew = true}};
    std::vector<PoolServer> const near{{.id = ServerId("near"), .slots = 7, .acceptsNew = true}};
    EXPECT_TRUE(ItemPlacement({.self = self}).plan(batchPool, far, demand, own, peers, Start).empty());
    EXPECT_EQ(ItemPlacement({.self = self}).plan(batchPool, near, demand, own, peers, Start).size(), 1U);
    peers.onSummary({.relay = InstanceId("relay"), .position = {.startedAt = 1, .number = 1}, .dataCentre = DataCentreId("b")}, Start);
    EXPECT_EQ(ItemPlacement({.self = self}).plan(batchPool, far, demand, own, peers, Start).size(), 1U);
}
