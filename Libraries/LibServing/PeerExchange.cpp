#include "LibServing/PeerExchange.h"

#include "LibServing/ServerLimitNews.h"

#include <algorithm>
#include <set>

namespace Anvilyard::Serving {

PeerExchange::PeerExchange(PeerExchangeOptions options, PeerTable &peers, Instant now)
    : options_(std::move(options))
    , peers_(peers)
    , schedule_({.self = options_.self, .ownRole = options_.role, .ownDataCentre = options_.dataCentre})
    , relaysExpectedUntil_(now + options_.relayReportTimeout)
    , runnersExpectedUntil_(now + options_.runnerReportTimeout)
{
}

void PeerExchange::addInstance(InstanceRegistration const &registration)
{
    if (registration.id == options_.self)
        return;
    // An address from the instance's own reports is newer.
    if (!addresses_.try_emplace(registration.id, registration.address).second)
        return;
    schedule_.add(registration.id);
    if (registration.role) {
        roles_[registration.id] = *registration.role;
        schedule_.setRoleAndDataCentre(registration.id, *registration.role, registration.dataCentre);
    }
}

void PeerExchange::onInstancesListed()
{
    hasListed_ = true;
}

PeerExchange::Acceptance PeerExchange::onReport(PeerReport report, Instant now)
{
    if (report.sender == options_.self)
        return Acceptance::Ignored;
    auto const sender = report.sender;
    addresses_[sender] = report.address;
    roles_[sender] = report.role;
    schedule_.setRoleAndDataCentre(sender, report.role, report.dataCentre);
    schedule_.onReported(sender, now);
    schedule_.setKnownInstances(report.knownInstances);
    bool const isNew = !peers_.find(sender);
    // The peer may not have this instance's address yet.
    if (isNew) {
        schedule_.scheduleNow(sender);
        promptNews_.scheduleNow();
        limitNews_.scheduleNow();
    }
    if (!peers_.onReport(std::move(report), now))
        return Acceptance::Ignored;
    ++receivedReports_;
    refreshTopology();
    return isNew ? Acceptance::AcceptedFromNewPeer : Acceptance::Accepted;
}

PeerExchange::Acceptance PeerExchange::onSummary(LoadSummary summary, Instant now)
{
    bool const isOwn = summary.relay == options_.self;
    return !isOwn && peers_.onSummary(std::move(summary), now) ? Acceptance::Accepted : Acceptance::Ignored;
}

std::vector<RelayHelper> PeerExchange::otherEntries() const
{
    std::vector<RelayHelper> entries;
    for (auto const &[id, address] : addresses_) {
        auto const role = roles_.find(id);
        if (id != options_.self && role != roles_.end() && role->second == InstanceRole::Entry)
            entries.push_back({.id = id, .address = address});
    }
    return entries;
}

void PeerExchange::scheduleAllNow()
{
    schedule_.scheduleAllNow();
}

void PeerExchange::refreshTopology()
{
    peers_.setFleetKind(schedule_.isSmallFleet() ? FleetKind::Small : FleetKind::Large);
    if (std::exchange(seenTopology_, peers_.topologyVersion()) == peers_.topologyVersion())
        return;
    schedule_.setRelays(peers_.relays());
    schedule_.setLiveRunners(peers_.runners());
}

void PeerExchange::chooseSummarySources(Instant now)
{
    auto const last = peers_.lastSummaryAt();
    if (!last || now - *last >= options_.summarySilence)
        lastSummarySilenceAt_ = now;
    bool const isSilent = lastSummarySilenceAt_ && now - *lastSummarySilenceAt_ < options_.summarySourcesHold;
    schedule_.setSummarySources(isSilent ? SummarySources::AllRelays : SummarySources::FirstRelay);
}

PeerExchange::Outgoing PeerExchange::takeDue(OwnState const &own, Instant now)
{
    refreshTopology();
    chooseSummarySources(now);
    Outgoing outgoing;
    for (auto const &group : schedule_.takeDue(own.changes, now)) {
        OutgoingReport due{.report = compose(group, own)};
        for (auto const &peer : group.peers)
            due.receivers.push_back(addresses_.at(peer));
        if (group.wantsSummaries)
            peers_.onOwnReport({.startedAt = due.report.startedAt, .number = due.report.number}, due.report.inFlight);
        outgoing.reports.push_back(std::move(due));
    }
    if (!schedule_.isSmallFleet())
        addSummaries(outgoing, own, now);
    addPromptEvidence(outgoing, own.prompts, now);
    addServerLimits(outgoing, own.limits, now);
    return outgoing;
}

PeerReport PeerExchange::compose(ReportSchedule::ReportGroup const &group, OwnState const &own)
{
    PeerReport report{
        .sender = options_.self,
        .startedAt = own.startedAt,
        .number = ++lastReportNumber_,
        .nextWithin = group.nextWithin,
        .role = options_.role,
        .stage = own.stage,
        .store = own.store,
        .dataCentre = options_.dataCentre,
        .address = own.address,
        .stateVersion = own.stateVersion,
        .serversRevision = own.serversRevision,
        .runnersHash = peers_.runnersHash(),
        .knownInstances = schedule_.fleetSize(),
        .wantsSummaries = group.wantsSummaries,
        .waitingTokens = own.waitingTokens,
    };
    report.statesObservedRunners = group.extent == ReportExtent::Full || group.extent == ReportExtent::WithoutLoad;
    if (report.statesObservedRunners)
        report.observedRunners = options_.role == InstanceRole::Entry ? peers_.relayedRunners() : peers_.observedRunners();
    if (group.extent == ReportExtent::Full || group.extent == ReportExtent::LoadOnly)
        report.inFlight = own.inFlight;
    return report;
}

void PeerExchange::addSummaries(Outgoing &outgoing, OwnState const &own, Instant now)
{
    auto const receivers = peers_.summaryReceivers();
    if (receivers.empty() && !peers_.isRelay())
        return;
    bool const isFarDue = schedule_.takeFarSummaryDue(now);
    if (!schedule_.takeSummaryDue(receivedReports_ + own.changes, now) && !isFarDue)
        return;
    LoadSummary summary{
        .relay = options_.self,
        .position = {.startedAt = own.startedAt, .number = ++lastSummaryNumber_},
        .dataCentre = options_.dataCentre,
        .stateVersion = own.stateVersion,
        .serversRevision = own.serversRevision,
        .near = peers_.directLoad(),
    };
    for (auto const &[server, count] : own.inFlight) {
        auto &sum = summary.near[server];
        sum.online += count.online;
        sum.batch += count.batch;
    }
    if (isFarDue) {
        OutgoingSummary toFarRelays{.summary = summary};
        std::set<DataCentreId> dataCentres;
        for (auto const *peer : peers_.live())
            dataCentres.insert(peer->dataCentre);
        dataCentres.erase(options_.dataCentre);
        for (auto const &dataCentre : dataCentres) {
            for (auto const &relay : peers_.relaysOf(dataCentre))
                toFarRelays.receivers.push_back({.address = addresses_.at(relay)});
        }
        outgoing.summaries.push_back(std::move(toFarRelays));
        summary.far = peers_.farLoad();
    }
    OutgoingSummary toReceivers{.summary = std::move(summary)};
    for (auto const *receiver : receivers)
        toReceivers.receivers.push_back(
            {.address = receiver->address, .included = ReportPosition{.startedAt = receiver->startedAt, .number = receiver->number}});
    outgoing.summaries.push_back(std::move(toReceivers));
}

void PeerExchange::addPromptEvidence(Outgoing &outgoing, PromptQuarantine const &prompts, Instant now)
{
    if (!promptNews_.isDue(prompts.version(), now))
        return;
    auto messages = splitPromptEvidence(prompts.evidence(), MaxLostResponsesPerMessage);
    if (messages.empty())
        return;
    auto &message = messages[promptNews_.take(prompts.version(), messages.size(), now)];
    outgoing.promptEvidence = {.receivers = newsReceivers(), .evidence = std::move(message)};
}

void PeerExchange::addServerLimits(Outgoing &outgoing, ServerLimitTable const &limits, Instant now)
{
    if (limits.all().empty() || !limitNews_.isDue(limits.version(), now))
        return;
    auto messages = splitServerLimits(limits.all(), MaxLimitsPerMessage);
    auto &message = messages[limitNews_.take(limits.version(), messages.size(), now)];
    outgoing.serverLimits = {.receivers = newsReceivers(), .limits = std::move(message)};
}

/// In a large fleet news passes through the relays, as load does. All instances merge it and pass it on.
std::vector<Address> PeerExchange::newsReceivers() const
{
    std::vector<Address> receivers;
    auto const add = [&](InstanceId const &id) {
        if (auto const found = addresses_.find(id); id != options_.self && found != addresses_.end())
            receivers.push_back(found->second);
    };
    if (schedule_.isSmallFleet()) {
        for (auto const *peer : peers_.live())
            add(peer->sender);
        return receivers;
    }
    for (auto const &relay : peers_.relays())
        add(relay);
    if (!peers_.isRelay())
        return receivers;
    std::set<DataCentreId> dataCentres;
    for (auto const *peer : peers_.live()) {
        if (peer->dataCentre == options_.dataCentre)
            add(peer->sender);
        else
            dataCentres.insert(peer->dataCentre);
    }
    for (auto const &dataCentre : dataCentres) {
        for (auto const &relay : peers_.relaysOf(dataCentre))
            add(relay);
    }
    return receivers;
}

bool PeerExchange::mustWatchStore(Instant now)
{
    if (!hasListed_ && now < relaysExpectedUntil_)
        return false;
    if (schedule_.isSmallFleet() || peers_.isRelay())
        return true;
    auto const &relays = peers_.relays();
    bool const isRelayed = std::any_of(relays.begin(), relays.end(), [&](InstanceId const &relay) {
        auto const *report = peers_.find(relay);
        return report && report->store == StoreReachability::Reached;
    });
    if (isRelayed) {
        unrelayedSince_.reset();
        return false;
    }
    if (!unrelayedSince_)
        unrelayedSince_ = now;
    // During an outage of the store, the relays find out when it returns. Hundreds of instances that all try would meet it then.
    return !peers_.isStoreLostForAllRunners() && now >= relaysExpectedUntil_ && now - *unrelayedSince_ >= options_.relayLossDelay;
}

ChangeSource PeerExchange::changeSource(Instant now)
{
    if (mustWatchStore(now)) {
        relayedSince_.reset();
        changeSource_ = ChangeSource::Store;
        return changeSource_;
    }
    if (!relayedSince_)
        relayedSince_ = now;
    if (now - *relayedSince_ >= options_.relayedWatchDelay)
        changeSource_ = ChangeSource::Peers;
    return changeSource_;
}

WatchHold PeerExchange::watchHold() const
{
    auto const &relays = peers_.relays();
    return relays.empty() || relays.front() == options_.self ? WatchHold::Short : WatchHold::Default;
}

bool PeerExchange::areRunnersKnown(Instant now) const
{
    // Runners that start at the same moment may register after this one has listed them.
    return now >= runnersExpectedUntil_;
}

Duration PeerExchange::nearLoadAge() const
{
    return schedule_.nearLoadAge();
}

Duration PeerExchange::farLoadAge() const
{
    return schedule_.farLoadAge();
}

std::size_t PeerExchange::fleetSize() const
{
    return schedule_.fleetSize();
}

} // namespace Anvilyard::Serving
