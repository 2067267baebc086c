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
    auto const sender = report.sender;
    peers_[sender] = {.report = std::move(report), .heardAt = now};
    noteRunners(now);
    return true;
}

void PeerTable::onTick(Instant now)
{
    auto const forgotten = std::erase_if(peers_, [&](auto const &entry) { return now - entry.second.heardAt >= options_.silence; });
    if (forgotten > 0)
        noteRunners(now);
}

void PeerTable::setOwnStage(InstanceStage stage, Instant now)
{
    ownStage_ = stage;
    noteRunners(now);
}

void PeerTable::noteRunners(Instant now)
{
    std::string names;
    for (auto const &runner : runners())
        names += runner.value() + '\n';
    auto const seen = static_cast<std::uint64_t>(XXH3_64bits(names.data(), names.size()));
    if (seen != std::exchange(runnersSeen_, seen))
        runnersChangedAt_ = now;
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

std::vector<InstanceId> PeerTable::runners() const
{
    std::vector<InstanceId> ids;
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner && peer.report.stage == InstanceStage::Serving)
            ids.push_back(id);
    }
    if (options_.ownRole == InstanceRole::Runner && ownStage_ == InstanceStage::Serving)
        ids.push_back(options_.self);
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::optional<InstanceId> PeerTable::ownerOf(JobId const &job) const
{
    auto const ids = runners();
    auto const owner = rendezvousOwner(job.value(), ids, [](InstanceId const &id) -> std::string const & { return id.value(); });
    return owner == ids.end() ? std::nullopt : std::optional(*owner);
}

std::uint64_t PeerTable::runnersSeen() const
{
    return runnersSeen_;
}

bool PeerTable::isUnsettled(Instant now) const
{
    if (runnersChangedAt_ != Instant::min() && now - runnersChangedAt_ < options_.unsettledAfterChange)
        return true;
    return std::any_of(peers_.begin(), peers_.end(), [&](auto const &entry) {
        return entry.second.report.runnersSeen != runnersSeen_;
    });
}

std::uint64_t PeerTable::waitingTokens() const
{
    std::uint64_t sum = 0;
    for (auto const &[id, peer] : peers_)
        sum += peer.report.waitingTokens;
    return sum;
}

} // namespace Anvilyard::Serving
