#include "LibServing/PeerTable.h"

#include "LibCore/Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Anvilyard::Serving {

namespace {

/// A runner gets substitutes if its own servers are fewer than its share of the pool divided by this.
constexpr std::size_t MinShareDivisor = 2;

/// Whether both lists name the same processes of runners with the same reachability of the store. Their tokens change with each report.
bool nameSameRunners(std::vector<ObservedRunner> const &left, std::vector<ObservedRunner> const &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](ObservedRunner const &one, ObservedRunner const &other) {
        return one.id == other.id && one.store == other.store && one.startedAt == other.startedAt;
    });
}

} // namespace

PeerTable::PeerTable(PeerTableOptions options)
    : options_(std::move(options))
    , summaries_({.dataCentre = options_.dataCentre})
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
        retainTokens(known->second.report, now);
    bool const keepsObserved = !report.statesObservedRunners && known != peers_.end() && known->second.report.startedAt == report.startedAt;
    if (keepsObserved)
        report.observedRunners = known->second.report.observedRunners;
    auto const observedUntil = keepsObserved ? known->second.observedUntil : now + options_.observationTimeout;
    if (report.stage == InstanceStage::Leaving)
        departures_[report.sender] = {.startedAt = report.startedAt, .until = now + options_.departureRetention};
    else
        departures_.erase(report.sender);
    auto const sender = report.sender;
    auto const hash = report.runnersHash;
    // The runner set depends only on these fields, and most reports change only the load.
    bool const mayChangeRunners = known == peers_.end() || known->second.report.role != report.role
        || known->second.report.stage != report.stage || known->second.report.store != report.store
        || !nameSameRunners(known->second.report.observedRunners, report.observedRunners);
    if (known != peers_.end())
        removeLoad(known->second.report);
    addLoad(report);
    peers_[sender] = {.report = std::move(report), .receivedAt = now, .observedUntil = observedUntil};
    if (mayChangeRunners)
        updateRunners(now);
    // Recorded at once: the next report may agree again although the jobs had another owner in between.
    if (hash != runnersHash_)
        lastUnsettledAt_ = now;
    return true;
}

void PeerTable::onTick(Instant now)
{
    auto const removedCount = std::erase_if(peers_, [&](auto const &entry) {
        auto const &[report, receivedAt, observedUntil] = entry.second;
        if (!isTimedOut(report, receivedAt, now))
            return false;
        retainTokens(report, now);
        removeLoad(report);
        return true;
    });
    summaries_.onTick(now);
    std::erase_if(retainedTokens_, [&](auto const &entry) { return now >= entry.second.until; });
    auto const endedDepartures = std::erase_if(departures_, [&](auto const &entry) { return now >= entry.second.until; });
    bool const hasDropped = dropOldObservations(now);
    auto const isOwner = [&](InstanceId const &id) { return std::ranges::find(runners_, id) != runners_.end(); };
    bool const hasLossEnded =
        std::ranges::any_of(storeLossUntil_, [&](auto const &loss) { return now >= loss.second && isOwner(loss.first); });
    if (removedCount > 0 || endedDepartures > 0 || hasDropped || hasLossEnded)
        updateRunners(now);
}

bool PeerTable::dropOldObservations(Instant now)
{
    bool hasDropped = false;
    for (auto &[id, peer] : peers_) {
        if (now < peer.observedUntil || peer.report.observedRunners.empty())
            continue;
        peer.report.observedRunners.clear();
        hasDropped = true;
    }
    return hasDropped;
}

bool PeerTable::hasDeparted(ObservedRunner const &runner) const
{
    auto const found = departures_.find(runner.id);
    return found != departures_.end() && runner.startedAt <= found->second.startedAt;
}

bool PeerTable::isTimedOut(PeerReport const &report, Instant receivedAt, Instant now) const
{
    return now - receivedAt >= std::max(options_.peerTimeout, report.nextWithin * options_.maxMissedIntervals);
}

void PeerTable::onProcessPaused(Instant now)
{
    lastUnsettledAt_ = now;
}

