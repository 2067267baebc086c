#include "LibServing/PeerTable.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Anvilyard::Serving {

PeerTable::PeerTable(PeerTableOptions options)
    : options_(std::move(options))
{
}

bool PeerTable::onReport(PeerReport report, Instant now)
{
    if (report.sender == options_.self)
        return false;
    auto const known = peers_.find(report.sender);
    if (known != peers_.end()) {
        auto const &last = known->second.report;
        if (std::tie(report.startedAt, report.number) <= std::tie(last.startedAt, last.number))
            return false;
    }
    bool const isLeaving =
        known != peers_.end() && known->second.report.stage == InstanceStage::Serving && report.stage == InstanceStage::Leaving;
    if (isLeaving)
        holdTokens(known->second.report, now);
    auto const sender = report.sender;
    auto const seen = report.runnersSeen;
    peers_[sender] = {.report = std::move(report), .heardAt = now};
    noteRunners(now);
    // Noted at once: the next report may agree again, while the jobs were somebody else's in between.
    if (seen != runnersSeen_)
        disturbedAt_ = now;
    return true;
}

void PeerTable::onTick(Instant now)
{
    auto const forgotten = std::erase_if(peers_, [&](auto const &entry) {
        bool const isSilent = now - entry.second.heardAt >= options_.silence;
        if (isSilent)
            holdTokens(entry.second.report, now);
        return isSilent;
    });
    std::erase_if(handedOver_, [&](auto const &entry) { return now >= entry.second.until; });
    if (forgotten > 0)
        noteRunners(now);
}

void PeerTable::onPaused(Instant now)
{
    disturbedAt_ = now;
}

void PeerTable::setOwnStage(InstanceStage stage, Instant now)
{
    ownStage_ = stage;
    noteRunners(now);
}

void PeerTable::setOwnStore(StoreReach reach, Instant now)
{
    ownStore_ = reach;
    noteRunners(now);
}

void PeerTable::noteRunners(Instant now)
{
    std::string names;
    for (auto const &runner : runners())
        names += runner.value() + '\n';
    auto const seen = static_cast<std::uint64_t>(XXH3_64bits(names.data(), names.size()));
    if (seen != std::exchange(runnersSeen_, seen))
        disturbedAt_ = now;
}

std::vector<PeerReport const *> PeerTable::live() const
{
    std::vector<PeerReport const *> reports;
    for (auto const &[id, peer] : peers_)
        reports.push_back(&peer.report);
    return reports;
}

PeerReport const *PeerTable::find(InstanceId const &id) const
{
    auto const found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second.report;
}

InFlight PeerTable::othersAt(ServerId const &server) const
{
    InFlight sum;
    for (auto const &[id, peer] : peers_) {
        if (auto const found = peer.report.inFlight.find(server); found != peer.report.inFlight.end()) {
            sum.online += found->second.online;
            sum.batch += found->second.batch;
        }
    }
    return sum;
}

std::vector<std::pair<InstanceId, std::uint32_t>> PeerTable::batchAt(ServerId const &server) const
{
    std::vector<std::pair<InstanceId, std::uint32_t>> holders;
    for (auto const &[id, peer] : peers_) {
        auto const found = peer.report.inFlight.find(server);
        if (found != peer.report.inFlight.end() && found->second.batch > 0)
            holders.emplace_back(id, found->second.batch);
    }
    return holders;
}

std::vector<HeardRunner> PeerTable::runnersHeard() const
{
    std::vector<HeardRunner> heard;
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner && peer.report.stage == InstanceStage::Serving)
            heard.push_back({.id = id, .store = peer.report.store});
    }
    if (options_.ownRole == InstanceRole::Runner && ownStage_ == InstanceStage::Serving)
        heard.push_back({.id = options_.self, .store = ownStore_});
    return heard;
}

std::vector<InstanceId> PeerTable::runners() const
{
    std::map<InstanceId, StoreReach> known;
    for (auto const &[id, peer] : peers_) {
        for (auto const &runner : peer.report.runnersHeard)
            known.emplace(runner.id, runner.store);
    }
    // What a runner says of itself counts before what others say of it, also that it leaves.
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner)
            known.erase(id);
    }
    known.erase(options_.self);
    for (auto const &runner : runnersHeard())
        known[runner.id] = runner.store;
    bool const isAnyReached =
        std::any_of(known.begin(), known.end(), [](auto const &entry) { return entry.second == StoreReach::Reached; });
    std::vector<InstanceId> ids;
    for (auto const &[id, store] : known) {
        if (!isAnyReached || store == StoreReach::Reached)
            ids.push_back(id);
    }
    return ids;
}

std::optional<InstanceId> PeerTable::ownerOf(JobId const &job) const
{
    return firstRunnerFor(job.value());
}

std::optional<InstanceId> PeerTable::admitterOf(RouteName const &route) const
{
    return firstRunnerFor(route.value());
}

std::optional<InstanceId> PeerTable::firstRunnerFor(std::string const &key) const
{
    auto const ids = runners();
    auto const owner = rendezvousOwner(key, ids, [](InstanceId const &id) -> std::string const & { return id.value(); });
    return owner == ids.end() ? std::nullopt : std::optional(*owner);
}

std::uint64_t PeerTable::runnersSeen() const
{
    return runnersSeen_;
}

bool PeerTable::isUnsettled(Instant now) const
{
    if (disturbedAt_ != Instant::min() && now - disturbedAt_ < options_.unsettledAfterChange)
        return true;
    return std::any_of(peers_.begin(), peers_.end(), [&](auto const &entry) { return entry.second.report.runnersSeen != runnersSeen_; });
}

void PeerTable::holdTokens(PeerReport const &report, Instant now)
{
    if (report.waitingTokens > 0)
        handedOver_[report.sender] = {.tokens = report.waitingTokens, .until = now + options_.takeover};
}

std::uint64_t PeerTable::waitingTokens(Instant now) const
{
    std::uint64_t sum = 0;
    for (auto const &[id, held] : handedOver_)
        sum += now < held.until ? held.tokens : 0;
    for (auto const &[id, peer] : peers_)
        sum += peer.report.waitingTokens;
    return sum;
}

} // namespace Anvilyard::Serving
