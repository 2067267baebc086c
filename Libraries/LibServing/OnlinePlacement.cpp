#include "LibServing/OnlinePlacement.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Serving {

namespace {

/// Weight of one run in the moving average, which is dominated by the last 20 runs or so.
constexpr double MeanRunWeight = 0.05;

Fleet::BackendServer toBackendServer(ServerRecord const &record)
{
    return {.id = record.id, .pool = record.pool, .address = record.address, .dataCentre = record.dataCentre};
}

std::uint32_t onlineAt(ServerId const &server, LoadTracker const &own, PeerTable const &peers)
{
    return own.at(server).online + peers.othersAt(server).online;
}

/// Slots of a server that requests occupy on average at its limit; at least one.
std::uint32_t slotsWithin(RequestRate limit, std::uint32_t slots, Duration meanRun)
{
    auto const occupied = limit.value() * std::chrono::duration<double>(meanRun).count();
    return static_cast<std::uint32_t>(std::clamp<double>(std::floor(occupied), 1, std::max<std::uint32_t>(1, slots)));
}

/// Weight of one statement or one observation in the moving averages of a pool.
constexpr double PoolPaceWeight = 0.02;
constexpr std::size_t MinTimedEvents = 8;
/// Multiple of the pool's mean from which a server is shown as slow.
constexpr double SlowServer = 1.4;

/// Online requests in flight per slot.
double occupancyOf(std::span<ServerLoad const> servers)
{
    std::uint64_t online = 0;
    std::uint64_t slots = 0;
    for (auto const &server : servers) {
        online += server.online;
        slots += server.slots;
    }
    return static_cast<double>(online) / static_cast<double>(std::max<std::uint64_t>(1, slots));
}

/// As many requests start within the time of a run as are in flight.
double unreportedArrivals(std::span<ServerLoad const> servers, Duration meanRun, Duration loadAge)
{
    std::uint64_t online = 0;
    for (auto const &server : servers)
        online += server.online;
    auto const runs = static_cast<double>(loadAge.count()) / static_cast<double>(std::max<Duration::rep>(1, meanRun.count()));
    return static_cast<double>(online) * runs;
}

} // namespace

OnlinePlacement::OnlinePlacement(OnlinePlacementOptions options)
    : options_(std::move(options))
{
}

OnlinePlacement::Pool &OnlinePlacement::poolNamed(PoolName const &name)
{
    auto found = pools_.find(name);
    if (found == pools_.end()) {
        Routing::ChooserOptions const chooser{
            .instance = options_.instance,
            .dataCentre = options_.dataCentre,
            .spillMargin = options_.spillMargin,
            .reportHalfLife = options_.loadHalfLife,
            .affinityWeight = options_.affinityWeight,
            .maxLoad = std::numeric_limits<double>::max(),
        };
        found = pools_.emplace(name, chooser).first;
        found->second.meanRun = options_.initialMeanRun;
    }
    return found->second;
}

void OnlinePlacement::setServers(std::vector<UsableServer> servers, std::set<ServerId> const &ejected)
{
    std::map<PoolName, std::vector<UsableServer>> byPool;
    for (auto &[name, pool] : pools_)
        byPool[name];
    for (auto &server : servers)
        byPool[server.record.pool].push_back(std::move(server));
    for (auto &[name, members] : byPool) {
        bool const hasUsable = std::any_of(members.begin(), members.end(), [&](UsableServer const &server) {
            return server.use == ServerUse::Usable && !ejected.contains(server.record.id);
        });
        auto &pool = poolNamed(name);
        auto const known = std::exchange(pool.servers, {});
        std::vector<Fleet::BackendServer> candidates;
        for (auto const &[record, use] : members) {
            // If every server of a pool is leaving or ejected, all of them stay candidates: refusing the request would be no better.
            bool const isReserve = hasUsable && (use == ServerUse::LastResort || ejected.contains(record.id));
            candidates.push_back(toBackendServer(record));
            auto const same = known.find(record.id);
            pool.servers.emplace(
                record.id,
                Member{.record = record, .isReserve = isReserve, .pace = same == known.end() ? ServerPace() : same->second.pace});
        }
        pool.chooser.setServers(candidates);
    }
}

