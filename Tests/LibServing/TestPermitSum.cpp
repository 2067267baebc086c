#include "LibServing/PermitIssuer.h"
#include "Tests/LibServing/ExchangeSimulation.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>
#include <optional>
#include <set>

using namespace Anvilyard;
using namespace Anvilyard::Serving;
using namespace Anvilyard::Tests;

namespace {

struct LimitedServer {
    ServerProcess process;
    double rate = 0;
};

std::vector<LimitedServer> const servers{
    {.process = {.id = ServerId("slow"), .startedAt = 10}, .rate = 2.5},
    {.process = {.id = ServerId("fast"), .startedAt = 10}, .rate = 40},
};

/// A fleet whose entries all have requests for two limited servers. Instances ask for permits as PermitClient does: the issuer in their own
/// view, or their equal share for a while if it does not respond.
class PermitFleet
{
public:
    explicit PermitFleet(std::size_t instances)
        : fleet_({.instances = instances, .lossShare = 0.02})
    {
        fleet_.run(WarmUp, CalmChanges);
        for (auto const &[process, rate] : servers) {
            StatedLimit const stated{.kind = StatedLimit::Kind::Limited, .rate = RequestRate(rate)};
            fleet_.instances().back().limits.onResponse(process, stated, fleet_.now(), fleet_.now());
        }
        fleet_.run(ContactTime, CalmChanges);
    }

    /// Lets each entry ask for a permit for each server once in every step.
    void run(Duration time)
    {
        for (auto const end = fleet_.now() + time; fleet_.now() < end;) {
            fleet_.run(Step, CalmChanges);
            for (auto &instance : fleet_.instances()) {
                if (!instance.isAlive || !instance.peers || instance.role != InstanceRole::Entry)
                    continue;
                for (auto const &server : servers) {
                    if (isGranted(instance, server.process))
                        grantedAt_[server.process.id].push_back(fleet_.now());
                }
            }
        }
    }

    void idle(Duration time)
    {
        fleet_.run(time, CalmChanges);
    }

    void killIssuers()
    {
        for (auto *issuer : issuersInUse()) {
            fleet_.kill(*issuer);
            permits_.erase(issuer->id);
        }
    }

    /// Ends the issuers' processes and starts others, which know nothing.
    void restartIssuers()
    {
        for (auto *issuer : issuersInUse()) {
            fleet_.restart(*issuer);
            permits_.erase(issuer->id);
        }
    }

    void killAllRunners()
    {
        for (auto &instance : fleet_.instances()) {
            if (instance.role == InstanceRole::Runner)
                fleet_.kill(instance);
        }
    }

    /// Checks that no server got more requests in any four seconds than the platform allows.
    void expectSumsHeld() const
    {
        for (auto const &[process, rate] : servers) {
            auto const &grants = grantedAt_.at(process.id);
            std::size_t most = 0;
            for (auto first = grants.begin(); first != grants.end(); ++first)
                most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, grants.end(), *first + Window) - first));
            auto const allowed = 1.5 * rate * std::chrono::duration<double>(Window).count() + 5;
            EXPECT_LE(static_cast<double>(most), allowed) << fleet_.instances().size() << " instances, limit " << rate;
        }
    }

    /// Runs for a while in which each server has to get this share of the requests that it takes.
    void expectUsed(Duration time, double share)
    {
        auto const from = fleet_.now();
        run(time);
        for (auto const &[process, rate] : servers) {
            auto const granted = std::ranges::count_if(grantedAt_[process.id], [&](Instant at) { return at > from; });
            EXPECT_GE(static_cast<double>(granted), share * rate * std::chrono::duration<double>(time).count())
                << fleet_.instances().size() << " instances, limit " << rate;
        }
    }

