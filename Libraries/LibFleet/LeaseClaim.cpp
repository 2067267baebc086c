#include "LibFleet/LeaseClaim.h"

#include <algorithm>

namespace Anvilyard::Fleet {

namespace {

/// Number of times that a lease is read or renewed during its length.
constexpr int CallsPerLength = 3;
/// Older writes without an answer have been applied or rejected by the time this many newer ones were sent.
constexpr std::size_t MaxPendingWrites = 8;

Duration scale(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

LeaseClaim::LeaseClaim(InstanceId self, std::string process, LeaseOptions options)
    : self_(std::move(self))
    , process_(std::move(process))
    , options_(options)
{
}

LeaseActions LeaseClaim::onTick(Generation generation, Instant now)
{
    generation_ = std::max(generation_, generation);
    if (now < nextCall_)
        return {};
    nextCall_ = now + options_.length / CallsPerLength;
    if (!isHeld(now)) {
        heldEpoch_.reset();
        return {ReadLease{}};
    }
    LeaseRecord const renewed{.holder = self_, .epoch = *heldEpoch_, .length = options_.length, .generation = generation_};
    return write(renewed, heldVersion_, now);
}

LeaseActions LeaseClaim::write(LeaseRecord record, std::optional<std::string> expectedVersion, Instant now)
{
    record.writer = self_.value() + "/" + process_ + "/" + std::to_string(++writes_);
    pendingWrites_.push_back({.record = record, .at = now});
    if (pendingWrites_.size() > MaxPendingWrites)
        pendingWrites_.erase(pendingWrites_.begin());
    return {WriteLease{.record = std::move(record), .expectedVersion = std::move(expectedVersion)}};
}

LeaseActions LeaseClaim::onRead(std::optional<StoredLease> const &lease, Instant now)
{
    if (isHeld(now))
        return {};
    if (!lease) {
        LeaseRecord const first{.holder = self_, .epoch = Epoch(1), .length = options_.length, .generation = generation_};
        return write(first, std::nullopt, now);
    }
    auto const own = std::find_if(
        pendingWrites_.begin(), pendingWrites_.end(), [&](auto const &sent) { return sent.record.writer == lease->record.writer; });
    if (own != pendingWrites_.end() && own->record.state == LeaseRecord::State::Held && now < own->at + holdDuration()) {
        heldEpoch_ = own->record.epoch;
        endsAt_ = own->at + holdDuration();
        heldVersion_ = lease->version;
        return {};
    }
    if (!observed_ || observed_->lease.version != lease->version)
        observed_ = Observed{.lease = *lease, .firstSeen = now};
    auto const isFree = lease->record.state == LeaseRecord::State::Released;
    if (isFree || now >= observed_->firstSeen + takeoverDelay(lease->record.length))
        return takeOver(*lease, now);
    return {};
}

LeaseActions LeaseClaim::takeOver(StoredLease const &lease, Instant now)
{
    // A holder that acted on newer rules must not be overruled by one with older rules.
    if (lease.record.generation > generation_)
        return {};
    LeaseRecord const next{
        .holder = self_,
        .epoch = Epoch(lease.record.epoch.value() + 1),
        .length = options_.length,
        .generation = generation_,
    };
    return write(next, lease.version, now);
}

LeaseActions LeaseClaim::onWritten(std::string const &version, Instant now)
{
    if (pendingWrites_.empty())
        return {};
    auto const &sent = pendingWrites_.back();
    heldVersion_ = version;
    heldEpoch_.reset();
    if (sent.record.state == LeaseRecord::State::Held) {
        heldEpoch_ = sent.record.epoch;
        endsAt_ = sent.at + holdDuration();
    }
    pendingWrites_.clear();
    nextCall_ = now + options_.length / CallsPerLength;
    return {};
}

LeaseActions LeaseClaim::onConflict(Instant now)
{
    // Either another holder was first, or the answer to an earlier write of our own was lost.
    heldEpoch_.reset();
    nextCall_ = now + options_.length / CallsPerLength;
    return {ReadLease{}};
}

void LeaseClaim::onNoAnswer(Instant now)
{
    nextCall_ = std::min(nextCall_, now + options_.length / CallsPerLength);
}

LeaseActions LeaseClaim::release(Instant now)
{
    if (!isHeld(now))
        return {};
    LeaseRecord const released{
        .holder = self_,
        .epoch = *heldEpoch_,
        .length = options_.length,
        .state = LeaseRecord::State::Released,
        .generation = generation_,
    };
    heldEpoch_.reset();
    return write(released, heldVersion_, now);
}

void LeaseClaim::invalidate()
{
    heldEpoch_.reset();
}

bool LeaseClaim::isHeld(Instant now) const
{
    return heldEpoch_ && now < endsAt_;
}

Epoch LeaseClaim::epoch() const
{
    return heldEpoch_.value_or(Epoch());
}

Instant LeaseClaim::endsAt() const
{
    return endsAt_;
}

Duration LeaseClaim::holdDuration() const
{
    return scale(options_.length, 1 - options_.clockDrift);
}

Duration LeaseClaim::takeoverDelay(Duration length) const
{
    return scale(length, 1 + options_.clockDrift) + options_.lateEffect;
}

} // namespace Anvilyard::Fleet
