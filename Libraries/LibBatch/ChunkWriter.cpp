#include "LibBatch/ChunkWriter.h"

#include <algorithm>

namespace Anvilyard::Batch {

using Platform::PlatformError;

namespace {

/// Returns whether the call was rejected without effect, so that it can be repeated unchanged.
bool wasNotApplied(std::error_code error)
{
    return error == PlatformError::Unavailable || error == PlatformError::TooManyCalls || error == PlatformError::OverBudget;
}

} // namespace

ChunkWriter::ChunkWriter(RandomSource::result_type seed)
    : random_(seed)
{
}

bool ChunkWriter::isBusy() const
{
    return step_ != Step::Idle;
}

std::optional<Instant> ChunkWriter::retryAt() const
{
    return retryAt_;
}

ChunkWrite const &ChunkWriter::write() const
{
    return write_;
}

WriteStep ChunkWriter::start(ChunkWrite write, Instant)
{
    write_ = std::move(write);
    part_ = 0;
    tries_ = 0;
    missingReads_ = 0;
    step_ = write_.parts.empty() ? Step::Change : Step::Part;
    return send();
}

WriteStep ChunkWriter::send()
{
    retryAt_.reset();
    switch (step_) {
    case Step::Idle:
        return {};
    case Step::Part:
        return {.actions = {write_.parts.at(part_)}};
    case Step::Change:
        if (write_.base)
            return {.actions = {UpdateChunk{.state = write_.state, .version = *write_.base}}};
        return {.actions = {CreateChunk{.state = write_.state}}};
    case Step::Read:
        return {.actions = {ReadChunk{}}};
    }
    return {};
}

WriteStep ChunkWriter::retryLater(Instant now)
{
    auto const doubled = InitialDelay * (1U << std::min<std::uint32_t>(tries_, 10));
    ++tries_;
    // Jitter over the full range spreads the retries of many runners when the store recovers.
    std::uniform_int_distribution<Duration::rep> distribution(InitialDelay.count() / 2, std::min(doubled, MaxDelay).count());
    retryAt_ = now + Duration(distribution(random_));
    return {};
}

WriteStep ChunkWriter::onTick(Instant now)
{
    if (!retryAt_ || now < *retryAt_)
        return {};
    return send();
}

WriteStep ChunkWriter::onReply(ChunkReply const &reply, Instant now)
{
    switch (step_) {
    case Step::Idle:
        return {};
    case Step::Part:
        return onPart(reply, now);
    case Step::Change:
        return onChange(reply, now);
    case Step::Read:
        return onRead(reply, now);
    }
    return {};
}

WriteStep ChunkWriter::onPart(ChunkReply const &reply, Instant now)
{
    // The name is unique to this write, so an existing part was created by an earlier try whose reply was lost.
    if (!reply && reply.error().code != PlatformError::AlreadyExists)
        return retryLater(now);
    tries_ = 0;
    if (++part_ == write_.parts.size())
        step_ = Step::Change;
    return send();
}

WriteStep ChunkWriter::onChange(ChunkReply const &reply, Instant now)
{
    if (reply && *reply)
        return finishWrite(WriteOutcome::Stored, (*reply)->version);
    if (!reply && wasNotApplied(reply.error().code))
        return retryLater(now);
    step_ = Step::Read;
    return send();
}

WriteStep ChunkWriter::onRead(ChunkReply const &reply, Instant now)
{
    if (reply && *reply)
        return resolveFromRead(**reply, now);
    if (!reply && reply.error().code == PlatformError::NotFound) {
        if (write_.base && ++missingReads_ > MaxMissingReads)
            return finishWrite(WriteOutcome::Superseded, {});
        step_ = Step::Change;
    }
    return retryLater(now);
}

WriteStep ChunkWriter::resolveFromRead(StoredChunk const &seen, Instant now)
{
    if (seen.state.writer == write_.state.writer)
        return finishWrite(WriteOutcome::Stored, seen.version);
    auto const isClaim = write_.purpose == ChunkWrite::Purpose::Claim;
    // No other process writes under the epoch of a held lease. If the epoch of a claim is already stored, another process claimed
    // the chunk first.
    if (seen.state.epoch > write_.state.epoch || (isClaim && seen.state.epoch == write_.state.epoch))
        return finishWrite(WriteOutcome::Superseded, {});
    // The earlier holder has written since and is still alive, so the chunk is left to it.
    if (isClaim && seen.version != write_.base)
        return finishWrite(WriteOutcome::Superseded, {});
    // An older state means that the update was not applied or that the read is stale. Sending the update again resolves this,
    // because it is conditional on the version.
    step_ = Step::Change;
    return retryLater(now);
}

WriteStep ChunkWriter::finishWrite(WriteOutcome outcome, Platform::ResourceVersion version)
{
    step_ = Step::Idle;
    retryAt_.reset();
    return {.outcome = outcome, .version = std::move(version)};
}

} // namespace Anvilyard::Batch
