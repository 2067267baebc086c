// The part of ChunkRunner that handles the results of attempts.
#include "LibBatch/ChunkRunner.h"

#include <algorithm>

namespace Anvilyard::Batch {

namespace {

constexpr Duration InitialItemDelay = 200ms;
constexpr Duration MaxItemDelay = 10s;

} // namespace

ChunkActions ChunkRunner::onItemEnded(std::uint32_t item, std::uint64_t run, AttemptResult end, CurrentTime now)
{
    auto &itemRun = items_.at(item);
    // Ignores results of attempts that were cancelled in the meantime.
    if (phase_ != Phase::Held || itemRun.state != ItemRun::State::Running || itemRun.run != run)
        return {};
    --running_;
    ++waitingItems_;
    itemRun.state = ItemRun::State::Waiting;
    auto const &customId = input_.at(item).customId;
    switch (end.kind) {
    case AttemptResult::Kind::Succeeded:
        endItem(item, ItemOutcome::Succeeded, formatResponseLine(lineId(item), customId, end.response));
        break;
    case AttemptResult::Kind::Rejected:
        endItem(item, ItemOutcome::Failed, formatResponseLine(lineId(item), customId, end.response));
        break;
    case AttemptResult::Kind::Failed:
        onAttemptFailed(item, end.reason, now);
        break;
    case AttemptResult::Kind::NotRun:
        onAttemptNotRun(item, end.notBefore, now);
        break;
    }
    return writeIfDue(now);
}

void ChunkRunner::endItem(std::uint32_t item, ItemOutcome outcome, std::string line)
{
    // A line larger than a result part would prevent the chunk from ever being stored.
    if (line.size() > options_.partBytes)
        line = formatErrorLine(lineId(item), input_.at(item).customId, "response_too_large", "The answer was too large to be kept.");
    if (items_.at(item).state == ItemRun::State::Waiting)
        --waitingItems_;
    items_.at(item).state = ItemRun::State::Ended;
    outcomes_.at(item) = static_cast<char>(outcome);
    unstoredBytes_ += line.size();
    lines_[item] = ResultLine{.item = item, .outcome = outcome, .line = std::move(line)};
}

void ChunkRunner::failItem(std::uint32_t item, ItemOutcome outcome, std::string_view code, std::string_view reason)
{
    endItem(item, outcome, formatErrorLine(lineId(item), input_.at(item).customId, code, reason));
}

void ChunkRunner::onAttemptFailed(std::uint32_t item, std::string const &reason, CurrentTime now)
{
    if (isNeverRepeated(item)) {
        failItem(item, ItemOutcome::Unknown, "outcome_unknown", "It was sent and no whole answer came: " + reason);
        return;
    }
    if (++attempts_[item] >= options_.maxAttempts)
        failItem(item, ItemOutcome::Failed, "attempts_exhausted", reason);
    else
        onAttemptNotRun(item, std::nullopt, now);
}

void ChunkRunner::onAttemptNotRun(std::uint32_t item, std::optional<Instant> notBefore, CurrentTime now)
{
    auto &run = items_.at(item);
    auto const maxDelay = std::min(InitialItemDelay * (1U << std::min<std::uint32_t>(run.refusals, 10)), MaxItemDelay);
    ++run.refusals;
    std::uniform_int_distribution<Duration::rep> distribution(maxDelay.count() / 2, maxDelay.count());
    run.notBefore = std::max(now.local + Duration(distribution(random_)), notBefore.value_or(Instant{}));
}

ChunkActions ChunkRunner::preempt(std::uint32_t item, std::uint64_t run, CurrentTime now)
{
    auto &itemRun = items_.at(item);
    if (phase_ != Phase::Held || itemRun.state != ItemRun::State::Running || itemRun.run != run || isNeverRepeated(item))
        return {};
    --running_;
    ++waitingItems_;
    itemRun.state = ItemRun::State::Waiting;
    ChunkActions actions = {CancelItem{.item = item, .run = run}};
    auto more = writeIfDue(now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

void ChunkRunner::cancelRunning(ChunkActions &actions)
{
    for (std::uint32_t item = 0; item < options_.items; ++item) {
        auto &run = items_.at(item);
        if (run.state != ItemRun::State::Running)
            continue;
        actions.emplace_back(CancelItem{.item = item, .run = run.run});
        run.state = ItemRun::State::Waiting;
        --running_;
        ++waitingItems_;
        if (phase_ == Phase::Held && isNeverRepeated(item))
            failItem(item, ItemOutcome::Unknown, "outcome_unknown", "It was sent and then given up.");
    }
}

void ChunkRunner::cancelWaiting()
{
    for (std::uint32_t item = 0; item < options_.items; ++item) {
        auto &run = items_.at(item);
        auto const isDoubtful = std::find(stored_.doubtful.begin(), stored_.doubtful.end(), item) != stored_.doubtful.end();
        if (run.state != ItemRun::State::Waiting || (isDoubtful && !inputLoaded_))
            continue;
        run.state = ItemRun::State::Ended;
        --waitingItems_;
        outcomes_.at(item) = static_cast<char>(ItemOutcome::Cancelled);
    }
}

ChunkActions ChunkRunner::cancelJob(CurrentTime now)
{
    if (cancelled_ || phase_ == Phase::Ended)
        return {};
    cancelled_ = true;
    ChunkActions actions;
    cancelRunning(actions);
    if (phase_ == Phase::Held)
        cancelWaiting();
    auto more = writeIfDue(now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

ChunkActions ChunkRunner::stop(CurrentTime now)
{
    stopping_ = true;
    return writeIfDue(now);
}

ChunkActions ChunkRunner::abandonRunning(CurrentTime now)
{
    stopping_ = true;
    ChunkActions actions;
    if (phase_ == Phase::Held)
        cancelRunning(actions);
    auto more = writeIfDue(now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    return actions;
}

} // namespace Anvilyard::Batch
