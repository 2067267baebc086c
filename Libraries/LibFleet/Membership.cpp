#include "LibFleet/Membership.h"

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace Anvilyard::Fleet {

namespace {

/// Each change is sent this many times the logarithm of the fleet's size, which reaches all members with high probability.
constexpr std::size_t SendsPerDoubling = 3;

bool isLive(MemberState state)
{
    return state != MemberState::Dead;
}

bool canBeSuspected(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}

bool supersedes(InstanceRecord const &claim, InstanceRecord const &stored)
{
    if (claim.incarnation != stored.incarnation)
        return claim.incarnation > stored.incarnation;
    return claim.state > stored.state;
}

std::uint64_t hashOf(InstanceRecord const &record)
{
    // Suspicion is left out, because it ends at a different time on each instance.
    auto const &id = record.id.value();
    return XXH3_64bits_withSeed(id.data(), id.size(), record.incarnation.value());
}

} // namespace

Membership::Membership(InstanceRecord self, MembershipOptions options)
    : options_(options)
    , self_(std::move(self))
{
}

void Membership::detectPause(Instant now)
{
    auto const last = lastEvent_.value_or(now);
    lastEvent_ = now;
    if (now - last <= options_.pauseThreshold)
        return;
    // No messages were received during our pause, so no member's deadline may expire because of it.
    pausedUntil_ = now;
    indirectProbes_.clear();
    for (auto &[id, member] : members_) {
        if (member.deadline)
            *member.deadline += now - last;
    }
}

MembershipActions Membership::onMessageFrom(InstanceId const &peer, Incarnation incarnation, Instant now)
{
    detectPause(now);
    MembershipActions actions;
    auto const found = members_.find(peer);
    if (found == members_.end())
        return actions;
    auto &member = found->second;
    indirectProbes_.erase(peer);
    if (incarnation > member.record.incarnation) {
        member.record.incarnation = incarnation;
        change(member, MemberState::Alive, now, actions);
    }
    return actions;
}

MembershipActions Membership::onRecords(std::vector<InstanceRecord> const &records, Instant now)
{
    detectPause(now);
    MembershipActions actions;
    for (auto const &record : records) {
        auto const changes = merge(record, now);
        actions.insert(actions.end(), changes.begin(), changes.end());
    }
    return actions;
}

MembershipActions Membership::merge(InstanceRecord const &record, Instant now)
{
    MembershipActions actions;
    if (record.id.value().empty())
        return actions;
    if (record.id == self_.id) {
        refute(record);
        return actions;
    }
    auto const found = members_.find(record.id);
    if (found == members_.end()) {
        // Accepting the death of a removed member again would make the record circulate forever.
        if (!isLive(record.state))
            return actions;
        auto &member = members_[record.id];
        member.record = record;
        change(member, record.state, now, actions);
        return actions;
    }
    auto &member = found->second;
    auto const generation = std::max(member.record.generationInForce, record.generationInForce);
    if (supersedes(record, member.record)) {
        auto const isNewProcess = record.incarnation > member.record.incarnation;
        if (isNewProcess)
            member.record = record;
        change(member, record.state, now, actions);
    }
    member.record.generationInForce = generation;
    return actions;
}

void Membership::refute(InstanceRecord const &claim)
{
    auto const isOlder = claim.incarnation < self_.incarnation;
    auto const isConsistent = claim.incarnation == self_.incarnation && claim.state <= self_.state;
    if (isOlder || isConsistent)
        return;
    self_.incarnation = Incarnation(claim.incarnation.value() + 1);
    digest_.reset();
}

void Membership::change(Member &member, MemberState state, Instant now, MembershipActions &actions)
{
    member.record.state = state;
    member.deadline.reset();
    ++changeCount_;
    digest_.reset();
    liveCount_.reset();
    if (state == MemberState::Suspect)
        member.deadline = now + options_.suspicionTimeout;
    if (state == MemberState::Dead)
        member.deadline = now + options_.deadRetention;
    updateNextDeadline(member);
    pendingUpdates_.add(member.record.id);
    actions.emplace_back(MemberChanged{.id = member.record.id, .state = state});
}

void Membership::updateNextDeadline(Member const &member)
{
    if (member.deadline)
        nextDeadline_ = std::min(nextDeadline_.value_or(*member.deadline), *member.deadline);
}

void Membership::raiseSuspicion(Member &member, Instant now, MembershipActions &actions)
{
    if (member.record.state == MemberState::Alive)
        change(member, MemberState::Suspect, now, actions);
    else if (member.record.state == MemberState::Leaving)
        // The instance announced its shutdown.
        change(member, MemberState::Dead, now, actions);
}

MembershipActions Membership::onNoAnswer(InstanceId const &peer, Instant sentAt, RandomSource &random, Instant now)
{
    detectPause(now);
    MembershipActions actions;
    auto const found = members_.find(peer);
    if (found == members_.end() || !canBeSuspected(found->second.record.state))
        return actions;
    if (pausedUntil_ && sentAt <= *pausedUntil_)
        return actions;
    if (indirectProbes_.contains(peer))
        return actions;
    auto const helpers = pickHelpers(peer, random);
    if (helpers.empty()) {
        // There is no helper to ask; the instance can still refute the suspicion.
        raiseSuspicion(found->second, now, actions);
        return actions;
    }
    indirectProbes_[peer] = {.unanswered = helpers.size()};
    for (auto const *helper : helpers)
        actions.emplace_back(ProbeThrough{
            .through = helper->id,
            .throughAddress = helper->agentAddress,
            .target = peer,
            .targetAddress = found->second.record.agentAddress,
        });
    return actions;
}

MembershipActions Membership::onIndirectAnswer(InstanceId const &target, Reach reach, Instant now)
{
    detectPause(now);
    MembershipActions actions;
    auto const probe = indirectProbes_.find(target);
    if (probe == indirectProbes_.end())
        return actions;
    if (reach == Reach::Reached) {
        indirectProbes_.erase(probe);
        return actions;
    }
    if (--probe->second.unanswered > 0)
        return actions;
    indirectProbes_.erase(probe);
    if (auto const found = members_.find(target); found != members_.end())
        raiseSuspicion(found->second, now, actions);
    return actions;
}

MembershipActions Membership::onListedLeaving(InstanceId const &id, Instant now)
{
    detectPause(now);
    if (id == self_.id) {
        leave();
        return {};
    }
    auto const found = members_.find(id);
    if (found == members_.end() || found->second.record.state >= MemberState::Leaving)
        return {};
    MembershipActions actions;
    change(found->second, MemberState::Leaving, now, actions);
    return actions;
}

void Membership::onUnlisted(InstanceId const &id)
{
    auto const found = members_.find(id);
    if (found == members_.end() || isLive(found->second.record.state))
        return;
    pendingUpdates_.remove(id);
    members_.erase(found);
    ++changeCount_;
}

MembershipActions Membership::onTick(Instant now)
{
    detectPause(now);
    MembershipActions actions;
    if (!nextDeadline_ || now < *nextDeadline_)
        return actions;
    nextDeadline_.reset();
    for (auto entry = members_.begin(); entry != members_.end();) {
        auto &member = entry->second;
        auto const isDue = member.deadline && *member.deadline <= now;
        if (isDue && member.record.state == MemberState::Dead) {
            pendingUpdates_.remove(entry->first);
            entry = members_.erase(entry);
            continue;
        }
        if (isDue)
            change(member, MemberState::Dead, now, actions);
        updateNextDeadline(member);
        ++entry;
    }
    return actions;
}

void Membership::leave()
{
    self_.state = MemberState::Leaving;
}

void Membership::setOwnGeneration(Generation generation)
{
    self_.generationInForce = generation;
}

std::vector<InstanceRecord> Membership::takeUpdates(RandomSource &random)
{
    std::vector<InstanceRecord> records{self_};
    for (auto const &id : pendingUpdates_.take(options_.recordsPerMessage - 1, sendLimit())) {
        if (auto const *record = find(id))
            records.push_back(*record);
    }
    if (records.size() == options_.recordsPerMessage || members_.empty())
        return records;
    std::uniform_int_distribution<std::size_t> pick(0, members_.size() - 1);
    auto const member = std::next(members_.begin(), static_cast<std::ptrdiff_t>(pick(random)));
    if (isLive(member->second.record.state))
        records.push_back(member->second.record);
    return records;
}

std::vector<InstanceRecord> Membership::allRecords() const
{
    std::vector<InstanceRecord> records{self_};
    for (auto const &[id, member] : members_)
        records.push_back(member.record);
    return records;
}

InstanceRecord const &Membership::self() const
{
    return self_;
}

InstanceRecord const *Membership::find(InstanceId const &id) const
{
    auto const found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.record;
}

std::vector<InstanceRecord const *> Membership::livePeers() const
{
    std::vector<InstanceRecord const *> peers;
    for (auto const &[id, member] : members_) {
        if (isLive(member.record.state))
            peers.push_back(&member.record);
    }
    return peers;
}

std::vector<InstanceRecord const *> Membership::deadPeers() const
{
    std::vector<InstanceRecord const *> peers;
    for (auto const &[id, member] : members_) {
        if (!isLive(member.record.state))
            peers.push_back(&member.record);
    }
    return peers;
}

std::uint64_t Membership::changeCount() const
{
    return changeCount_;
}

std::uint64_t Membership::digest() const
{
    if (digest_)
        return *digest_;
    digest_ = hashOf(self_);
    for (auto const *peer : livePeers())
        *digest_ ^= hashOf(*peer);
    return *digest_;
}

std::size_t Membership::liveCount() const
{
    if (!liveCount_)
        liveCount_ = livePeers().size() + 1;
    return *liveCount_;
}

std::vector<InstanceRecord const *> Membership::pickHelpers(InstanceId const &target, RandomSource &random) const
{
    auto candidates = livePeers();
    std::erase_if(candidates, [&](auto const *peer) { return peer->id == target || peer->state != MemberState::Alive; });
    std::vector<InstanceRecord const *> helpers;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(helpers), options_.helpers, random);
    return helpers;
}

std::size_t Membership::sendLimit() const
{
    return SendsPerDoubling * (std::bit_width(members_.size() + 1) + 1);
}

} // namespace Anvilyard::Fleet
