#include "LibServing/ReportSchedule.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Anvilyard::Serving {

ReportSchedule::ReportSchedule(ReportScheduleOptions options)
    : options_(std::move(options))
{
}

void ReportSchedule::add(InstanceId const &peer)
{
    if (peers_.try_emplace(peer).second)
        receiversValidUntil_.reset();
}

void ReportSchedule::setRoleAndDataCentre(InstanceId const &peer, InstanceRole role, DataCentreId const &dataCentre)
{
    auto const [found, isNew] = peers_.try_emplace(peer);
    auto &known = found->second;
    if (!isNew && known.role == role && known.dataCentre == dataCentre)
        return;
    known.role = role;
    known.dataCentre = dataCentre;
    receiversValidUntil_.reset();
}

void ReportSchedule::onReported(InstanceId const &peer, Instant now)
{
    auto &known = peers_[peer];
    if (!std::exchange(known.lastReceivedAt, now))
        receiversValidUntil_.reset();
}

void ReportSchedule::setRelays(std::vector<InstanceId> const &relays)
{
    for (auto const &relay : relays) {
        if (std::find(relays_.begin(), relays_.end(), relay) == relays_.end())
            scheduleNow(relay);
    }
    relays_ = relays;
    receiversValidUntil_.reset();
}

void ReportSchedule::setSummarySources(SummarySources sources)
{
    if (std::exchange(summarySources_, sources) == sources)
        return;
    receiversValidUntil_.reset();
    // The relays learn at once whether to send summaries.
    for (auto const &relay : relays_)
        scheduleNow(relay);
}

void ReportSchedule::setLiveRunners(std::vector<InstanceId> const &runners)
{
    std::map<DataCentreId, std::vector<InstanceId>> byDataCentre;
    for (auto const &runner : runners) {
        auto const known = peers_.find(runner);
        if (known != peers_.end() && known->second.role && known->second.dataCentre != options_.ownDataCentre)
            byDataCentre[known->second.dataCentre].push_back(runner);
    }
    linkedRunners_.clear();
    receiversValidUntil_.reset();
    for (auto &[dataCentre, ids] : byDataCentre) {
        std::sort(ids.begin(), ids.end(), [&](InstanceId const &left, InstanceId const &right) {
            return rendezvousScore(options_.ownDataCentre.value(), left.value())
                > rendezvousScore(options_.ownDataCentre.value(), right.value());
        });
        ids.resize(std::min(ids.size(), options_.linkedRunnersPerDataCentre));
        linkedRunners_.insert(ids.begin(), ids.end());
    }
}

void ReportSchedule::scheduleNow(InstanceId const &peer)
{
    if (auto const found = peers_.find(peer); found != peers_.end())
        scheduleNow(found->second);
}

void ReportSchedule::scheduleAllNow()
{
    for (auto &[id, peer] : peers_)
        scheduleNow(peer);
}

void ReportSchedule::scheduleNow(Peer &peer)
{
    peer.lastReportAt.reset();
    peer.lastCompleteReportAt.reset();
}

void ReportSchedule::setKnownInstances(std::size_t count)
{
    if (count <= knownByPeers_)
        return;
    knownByPeers_ = count;
    receiversValidUntil_.reset();
}

std::size_t ReportSchedule::fleetSize() const
{
    return std::max(peers_.size() + 1, knownByPeers_);
}

bool ReportSchedule::isSmallFleet() const
{
    return fleetSize() <= options_.maxSmallFleetPeers + 1;
}

std::optional<ReportSchedule::Cadence> ReportSchedule::cadenceOf(InstanceId const &id, Peer const &peer, Instant now) const
{
    if (isSmallFleet())
        return Cadence{.heartbeat = options_.heartbeat, .changeInterval = Duration::zero()};
    auto const cadence = cadenceInLargeFleet(id, peer, now);
    // Near the limit, a peer that does not know all instances may consider the fleet small. It has to receive reports to find out.
    bool const isNearLimit = fleetSize() <= 2 * options_.maxSmallFleetPeers;
    return cadence || !isNearLimit ? cadence : Cadence{.heartbeat = options_.entryHeartbeat, .extent = ReportExtent::Liveness};
}

std::optional<ReportSchedule::Cadence> ReportSchedule::cadenceInLargeFleet(InstanceId const &id, Peer const &peer, Instant now) const
{
    auto const isRelay = [&](InstanceId const &instance) { return std::find(relays_.begin(), relays_.end(), instance) != relays_.end(); };
    if (isRelay(id)) {
        // Relays receive all reports of the data centre themselves.
        bool const isSource = summarySources_ == SummarySources::AllRelays || id == relays_.front();
        return Cadence{.heartbeat = options_.heartbeat,
                       .changeInterval = options_.minRelayInterval,
                       .wantsSummaries = isSource && !isRelay(options_.self)};
    }
    // Until a peer states its role it may be a runner of the own data centre.
    bool const isNear = !peer.role || peer.dataCentre == options_.ownDataCentre;
    if (!isNear)
        return cadenceOfFar(id, peer, now);
    bool const isRunner = peer.role.value_or(InstanceRole::Runner) == InstanceRole::Runner;
    if (options_.ownRole == InstanceRole::Entry)
        return isRunner ? std::optional(Cadence{.heartbeat = options_.entryHeartbeat}) : std::nullopt;
    if (isRunner)
        return Cadence{.heartbeat = options_.heartbeat, .changeInterval = options_.minRunnerInterval};
    return Cadence{.heartbeat = options_.runnerHeartbeat, .extent = ReportExtent::WithoutLoad};
}