private:
    static constexpr Duration WarmUp = 2s;
    static constexpr Duration ContactTime = 2s;
    static constexpr Duration Step = 50ms;
    static constexpr Duration Window = 4s;
    static constexpr Duration SilenceTime = 500ms;
    static constexpr double CalmChanges = 0.5;

    /// The runners that issue permits in the view of most instances.
    std::set<ExchangeSimulation::Instance *> issuersInUse()
    {
        std::set<ExchangeSimulation::Instance *> found;
        for (auto const &server : servers) {
            std::map<InstanceId, std::size_t> views;
            for (auto const &instance : fleet_.instances()) {
                if (auto const issuer = instance.isAlive ? instance.peers->permitIssuerOf(server.process.id) : std::nullopt)
                    ++views[*issuer];
            }
            found.insert(&fleet_.find(std::ranges::max_element(views, {}, [](auto const &view) { return view.second; })->first));
        }
        return found;
    }

    bool isGranted(ExchangeSimulation::Instance const &instance, ServerProcess const &server)
    {
        auto const rate = instance.limits.find(server);
        if (!rate)
            return false;
        auto const now = fleet_.now();
        auto const issuer = instance.peers->permitIssuerOf(server.id);
        if (auto &silentUntil = silentUntil_[{instance.id, server.id}]; issuer && now >= silentUntil) {
            if (auto const &asked = fleet_.find(*issuer); asked.isAlive && asked.peers)
                return permits_[*issuer].request({.server = server, .rate = *rate}, now).isGranted;
            silentUntil = now + SilenceTime;
        }
        RequestRate const share(rate->value() / static_cast<double>(fleet_.instances().size()));
        auto const own = shares_.try_emplace(instance.id, makeShareOptions(random_)).first;
        return own->second.request({.server = server, .rate = share}, now).isGranted;
    }

    RandomSource random_{1};
    ExchangeSimulation fleet_;
    std::map<InstanceId, PermitIssuer> permits_;
    std::map<InstanceId, PermitIssuer> shares_;
    std::map<std::pair<InstanceId, ServerId>, Instant> silentUntil_;
    std::map<ServerId, std::vector<Instant>> grantedAt_;
};

constexpr std::array<std::size_t, 3> FleetSizes{12, 83, 300};

} // namespace

/// Hundreds of entries all want the same servers. Guards against a sum that grows with the fleet, and against an allowance left idle.
TEST(PermitSumTest, TheSumHoldsAndIsUsedInFleetsOfAnySize)
{
    for (auto const size : FleetSizes) {
        PermitFleet fleet(size);
        fleet.expectUsed(6s, 0.9);
        fleet.expectSumsHeld();
    }
}

/// The issuer is killed, and a second later the one that took over, and instances notice it at different times. Guards against instances
/// that all send at once while none responds, against two issuers at a time, and against an allowance that stays idle.
TEST(PermitSumTest, TheSumHoldsWhileIssuersDieAndInstancesDisagree)
{
    for (auto const size : FleetSizes) {
        PermitFleet fleet(size);
        fleet.run(3s);
        fleet.killIssuers();
        fleet.run(1s);
        fleet.killIssuers();
        fleet.run(4s);
        fleet.expectUsed(3s, 0.9);
        fleet.expectSumsHeld();
    }
}

/// The issuer starts again at once and knows nothing, three times in a row. Guards against saved permits that it issues anew each time.
TEST(PermitSumTest, TheSumHoldsWhileIssuersStartAgain)
{
    for (auto const size : FleetSizes) {
        PermitFleet fleet(size);
        fleet.run(2s);
        for (int number = 0; number < 3; ++number) {
            fleet.restartIssuers();
            fleet.run(1s);
        }
        fleet.run(3s);
        fleet.expectSumsHeld();
    }
}

/// All runners are killed, so that nobody issues permits. Guards against instances that use their shares at the same moments, also when all
/// have had no requests for a while, and against servers that get nothing.
TEST(PermitSumTest, TheSumHoldsAndIsUsedWithoutRunners)
{
    for (auto const size : FleetSizes) {
        PermitFleet fleet(size);
        fleet.run(2s);
        fleet.killAllRunners();
        fleet.run(4s);
        fleet.idle(10s);
        fleet.run(4s);
        fleet.expectUsed(6s, 0.4);
        fleet.expectSumsHeld();
    }
}