void PeerTable::setOwnStage(InstanceStage stage, Instant now)
{
    ownStage_ = stage;
    updateRunners(now);
}

void PeerTable::setFleetKind(FleetKind kind)
{
    if (std::exchange(fleetKind_, kind) != kind)
        ++topologyVersion_;
}

void PeerTable::setOwnStoreReachability(StoreReachability reachability, Instant now)
{
    ownStoreReachability_ = reachability;
    updateRunners(now);
}

void PeerTable::updateRunners(Instant now)
{
    ++topologyVersion_;
    relays_ = firstRelays(options_.dataCentre, true);
    auto const known = knownRunners();
    isStoreLostForAllRunners_ = !known.empty()
        && std::all_of(known.begin(), known.end(), [](auto const &entry) { return entry.second == StoreReachability::Lost; });
    updateStoreLosses(known, now);
    runners_ = findRunners(known, now);
    std::string names;
    for (auto const &runner : runners_)
        names += runner.value() + '\n';
    auto const hash = static_cast<std::uint64_t>(XXH3_64bits(names.data(), names.size()));
    if (hash != std::exchange(runnersHash_, hash))
        lastUnsettledAt_ = now;
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

void PeerTable::addLoad(PeerReport const &report)
{
    for (auto const &[server, count] : report.inFlight) {
        // A received report may list a server with nothing in flight. Sums are stored only for servers with requests.
        if (count == InFlight{})
            continue;
        auto &sum = sums_[server];
        sum.all.online += count.online;
        sum.all.batch += count.batch;
        if (count.batch > 0)
            sum.batch[report.sender] = count.batch;
    }
}

void PeerTable::removeLoad(PeerReport const &report)
{
    for (auto const &[server, count] : report.inFlight) {
        if (count == InFlight{})
            continue;
        auto const found = sums_.find(server);
        auto &sum = found->second;
        sum.all.online -= count.online;
        sum.all.batch -= count.batch;
        sum.batch.erase(report.sender);
        if (sum.all == InFlight{})
            sums_.erase(found);
    }
}

InFlight PeerTable::directAt(ServerId const &server) const
{
    auto const found = sums_.find(server);
    return found == sums_.end() ? InFlight{} : found->second.all;
}

InFlight PeerTable::othersAt(ServerId const &server) const
{
    // A relay receives each report of its data centre itself.
    bool const usesSummary = summaries_.hasNear() && !isRelay();
    auto const near = usesSummary ? summaries_.nearAt(server) : directAt(server);
    auto const far = summaries_.farAt(server);
    return {.online = near.online + far.online, .batch = near.batch + far.batch};
}

LoadByServer PeerTable::directLoad() const
{
    LoadByServer load;
    for (auto const &[server, sum] : sums_)
        load.emplace_hint(load.end(), server, sum.all);
    return load;
}

LoadByServer const &PeerTable::farLoad() const
{
    return summaries_.farFromRelays();
}

bool PeerTable::onSummary(LoadSummary summary, Instant now)
{
    return summaries_.onSummary(std::move(summary), now);
}

std::optional<Instant> PeerTable::lastSummaryAt() const
{
    return summaries_.lastNearAt();
}

void PeerTable::onOwnReport(ReportPosition const &position, LoadByServer load)
{
    summaries_.onOwnReport(position, std::move(load));
}

std::vector<InstanceId> const &PeerTable::relays() const
{
    return relays_;
}

bool PeerTable::isRelay() const
{
    return std::find(relays_.begin(), relays_.end(), options_.self) != relays_.end();
}

std::vector<InstanceId> PeerTable::relaysOf(DataCentreId const &dataCentre) const
{
    return firstRelays(dataCentre, false);
}

std::vector<InstanceId> PeerTable::firstRelays(DataCentreId const &dataCentre, bool mayUseOthers) const
{
    struct Candidate {
        bool isNear;
        bool reachesStore;
        std::uint64_t score;
        InstanceId id;

        auto operator<=>(Candidate const &) const = default;
    };
    std::vector<Candidate> candidates;
    auto const add = [&](InstanceId const &id, DataCentreId const &where, StoreReachability store) {
        if (where == dataCentre || mayUseOthers)
            candidates.push_back({.isNear = where == dataCentre,
                                  .reachesStore = store == StoreReachability::Reached,
                                  .score = rendezvousScore(dataCentre.value(), id.value()),
                                  .id = id});
    };
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner && peer.report.stage == InstanceStage::Serving)
            add(id, peer.report.dataCentre, peer.report.store);
    }
    if (options_.ownRole == InstanceRole::Runner && ownStage_ == InstanceStage::Serving)
        add(options_.self, options_.dataCentre, ownStoreReachability_);
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::vector<InstanceId> relays;
    for (auto const &candidate : candidates) {
        // Runners of other data centres are used only if the own one has none.
        if (relays.size() < options_.relaysPerDataCentre && candidate.isNear == candidates.front().isNear)
            relays.push_back(candidate.id);
    }
    return relays;
}

