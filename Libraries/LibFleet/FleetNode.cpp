#include "LibFleet/FleetNode.h"

#include <algorithm>

namespace Anvilyard::Fleet {

namespace {

InstanceState toInstanceState(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return InstanceState::Alive;
    case MemberState::Leaving:
        return InstanceState::Leaving;
    case MemberState::Suspect:
    case MemberState::Dead:
        return InstanceState::Suspect;
    }
    return InstanceState::Suspect;
}

Instance toInstance(InstanceRecord const &record)
{
    return {
        .id = record.id,
        .dataCentre = record.dataCentre,
        .state = toInstanceState(record.state),
        .agentAddress = record.agentAddress,
        .entryPeerAddress = record.entryPeerAddress,
        .batchPeerAddress = record.batchPeerAddress,
    };
}

} // namespace

FleetNode::FleetNode(FleetNodeOptions options)
    : options_(std::move(options))
    , random_(options_.randomSeed)
    , membership_(options_.self, options_.membership)
    , rules_(options_.rules)
    , servers_(options_.servers)
{
}

FleetActions FleetNode::onTick(CurrentTime now)
{
    FleetActions actions;
    applyMembership(membership_.onTick(now.local), actions);
    servers_.onTick(now.local);
    if (jobsMark_.onTick(now)) {
        pendingBursts_ = options_.pushBursts;
        viewChanged_ = true;
    }
    if (!nextExchange_) {
        // Without a random delay, instances that start together would send their exchanges at the same time forever.
        std::uniform_int_distribution<Duration::rep> spread(0, options_.exchangeInterval.count());
        nextExchange_ = now.local + Duration(spread(random_));
    }
    if (now.local >= *nextExchange_) {
        nextExchange_ = now.local + currentExchangeInterval();
        exchangeWithRandomPeer(now, actions);
    }
    contactDisconnected(now, actions);
    readPlatform(now, actions);
    finish(now, actions);
    return actions;
}

Exchange FleetNode::makeMessage()
{
    membership_.setOwnGeneration(rules_.inForce()->generation);
    return {
        .from = membership_.self().id,
        .incarnation = membership_.self().incarnation,
        .generation = rules_.advertisedGeneration(),
        .instances = membership_.takeUpdates(random_),
        .servers = servers_.takeUpdates(membership_.liveCount()),
        .instancesDigest = membership_.digest(),
        .serversDigest = servers_.digest(),
        .jobsMark = jobsMark_.value(),
    };
}

FleetActions FleetNode::onExchange(Exchange const &message, Exchange &reply, CurrentTime now)
{
    FleetActions actions;
    applyMessage(message, now, actions);
    reply = makeMessage();
    reply.rules = rules_.updateFor(message.generation);
    addRecordOf(message.from, reply);
    if (message.wantsAll && message.instancesDigest != reply.instancesDigest)
        reply.instances = membership_.allRecords();
    if (message.wantsAll && message.serversDigest != reply.serversDigest)
        reply.servers = servers_.allRecords();
    finish(now, actions);
    return actions;
}

/// Adds the record of a peer considered suspect, dead or leaving, so that the peer can refute it.
void FleetNode::addRecordOf(InstanceId const &peer, Exchange &message) const
{
    auto const *record = membership_.find(peer);
    if (record != nullptr && record->state != MemberState::Alive)
        message.instances.push_back(*record);
}

FleetActions FleetNode::onReply(Address const &from, Exchange const &message, CurrentTime now)
{
    FleetActions actions;
    std::erase_if(unknownListedInstances_, [&](auto const &entry) { return entry.second == from; });
    applyMessage(message, now, actions);
    auto const sameInstances = message.instancesDigest == membership_.digest();
    auto const sameServers = message.serversDigest == servers_.digest();
    consecutiveAgreements_ = sameInstances && sameServers ? consecutiveAgreements_ + 1 : 0;
    if (consecutiveAgreements_ >= options_.convergedAfter)
        servers_.clearUpdates();
    divergence_ = std::clamp(divergence_ + (sameInstances && sameServers ? -1 : 1), 0, options_.fullSyncThreshold);
    followUp(from, message, actions);
    finish(now, actions);
    return actions;
}