void OnlinePlacement::onRunFinished(PoolName const &pool, Duration slotTime)
{
    auto &mean = poolNamed(pool).meanRun;
    mean += std::chrono::duration_cast<Duration>((slotTime - mean) * MeanRunWeight);
}

void OnlinePlacement::onLoadStated(ServerRecord const &server, StatedLoad const &stated, Instant now)
{
    if (!stated.slowness)
        return;
    auto &pool = poolNamed(server.pool);
    auto const member = pool.servers.find(server.id);
    if (member == pool.servers.end())
        return;
    pool.meanStated += (*stated.slowness - pool.meanStated) * PoolPaceWeight;
    pool.statesPace = true;
    member->second.pace.onStated(*stated.slowness, pool.meanStated, now);
}

void OnlinePlacement::onEvents(ServerRecord const &server, EventTiming const &timing, Instant now)
{
    auto &pool = poolNamed(server.pool);
    auto const member = pool.servers.find(server.id);
    if (!pool.statesPace || member == pool.servers.end() || timing.time <= Duration::zero())
        return;
    if (pool.meanGeneration == Duration::zero())
        pool.meanGeneration = timing.time;
    pool.meanGeneration += std::chrono::duration_cast<Duration>((timing.time - pool.meanGeneration) * MeanRunWeight);
    if (timing.events < MinTimedEvents)
        return;
    auto const seconds = std::chrono::duration<double>(timing.time).count() / static_cast<double>(timing.events);
    auto &pace = member->second.pace;
    auto const usual = seconds / pace.statedOver(timing.time, now);
    if (pool.eventSeconds <= 0)
        pool.eventSeconds = usual;
    pool.eventSeconds += (usual - pool.eventSeconds) * PoolPaceWeight;
    pace.onEventTime(seconds / pool.eventSeconds, timing.time, now);
}

Duration OnlinePlacement::slotTime(Pool const &pool)
{
    // The run time includes the wait for a slot.
    return pool.statesPace && pool.meanGeneration > Duration::zero() ? pool.meanGeneration : pool.meanRun;
}

void OnlinePlacement::updateSlowness(Pool &pool, Instant now)
{
    double speeds = 0;
    for (auto &[id, member] : pool.servers) {
        member.slowness = member.pace.isStated() ? member.pace.slowness(now) : pool.meanStated;
        speeds += 1 / member.slowness;
    }
    // Fast servers run more requests, so the mean run time is that of the harmonic mean.
    auto const mean = static_cast<double>(pool.servers.size()) / speeds;
    for (auto &[id, member] : pool.servers)
        member.slowness /= mean;
}

void OnlinePlacement::onStarted(ServerRecord const &server, Routing::PromptPrefix const *prefix)
{
    poolNamed(server.pool).chooser.onStarted(server.id, prefix);
}

void OnlinePlacement::onFinished(ServerRecord const &server)
{
    poolNamed(server.pool).chooser.onFinished(server.id);
}