/// Runners are in direct contact with each other because the ownership of jobs depends on the set of live runners. A few links between
/// entries and runners of different data centres show a runner that others are alive although it is cut off from all of them.
std::optional<ReportSchedule::Cadence> ReportSchedule::cadenceOfFar(InstanceId const &id, Peer const &peer, Instant now) const
{
    bool const isRunner = peer.role == InstanceRole::Runner;
    if (options_.ownRole == InstanceRole::Runner && isRunner)
        return Cadence{.heartbeat = options_.runnerHeartbeat, .extent = ReportExtent::Liveness};
    bool const reportsToUs = peer.lastReceivedAt && now - *peer.lastReceivedAt < options_.linkTimeout;
    bool const isLinked = isRunner ? linkedRunners_.contains(id) : options_.ownRole == InstanceRole::Runner && reportsToUs;
    if (!isLinked)
        return std::nullopt;
    return Cadence{.heartbeat = options_.entryHeartbeat, .extent = ReportExtent::WithoutLoad};
}

bool ReportSchedule::isDue(Peer const &peer, Cadence const &cadence, std::uint64_t change, Instant now)
{
    if (!peer.lastReportAt)
        return true;
    auto const since = now - *peer.lastReportAt;
    if (since >= cadence.heartbeat)
        return true;
    return cadence.changeInterval && change != peer.lastReportedChange && since >= *cadence.changeInterval;
}

ReportExtent ReportSchedule::extentFor(Peer &peer, Cadence const &cadence, Instant now) const
{
    auto const interval = std::max(cadence.heartbeat, options_.observedRunnersInterval);
    bool const isComplete = peer.lastCompleteReportAt && now - *peer.lastCompleteReportAt < interval;
    if (isComplete && cadence.extent == ReportExtent::Full && !isSmallFleet())
        return ReportExtent::LoadOnly;
    if (isComplete && cadence.extent == ReportExtent::WithoutLoad)
        return ReportExtent::Liveness;
    peer.lastCompleteReportAt = now;
    return cadence.extent;
}

void ReportSchedule::refreshReceivers(Instant now)
{
    if (receiversValidUntil_ && now < *receiversValidUntil_)
        return;
    // Links time out without an event.
    receiversValidUntil_ = now + options_.entryHeartbeat;
    receivers_.clear();
    for (auto &[id, peer] : peers_) {
        if (auto const cadence = cadenceOf(id, peer, now))
            receivers_.push_back({.id = id, .peer = &peer, .cadence = *cadence});
    }
}

std::vector<ReportSchedule::ReportGroup> ReportSchedule::takeDue(std::uint64_t change, Instant now)
{
    refreshReceivers(now);
    std::map<std::tuple<Duration, ReportExtent, bool>, std::vector<InstanceId>> groups;
    for (auto const &[id, peer, cadence] : receivers_) {
        if (!isDue(*peer, cadence, change, now))
            continue;
        peer->lastReportAt = now;
        peer->lastReportedChange = change;
        groups[{cadence.heartbeat, extentFor(*peer, cadence, now), cadence.wantsSummaries}].push_back(id);
    }
    std::vector<ReportGroup> due;
    for (auto &[key, peers] : groups) {
        auto const &[heartbeat, extent, wantsSummaries] = key;
        due.push_back({.nextWithin = heartbeat, .extent = extent, .wantsSummaries = wantsSummaries, .peers = std::move(peers)});
    }
    return due;
}

bool ReportSchedule::takeSummaryDue(std::uint64_t change, Instant now)
{
    auto const since = lastSummaryAt_ ? now - *lastSummaryAt_ : options_.heartbeat;
    bool const hasChanged = change != lastSummaryChange_;
    if (since < (hasChanged ? options_.summaryInterval : options_.heartbeat))
        return false;
    lastSummaryAt_ = now;
    lastSummaryChange_ = change;
    return true;
}

bool ReportSchedule::takeFarSummaryDue(Instant now)
{
    if (lastFarSummaryAt_ && now - *lastFarSummaryAt_ < options_.farSummaryInterval)
        return false;
    lastFarSummaryAt_ = now;
    return true;
}

Duration ReportSchedule::nearLoadAge() const
{
    return isSmallFleet() ? Duration::zero() : (options_.minRelayInterval + options_.summaryInterval) / 2;
}

Duration ReportSchedule::farLoadAge() const
{
    return isSmallFleet() ? Duration::zero() : options_.farSummaryInterval;
}

} // namespace Anvilyard::Serving