void FleetNode::applyMessage(Exchange const &message, CurrentTime now, FleetActions &actions)
{
    auto const incarnation = membership_.self().incarnation;
    applyMembership(membership_.onRecords(message.instances, now.local), actions);
    if (membership_.self().incarnation != incarnation)
        pendingBursts_ = options_.pushBursts;
    applyMembership(membership_.onMessageFrom(message.from, message.incarnation, now.local), actions);
    if (servers_.merge(message.servers, now.local)) {
        consecutiveAgreements_ = 0;
        pendingBursts_ = options_.pushBursts;
        viewChanged_ = true;
    }
    if (jobsMark_.merge(message.jobsMark)) {
        pendingBursts_ = options_.pushBursts;
        viewChanged_ = true;
    }
    if (message.rules)
        applyRules(*message.rules, actions);
}

void FleetNode::applyMembership(MembershipActions const &changes, FleetActions &actions)
{
    for (auto const &change : changes) {
        std::visit([&](auto const &action) { actions.emplace_back(action); }, change);
        if (auto const *changed = std::get_if<MemberChanged>(&change)) {
            viewChanged_ = true;
            if (changed->state == MemberState::Dead)
                followUps_.erase(changed->id);
            // A refutation must reach every instance before the suspicion times out; a suspicion itself is not urgent.
            if (changed->state != MemberState::Suspect)
                pendingBursts_ = options_.pushBursts;
        }
    }
}

/// Sends the suspicion to each newly suspected peer at once, so that it can refute it in time.
void FleetNode::notifySuspects(MembershipActions const &changes, FleetActions &actions)
{
    for (auto const &change : changes) {
        auto const *changed = std::get_if<MemberChanged>(&change);
        if (changed != nullptr && changed->state == MemberState::Suspect)
            exchangeWith(*membership_.find(changed->id), actions);
    }
}

void FleetNode::applyRules(RuleSetUpdate const &update, FleetActions &actions)
{
    auto const outcome = rules_.offer(update);
    if (outcome == OfferOutcome::NotNewer)
        return;
    actions.emplace_back(RulesOffered{.generation = update.generation, .outcome = outcome});
    if (outcome != OfferOutcome::InForce && outcome != OfferOutcome::Unreadable)
        return;
    pendingBursts_ = options_.pushBursts;
    if (outcome != OfferOutcome::InForce)
        return;
    viewChanged_ = true;
    std::set<ServerId> leaving;
    for (auto const &rule : rules_.inForce()->leaving)
        leaving.insert(rule.server);
    servers_.setLeavingByRule(std::move(leaving));
}

void FleetNode::exchangeWith(InstanceRecord const &peer, FleetActions &actions)
{
    SendExchange exchange{.to = peer.agentAddress, .peer = peer.id, .message = makeMessage()};
    exchange.message.rules = rules_.differenceFor(peer.generationInForce);
    addRecordOf(peer.id, exchange.message);
    actions.emplace_back(std::move(exchange));
}

/// Sends a peer that is still behind after the exchange exactly the update it needs, once for each step.
void FleetNode::followUp(Address const &to, Exchange const &answer, FleetActions &actions)
{
    auto update = rules_.updateFor(answer.generation);
    auto const step = std::pair(rules_.newestGeneration(), answer.generation);
    if (!update || followUps_[answer.from] == step)
        return;
    followUps_[answer.from] = step;
    SendExchange exchange{.to = to, .peer = answer.from, .message = makeMessage()};
    exchange.message.rules = std::move(update);
    actions.emplace_back(std::move(exchange));
}

Duration FleetNode::currentExchangeInterval() const
{
    return membership_.liveCount() < options_.largeFleetSize ? options_.exchangeInterval : options_.exchangeIntervalInLargeFleet;
}

void FleetNode::exchangeWithRandomPeer(CurrentTime now, FleetActions &actions)
{
    // A shuffled round visits each peer once, so that none waits much longer than the others.
    InstanceRecord const *peer = nullptr;
    while (peer == nullptr && !probeOrder_.empty()) {
        peer = membership_.find(probeOrder_.back());
        probeOrder_.pop_back();
        if (peer != nullptr && peer->state == MemberState::Dead)
            peer = nullptr;
    }
    if (peer == nullptr) {
        for (auto const *record : membership_.livePeers())
            probeOrder_.push_back(record->id);
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
        if (probeOrder_.empty())
            return;
        peer = membership_.find(probeOrder_.back());
        probeOrder_.pop_back();
    }
    exchangeWith(*peer, actions);
    if (divergence_ >= options_.fullSyncThreshold && now.local >= nextFullSync_) {
        nextFullSync_ = now.local + options_.fullSyncInterval;
        std::get<SendExchange>(actions.back()).message.wantsAll = true;
    }
}