/// The requests of this instance are known exactly, those of other instances as of their last report.
double OnlinePlacement::refreshLoads(
    Pool &pool, Candidates const &candidates, LoadTracker const &own, PeerTable const &peers, LoadAge const &age, Instant now)
{
    // On average, as many requests run at each server, as the choice keeps the load even.
    double running = 0;
    double speeds = 0;
    for (auto const &load : candidates.loads) {
        running += std::min(load.slots, load.online);
        speeds += 1 / load.slowness;
    }
    auto const runningPerServer = candidates.loads.empty() ? 0 : running / static_cast<double>(candidates.loads.size());
    auto const departuresAtMeanSpeed =
        runningPerServer * static_cast<double>(age.near.count()) / static_cast<double>(std::max<Duration::rep>(1, slotTime(pool).count()));
    for (auto const &[id, member] : pool.servers) {
        auto const &record = member.record;
        auto const ownInFlight = own.at(id);
        auto const others = peers.othersAt(id);
        // A limited server has few requests in flight, but not for want of load.
        auto const unused = candidates.unusedSlots.find(id);
        auto const reportAge = record.dataCentre == options_.dataCentre ? age.near : age.far;
        auto const load = ownInFlight.online + others.online + options_.batchWeight * (ownInFlight.batch + others.batch)
            + (unused == candidates.unusedSlots.end() ? 0 : unused->second);
        Routing::LoadReport report{.running = load};
        if (pool.statesPace) {
            report.slots = record.slots;
            report.slowness = member.slowness;
            report.departures = departuresAtMeanSpeed / member.slowness;
        }
        pool.chooser.onLoadReport(id, report, pool.statesPace ? now : now - reportAge);
    }
    return departuresAtMeanSpeed * speeds;
}

OnlinePlacement::Candidates OnlinePlacement::findCandidates(
    Pool const &pool, PlacementRequest const &request, LoadTracker const &own, PeerTable const &peers, Instant now) const
{
    auto candidates = findCandidates(Extent::WithoutReserve, pool, request, own, peers, now);
    // The servers of one version are leaving or ejected sooner than those of all.
    bool const mayUseReserve = request.reserveServers == PlacementRequest::ReserveServers::Use;
    bool const needsReserve = mayUseReserve && candidates.loads.empty() && !candidates.permitExpectedAt;
    return needsReserve ? findCandidates(Extent::WithReserve, pool, request, own, peers, now) : candidates;
}

OnlinePlacement::Candidates OnlinePlacement::findCandidates(
    Extent extent, Pool const &pool, PlacementRequest const &request, LoadTracker const &own, PeerTable const &peers, Instant now) const
{
    Candidates candidates{.excluded = {request.excluded.begin(), request.excluded.end()}};
    for (auto const &[id, member] : pool.servers) {
        auto const &record = member.record;
        if (std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end())
            continue;
        bool const isReserve = member.isReserve && extent == Extent::WithoutReserve;
        if (isReserve || (request.acceptsVersion && !request.acceptsVersion(record.softwareVersion))) {
            candidates.excluded.push_back(id);
            continue;
        }
        auto const allowance = request.allowances ? request.allowances->find(record, request.urgency, now) : std::nullopt;
        auto const slotRate = record.slots / std::chrono::duration<double>(std::max(Duration(1), pool.meanRun)).count();
        auto const taken = allowance ? std::min(allowance->rate.value(), slotRate) : slotRate;
        candidates.takenRate = RequestRate(candidates.takenRate.value() + taken);
        if (allowance) {
            if (allowance->exhaustedUntil || request.limitedServers == PlacementRequest::LimitedServers::Avoid) {
                auto const until = allowance->exhaustedUntil.value_or(now + options_.admission.minRetryAfter);
                candidates.excluded.push_back(id);
                candidates.permitExpectedAt = std::min(until, candidates.permitExpectedAt.value_or(until));
                continue;
            }
            candidates.unusedSlots[id] = record.slots - slotsWithin(allowance->rate, record.slots, pool.meanRun);
        }
        candidates.loads.push_back({.slots = record.slots, .online = onlineAt(id, own, peers), .slowness = member.slowness});
    }
    return candidates;
}