std::vector<PeerReport const *> PeerTable::summaryReceivers() const
{
    std::vector<PeerReport const *> receivers;
    for (auto const &[id, peer] : peers_) {
        if (peer.report.wantsSummaries)
            receivers.push_back(&peer.report);
    }
    return receivers;
}

std::optional<Address> PeerTable::addressOf(InstanceId const &id) const
{
    if (auto const *report = find(id))
        return report->address;
    for (auto const &[peerId, peer] : peers_) {
        for (auto const &runner : peer.report.observedRunners) {
            if (runner.id == id && !runner.address.value().empty())
                return runner.address;
        }
    }
    return std::nullopt;
}

std::uint64_t PeerTable::topologyVersion() const
{
    return topologyVersion_;
}

std::vector<std::pair<InstanceId, std::uint32_t>> PeerTable::batchAt(ServerId const &server) const
{
    auto const found = sums_.find(server);
    if (found == sums_.end())
        return {};
    return {found->second.batch.begin(), found->second.batch.end()};
}

std::vector<ObservedRunner> PeerTable::observedRunners() const
{
    std::vector<ObservedRunner> observed;
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner && peer.report.stage == InstanceStage::Serving)
            observed.push_back({
                .id = id,
                .store = peer.report.store,
                .address = peer.report.address,
                .waitingTokens = peer.report.waitingTokens,
                .startedAt = peer.report.startedAt,
            });
    }
    if (options_.ownRole == InstanceRole::Runner && ownStage_ == InstanceStage::Serving)
        observed.push_back({.id = options_.self, .store = ownStoreReachability_});
    return observed;
}

std::vector<ObservedRunner> PeerTable::relayedRunners() const
{
    std::map<InstanceId, ObservedRunner> known;
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role != InstanceRole::Runner || peer.report.dataCentre == options_.dataCentre)
            continue;
        for (auto const &runner : peer.report.observedRunners) {
            if (!hasDeparted(runner))
                known.emplace(runner.id, runner);
        }
    }
    for (auto const &runner : observedRunners())
        known.insert_or_assign(runner.id, runner);
    std::vector<ObservedRunner> runners;
    for (auto &[id, runner] : known)
        runners.push_back(std::move(runner));
    return runners;
}

std::vector<InstanceId> const &PeerTable::runners() const
{
    return runners_;
}

bool PeerTable::isStoreLostForAllRunners() const
{
    return isStoreLostForAllRunners_;
}

std::optional<InstanceId> PeerTable::observerOf(InstanceId const &runner) const
{
    if (runner == options_.self || peers_.contains(runner))
        return std::nullopt;
    for (auto const &[id, peer] : peers_) {
        for (auto const &observed : peer.report.observedRunners) {
            if (observed.id == runner)
                return id;
        }
    }
    return std::nullopt;
}