void FleetNode::contactDisconnected(CurrentTime now, FleetActions &actions)
{
    if (now.local < nextRetry_)
        return;
    auto const live = membership_.livePeers();
    auto const dead = membership_.deadPeers();
    struct Candidate {
        Address address;
        InstanceId id;
    };
    std::vector<Candidate> candidates;
    for (auto const *record : dead)
        candidates.push_back({.address = record->agentAddress, .id = record->id});
    for (auto const &[id, address] : unknownListedInstances_)
        candidates.push_back({.address = address, .id = id});
    for (auto const &seed : options_.seeds)
        candidates.push_back({.address = seed});
    std::erase_if(candidates, [&](auto const &candidate) { return isLiveAddress(candidate.address); });
    nextRetry_ = now.local + (live.empty() ? options_.isolatedRetryInterval : options_.deadRetryInterval);
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    auto const &chosen = candidates[pick(random_)];
    SendExchange exchange{.to = chosen.address, .message = makeMessage()};
    addRecordOf(chosen.id, exchange.message);
    exchange.message.wantsAll = true;
    actions.emplace_back(std::move(exchange));
}

bool FleetNode::isLiveAddress(Address const &address) const
{
    if (address == membership_.self().agentAddress)
        return true;
    auto const live = membership_.livePeers();
    return std::any_of(live.begin(), live.end(), [&](auto const *peer) { return peer->agentAddress == address; });
}

FleetActions FleetNode::onNoReply(Address const &to, InstanceId const &peer, Instant sentAt, CurrentTime now)
{
    FleetActions actions;
    if (!peer.value().empty()) {
        auto const changes = membership_.onNoAnswer(peer, sentAt, random_, now.local);
        applyMembership(changes, actions);
        notifySuspects(changes, actions);
    }
    std::erase_if(unknownListedInstances_, [&](auto const &entry) { return entry.second == to; });
    finish(now, actions);
    return actions;
}

FleetActions FleetNode::onIndirectAnswer(InstanceId const &target, Membership::Reach reach, CurrentTime now)
{
    FleetActions actions;
    auto const changes = membership_.onIndirectAnswer(target, reach, now.local);
    applyMembership(changes, actions);
    notifySuspects(changes, actions);
    finish(now, actions);
    return actions;
}

void FleetNode::readPlatform(CurrentTime now, FleetActions &actions)
{
    auto const wasWatcher = isWatcher_;
    if (electionChangeCount_ != membership_.changeCount()) {
        electionChangeCount_ = membership_.changeCount();
        watcherPlace_ = electWatcher(membership_.self(), membership_.livePeers());
    }
    // An instance without rules or servers reads the platform itself, even if others do.
    isWatcher_ = watcherPlace_ || !isReady();
    if (!isWatcher_) {
        if (wasWatcher)
            servers_.stopWatching();
        return;
    }
    if (now.local >= rulesSchedule_.next) {
        // The answer reschedules the read. Without an answer, the next read follows the interval for an unavailable platform.
        rulesSchedule_.next = now.local + options_.maxReadInterval;
        actions.emplace_back(ReadRules{.generation = Generation(rules_.newestGeneration().value() + 1)});
    }
    if (now.local >= listSchedule_.next) {
        listSchedule_.next = now.local + options_.maxReadInterval;
        actions.emplace_back(ReadList{});
    }
}

void FleetNode::backOff(ReadSchedule &schedule, CurrentTime now)
{
    // Jitter prevents the watchers from resuming at the same time.
    schedule.wait = std::min(options_.maxReadInterval, std::max(options_.rulesReadInterval, schedule.wait * 2));
    std::uniform_int_distribution<Duration::rep> jitter(schedule.wait.count() / 2, schedule.wait.count());
    schedule.next = now.local + Duration(jitter(random_));
}

