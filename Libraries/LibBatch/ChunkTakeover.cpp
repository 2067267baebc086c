#include "LibBatch/ChunkTakeover.h"

#include <algorithm>
#include <cmath>

namespace Anvilyard::Batch {

namespace {

constexpr std::uint32_t ToleratedLosses = 1;

bool isPending(ChunkState const &state, std::uint32_t item)
{
    return state.outcomes.at(item) == static_cast<char>(ItemOutcome::Pending);
}

std::vector<std::uint32_t> filterPending(ChunkState const &state, std::vector<std::uint32_t> items)
{
    std::erase_if(items, [&](std::uint32_t item) { return !isPending(state, item); });
    return items;
}

std::vector<std::uint32_t> allPending(ChunkState const &state)
{
    std::vector<std::uint32_t> pending;
    for (std::uint32_t item = 0; item < state.outcomes.size(); ++item) {
        if (isPending(state, item))
            pending.push_back(item);
    }
    return pending;
}

/// Handles the loss of a holder during a trial: the trial's items remain suspects and all others are cleared.
void suspectTrial(ChunkState &state, std::vector<std::uint32_t> const &trial)
{
    // Only an item that ran alone has used up an attempt.
    if (trial.size() == 1)
        ++state.attempts[trial.front()];
    state.suspects = trial;
    state.trialSize = 1;
}

/// Handles the loss of a holder with any items in flight: all pending items become suspects. Trials of the square root of their
/// number find the crashing item in few rounds.
void suspectAll(ChunkState &state)
{
    state.suspects = allPending(state);
    auto const size = std::sqrt(static_cast<double>(state.suspects.size()));
    state.trialSize = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(size));
}

} // namespace

ChunkState firstClaim(std::uint32_t items)
{
    ChunkState state;
    state.epoch = Epoch(1);
    state.outcomes.assign(items, static_cast<char>(ItemOutcome::Pending));
    return state;
}

ChunkState takeoverClaim(ChunkState const &seen)
{
    ChunkState state = seen;
    state.epoch = Epoch(seen.epoch.value() + 1);
    auto const isExpired = !seen.owner.empty();
    if (isExpired) {
        for (auto const item : filterPending(seen, seen.intents))
            state.doubtful.push_back(item);
        if (auto const trial = filterPending(seen, seen.trial); !trial.empty())
            suspectTrial(state, trial);
        else if (++state.losses > ToleratedLosses)
            suspectAll(state);
    }
    state.intents.clear();
    state.trial.clear();
    return state;
}

std::vector<std::uint32_t> nextTrial(ChunkState const &state)
{
    auto trial = filterPending(state, state.suspects);
    if (trial.size() > state.trialSize)
        trial.resize(state.trialSize);
    return trial;
}

} // namespace Anvilyard::Batch