std::map<InstanceId, StoreReachability> PeerTable::knownRunners() const
{
    std::map<InstanceId, StoreReachability> known;
    for (auto const &[id, peer] : peers_) {
        for (auto const &runner : peer.report.observedRunners) {
            if (!hasDeparted(runner))
                known.emplace(runner.id, runner.store);
        }
    }
    // A runner's own report takes precedence over observations by others, including its report that it is leaving.
    for (auto const &[id, peer] : peers_) {
        if (peer.report.role == InstanceRole::Runner)
            known.erase(id);
    }
    known.erase(options_.self);
    for (auto const &runner : observedRunners())
        known[runner.id] = runner.store;
    return known;
}

void PeerTable::updateStoreLosses(std::map<InstanceId, StoreReachability> const &known, Instant now)
{
    auto const isLost = [&](InstanceId const &id) {
        auto const found = known.find(id);
        return !isStoreLostForAllRunners_ && found != known.end() && found->second == StoreReachability::Lost;
    };
    std::erase_if(storeLossUntil_, [&](auto const &entry) { return !isLost(entry.first); });
    for (auto const &[id, store] : known) {
        if (isLost(id))
            storeLossUntil_.try_emplace(id, now + options_.storeLossTolerance);
    }
}

std::vector<InstanceId> PeerTable::findRunners(std::map<InstanceId, StoreReachability> const &known, Instant now) const
{
    std::vector<InstanceId> ids;
    for (auto const &[id, store] : known) {
        auto const loss = storeLossUntil_.find(id);
        if (loss == storeLossUntil_.end() || now < loss->second)
            ids.push_back(id);
    }
    return ids;
}

bool PeerTable::isRunnerFor(ServerId const &server, DataCentreId const &dataCentre) const
{
    if (fleetKind_ == FleetKind::Small && runners_.size() <= options_.runnersPerServer)
        return true;
    auto const isNear = [&](InstanceId const &runner) {
        auto const *report = find(runner);
        return runner == options_.self ? options_.dataCentre == dataCentre : report && report->dataCentre == dataCentre;
    };
    // Runners in the server's data centre rank before all others.
    auto const rankOf = [&](InstanceId const &runner) {
        return std::pair(isNear(runner), rendezvousScore(server.value(), runner.value()));
    };
    auto const own = rankOf(options_.self);
    std::size_t before = 0;
    bool hasNear = own.first;
    for (auto const &runner : runners_) {
        auto const rank = rankOf(runner);
        hasNear = hasNear || rank.first;
        before += runner != options_.self && rank > own ? 1 : 0;
    }
    if (fleetKind_ == FleetKind::Small)
        return before < options_.runnersPerServer;
    return hasNear ? own.first && before < options_.runnersPerServer : before == 0;
}

std::set<ServerId> PeerTable::itemServers(std::span<ItemServer const> pool) const
{
    std::set<ServerId> servers;
    std::size_t accepting = 0;
    for (auto const &server : pool) {
        if (!isRunnerFor(server.id, server.dataCentre))
            continue;
        servers.insert(server.id);
        accepting += server.acceptsNew ? 1 : 0;
    }
    if (auto const share = shareOfServers(pool); accepting * MinShareDivisor < share)
        servers.merge(substituteServers(pool, share));
    return servers;
}

std::size_t PeerTable::shareOfServers(std::span<ItemServer const> pool) const
{
    auto const accepting =
        static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(), [](ItemServer const &server) { return server.acceptsNew; }));
    auto const share = accepting * options_.runnersPerServer / std::max<std::size_t>(1, runners_.size());
    return std::min(accepting, std::max<std::size_t>(1, share));
}