/// Returns the time of the next read of the list. All watchers share one round on wall-clock time and have different offsets
/// in it; clock differences only make the turns uneven.
Instant FleetNode::nextListRead(std::size_t servers, CurrentTime now) const
{
    auto const length = std::max(options_.listReadInterval, options_.listReadIntervalPerServer * static_cast<Duration::rep>(servers));
    auto const place = watcherPlace_.value_or(WatcherPlace{});
    auto const turn = length * static_cast<Duration::rep>(place.rank) / static_cast<Duration::rep>(place.count);
    auto const intoTurn = (Duration(now.wall.time_since_epoch()) - turn) % length;
    auto const wait = length - intoTurn;
    // A turn that is due immediately is the one just completed.
    return now.local + (wait < length / 2 ? wait + length : wait);
}

FleetActions FleetNode::onRulesRead(RuleSetUpdate const &rules, CurrentTime now)
{
    FleetActions actions;
    applyRules(rules, actions);
    // A newer generation may follow.
    rulesSchedule_ = {.next = now.local, .wait = Duration(0)};
    finish(now, actions);
    return actions;
}

FleetActions FleetNode::onRulesNotRead(RulesReadError answer, CurrentTime now)
{
    if (answer == RulesReadError::Missing)
        rulesSchedule_ = {.next = now.local + options_.rulesReadInterval, .wait = Duration(0)};
    else
        backOff(rulesSchedule_, now);
    return {};
}

FleetActions FleetNode::onListRead(InstanceListing const &listing, CurrentTime now)
{
    FleetActions actions;
    listSchedule_ = {.next = nextListRead(listing.servers.size(), now), .wait = Duration(0)};
    if (servers_.onListRead(listing.servers, now.local)) {
        consecutiveAgreements_ = 0;
        pendingBursts_ = options_.pushBursts;
        viewChanged_ = true;
    }
    std::set<InstanceId> listed;
    for (auto const &instance : listing.instances) {
        listed.insert(instance.id);
        if (instance.listed == InstanceListing::OwnInstance::Listed::Leaving)
            applyMembership(membership_.onListedLeaving(instance.id, now.local), actions);
        else if (instance.id != membership_.self().id && membership_.find(instance.id) == nullptr)
            unknownListedInstances_[instance.id] = instance.agentAddress;
    }
    for (auto const &id : lastListed_) {
        if (!listed.contains(id))
            membership_.onUnlisted(id);
    }
    lastListed_ = std::move(listed);
    finish(now, actions);
    return actions;
}

FleetActions FleetNode::onListNotRead(CurrentTime now)
{
    backOff(listSchedule_, now);
    return {};
}

FleetActions FleetNode::onRaiseJobsMark(CurrentTime now)
{
    FleetActions actions;
    jobsMark_.raise(now);
    pendingBursts_ = options_.pushBursts;
    viewChanged_ = true;
    finish(now, actions);
    return actions;
}

FleetActions FleetNode::leave(CurrentTime now)
{
    FleetActions actions;
    membership_.leave();
    pendingBursts_ = options_.pushBursts;
    nextPush_ = now.local;
    viewChanged_ = true;
    finish(now, actions);
    return actions;
}

void FleetNode::push(FleetActions &actions)
{
    auto const live = membership_.livePeers();
    std::vector<InstanceRecord const *> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), options_.pushFanout, random_);
    for (auto const *peer : chosen)
        exchangeWith(*peer, actions);
}

void FleetNode::finish(CurrentTime now, FleetActions &actions)
{
    if (pendingBursts_ > 0 && now.local >= nextPush_) {
        --pendingBursts_;
        nextPush_ = now.local + options_.pushInterval;
        push(actions);
    }
    if (viewChanged_)
        actions.emplace_back(ViewChanged{});
    viewChanged_ = false;
}

bool FleetNode::isReady() const
{
    return rules_.inForce()->generation > Generation() && servers_.isPopulated();
}

std::shared_ptr<FleetView const> FleetNode::view() const
{
    auto view = std::make_shared<FleetView>();
    view->rules = rules_.inForce();
    view->servers = servers_.servers();
    view->instances.push_back(toInstance(membership_.self()));
    for (auto const *record : membership_.livePeers())
        view->instances.push_back(toInstance(*record));
    view->jobsMark = jobsMark_.value();
    return view;
}

Membership const &FleetNode::membership() const
{
    return membership_;
}

RulesDistributor const &FleetNode::rules() const
{
    return rules_;
}

ServerTable const &FleetNode::servers() const
{
    return servers_;
}

JobsMark const &FleetNode::jobsMark() const
{
    return jobsMark_;
}

bool FleetNode::watchesPlatform() const
{
    return isWatcher_;
}

} // namespace Anvilyard::Fleet