Placement
OnlinePlacement::place(PlacementRequest const &request, LoadTracker const &own, PeerTable const &peers, Instant now, RandomSource &random)
{
    auto &pool = poolNamed(request.pool);
    if (pool.statesPace)
        updateSlowness(pool, now);
    auto const candidates = findCandidates(pool, request, own, peers, now);
    auto const &loads = candidates.loads;
    auto const limitedRate = candidates.permitExpectedAt ? std::optional(candidates.takenRate) : std::nullopt;
    if (loads.empty() && candidates.permitExpectedAt)
        return {.outcome = Placement::Outcome::LimitsReached, .retryAfter = *candidates.permitExpectedAt - now, .limitedRate = limitedRate};
    if (loads.empty())
        return {};
    auto const verdict = admit(loads, slotTime(pool), request.latencyTarget, options_.admission);
    if (!verdict.isAdmitted)
        return {.outcome = Placement::Outcome::Full,
                .retryAfter = verdict.retryAfter,
                .limitedRate = limitedRate,
                .servers = loads.size(),
                .shortestWait = verdict.shortestWait,
                .occupancy = occupancyOf(loads)};
    auto const expectedDepartures = refreshLoads(pool, candidates, own, peers, request.loadAge, now);
    auto const *chosen = pool.chooser.choose(
        {
            .prefix = request.prefix,
            .excluded = candidates.excluded,
            .unreportedArrivals = pool.statesPace ? expectedDepartures : unreportedArrivals(loads, pool.meanRun, request.loadAge.near),
        },
        now,
        random);
    if (!chosen)
        return {};
    if (pool.statesPace) {
        auto const slots = static_cast<double>(pool.servers.at(chosen->id).record.slots);
        // Batch items are preempted.
        auto const batch = options_.batchWeight * (own.at(chosen->id).batch + peers.othersAt(chosen->id).batch);
        auto const waiting = std::max(0.0, pool.chooser.expectedLevel() - batch + 1 - slots);
        auto const wait = std::chrono::duration_cast<Duration>(slotTime(pool) * (waiting / slots));
        auto const allowed = std::chrono::duration_cast<Duration>(request.latencyTarget * options_.admission.meanWaitShareOfTarget);
        if (wait > allowed)
            return {.outcome = Placement::Outcome::Full,
                    .retryAfter = std::max(options_.admission.minRetryAfter, wait - allowed),
                    .limitedRate = limitedRate,
                    .servers = loads.size(),
                    .shortestWait = wait,
                    .occupancy = occupancyOf(loads)};
    }
    auto const &record = pool.servers.at(chosen->id).record;
    auto const others = peers.othersAt(record.id);
    auto const ownInFlight = own.at(record.id);
    auto const unreported = request.loadAge.near > Duration::zero() ? 1U : 0U;
    bool const hasFreeSlot = ownInFlight.online + ownInFlight.batch + others.online + others.batch + unreported < record.slots;
    return {.outcome = Placement::Outcome::Chosen,
            .server = record,
            .hasFreeSlot = hasFreeSlot,
            .isLimited = candidates.unusedSlots.contains(record.id),
            .servers = loads.size(),
            .shortestWait = verdict.shortestWait,
            .occupancy = occupancyOf(loads)};
}

PaceSummary OnlinePlacement::paceSummary(LoadTracker const &own, PeerTable const &peers, Instant now)
{
    PaceSummary summary;
    for (auto &[name, pool] : pools_) {
        if (!pool.statesPace || pool.servers.empty())
            continue;
        updateSlowness(pool, now);
        auto shortest = Duration::max();
        auto longest = Duration::zero();
        for (auto const &[id, member] : pool.servers) {
            summary.slowServers += member.slowness >= SlowServer ? 1 : 0;
            ServerLoad const load{.slots = member.record.slots, .online = onlineAt(id, own, peers), .slowness = member.slowness};
            auto const wait = expectedWait(load, slotTime(pool));
            shortest = std::min(shortest, wait);
            longest = std::max(longest, wait);
        }
        summary.waitSpread = std::max(summary.waitSpread, longest - shortest);
    }
    return summary;
}

Duration OnlinePlacement::meanRun(PoolName const &pool) const
{
    auto const found = pools_.find(pool);
    return found == pools_.end() ? options_.initialMeanRun : found->second.meanRun;
}

} // namespace Anvilyard::Serving