std::set<ServerId> PeerTable::substituteServers(std::span<ItemServer const> pool, std::size_t count) const
{
    struct Candidate {
        bool isNear;
        std::uint64_t score;
        ServerId id;

        auto operator<=>(Candidate const &) const = default;
    };
    std::vector<Candidate> candidates;
    for (auto const &server : pool) {
        if (server.acceptsNew)
            candidates.push_back({.isNear = server.dataCentre == options_.dataCentre,
                                  .score = rendezvousScore(options_.self.value(), server.id.value()),
                                  .id = server.id});
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::set<ServerId> servers;
    for (auto const &candidate : std::span(candidates).first(count))
        servers.insert(candidate.id);
    return servers;
}

bool PeerTable::hasTurnAt(ServerId const &server, std::uint64_t round) const
{
    auto const self = std::lower_bound(runners_.begin(), runners_.end(), options_.self);
    if (self == runners_.end() || *self != options_.self)
        return false;
    auto const turn = rendezvousScore(std::to_string(round), server.value()) % runners_.size();
    return turn == static_cast<std::uint64_t>(self - runners_.begin());
}

bool PeerTable::knowsFarLoad() const
{
    return fleetKind_ == FleetKind::Small || summaries_.hasFar();
}

std::uint32_t PeerTable::farBatchAt(ServerId const &server) const
{
    return summaries_.farAt(server).batch;
}

std::optional<InstanceId> PeerTable::ownerOf(JobId const &job) const
{
    return firstRunnerFor(job.value());
}

std::optional<InstanceId> PeerTable::nextOwnerOf(JobId const &job) const
{
    return secondRunnerFor(job.value());
}

std::optional<InstanceId> PeerTable::firstRunnerOf(PoolName const &pool) const
{
    return firstRunnerFor(pool.value());
}

std::vector<InstanceId> PeerTable::originKeepersOf(RequestId const &stream) const
{
    std::vector<InstanceId> keepers;
    for (auto const &keeper : {firstRunnerFor(stream.value()), secondRunnerFor(stream.value())}) {
        if (keeper)
            keepers.push_back(*keeper);
    }
    return keepers;
}

std::optional<InstanceId> PeerTable::admitterOf(RouteName const &route) const
{
    return firstRunnerFor(route.value());
}

std::optional<InstanceId> PeerTable::permitIssuerOf(ServerId const &server) const
{
    return firstRunnerFor(server.value());
}

std::optional<InstanceId> PeerTable::limitCoordinatorOf(CustomerId const &customer) const
{
    return firstRunnerFor(customer.value());
}

std::optional<InstanceId> PeerTable::firstRunnerFor(std::string const &key) const
{
    auto const owner = rendezvousOwner(key, runners_, [](InstanceId const &id) -> std::string const & { return id.value(); });
    return owner == runners_.end() ? std::nullopt : std::optional(*owner);
}

std::optional<InstanceId> PeerTable::secondRunnerFor(std::string const &key) const
{
    auto others = runners_;
    if (auto const first = firstRunnerFor(key))
        std::erase(others, *first);
    auto const second = rendezvousOwner(key, others, [](InstanceId const &id) -> std::string const & { return id.value(); });
    return second == others.end() ? std::nullopt : std::optional(*second);
}

std::uint64_t PeerTable::runnersHash() const
{
    return runnersHash_;
}

bool PeerTable::isUnsettled(Instant now) const
{
    if (lastUnsettledAt_ != Instant::min() && now - lastUnsettledAt_ < options_.unsettledTime)
        return true;
    return std::any_of(peers_.begin(), peers_.end(), [&](auto const &entry) { return entry.second.report.runnersHash != runnersHash_; });
}

void PeerTable::retainTokens(PeerReport const &report, Instant now)
{
    if (report.waitingTokens > 0)
        retainedTokens_[report.sender] = {.tokens = report.waitingTokens, .until = now + options_.takeoverTime};
}

std::uint64_t PeerTable::waitingTokens(Instant now) const
{
    std::uint64_t sum = 0;
    for (auto const &[id, retained] : retainedTokens_)
        sum += now < retained.until ? retained.tokens : 0;
    std::map<InstanceId, std::uint64_t> observed;
    for (auto const &[id, peer] : peers_) {
        sum += peer.report.waitingTokens;
        for (auto const &runner : peer.report.observedRunners) {
            if (!peers_.contains(runner.id) && runner.id != options_.self) {
                auto &tokens = observed[runner.id];
                tokens = std::max(tokens, runner.waitingTokens);
            }
        }
    }
    for (auto const &[id, tokens] : observed)
        sum += tokens;
    return sum;
}

} // namespace Anvilyard::Serving
