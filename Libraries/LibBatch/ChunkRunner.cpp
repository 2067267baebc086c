#include "LibBatch/ChunkRunner.h"

#include "LibBatch/ChunkTakeover.h"
#include "LibBatch/JobNames.h"

#include <algorithm>
#include <iterator>

namespace Anvilyard::Batch {

namespace {

constexpr Duration InputRetryDelay = 1s;
/// No item starts in the last 1/LeaseMarginDivisor of a lease, since too little time is left.
constexpr int LeaseMarginDivisor = 8;

bool contains(std::vector<std::uint32_t> const &items, std::uint32_t item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

void append(ChunkActions &actions, ChunkActions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

char toChar(ItemOutcome outcome)
{
    return static_cast<char>(outcome);
}

} // namespace

ChunkRunner::ChunkRunner(ChunkRunnerOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , writer_(random_())
    , items_(options_.items)
    , waitingItems_(options_.items)
{
}

ChunkActions ChunkRunner::claim(std::optional<StoredChunk> const &seen, CurrentTime now)
{
    auto state = seen ? takeoverClaim(seen->state) : firstClaim(options_.items);
    if (seen)
        version_ = seen->version;
    // A cancelled chunk without a holder is completed by the claim itself.
    if (cancelled_ && state.doubtful.empty())
        std::replace(state.outcomes.begin(), state.outcomes.end(), toChar(ItemOutcome::Pending), toChar(ItemOutcome::Cancelled));
    return write(ChunkWrite::Purpose::Claim, std::move(state), now);
}

ChunkActions ChunkRunner::write(ChunkWrite::Purpose purpose, ChunkState state, CurrentTime now)
{
    state.writer = options_.owner + "-" + std::to_string(++writes_);
    auto const isRelease = state.isDone() || (purpose == ChunkWrite::Purpose::Update && canEnd());
    state.owner = isRelease ? std::string() : options_.owner;
    state.leaseDeadline =
        isRelease ? WallInstant{} : now.wall + std::chrono::duration_cast<std::chrono::milliseconds>(options_.leaseLength);
    // Measured from before the call, so that the local deadline is never later than the stored one.
    pendingLeaseUntil_ = now.local + options_.leaseLength - options_.leaseLength / LeaseMarginDivisor;
    renewAt_ = now.local + options_.renewInterval;
    auto parts = makeParts(state);
    std::optional<Platform::ResourceVersion> base;
    if (!version_.value().empty())
        base = version_;
    return apply(writer_.start({.purpose = purpose, .state = std::move(state), .base = base, .parts = std::move(parts)}, now.local), now);
}

std::vector<CreatePart> ChunkRunner::makeParts(ChunkState &state) const
{
    std::vector<CreatePart> parts;
    std::size_t bytes = 0;
    for (auto const &[item, line] : lines_) {
        if (parts.empty() || bytes + line.line.size() > options_.partBytes) {
            auto const index = static_cast<std::uint32_t>(parts.size());
            parts.push_back({.name = resultName(options_.job, options_.chunk, state.writer, index)});
            state.parts.push_back(parts.back().name);
            bytes = 0;
        }
        bytes += line.line.size();
        parts.back().lines.push_back(line);
    }
    return parts;
}

ChunkActions ChunkRunner::onReply(ChunkReply const &reply, CurrentTime now)
{
    if (phase_ == Phase::Ended)
        return {};
    return apply(writer_.onReply(reply, now.local), now);
}

ChunkActions ChunkRunner::apply(WriteStep step, CurrentTime now)
{
    auto actions = std::move(step.actions);
    if (!step.outcome)
        return actions;
    if (*step.outcome == WriteOutcome::Superseded) {
        cancelRunning(actions);
        append(actions, end(phase_ == Phase::Claiming ? ChunkEnd::ClaimLost : ChunkEnd::Lost));
        return actions;
    }
    append(actions, onStored(std::move(step.version), now));
    return actions;
}

ChunkActions ChunkRunner::onStored(Platform::ResourceVersion version, CurrentTime now)
{
    auto const &write = writer_.write();
    for (auto const &part : write.parts) {
        for (auto const &line : part.lines) {
            unstoredBytes_ -= line.line.size();
            lines_.erase(line.item);
        }
    }
    stored_ = write.state;
    version_ = std::move(version);
    leaseUntil_ = pendingLeaseUntil_;
    if (phase_ == Phase::Claiming) {
        phase_ = Phase::Held;
        outcomes_ = stored_.outcomes;
        attempts_ = stored_.attempts;
        suspects_ = stored_.suspects;
        for (std::uint32_t item = 0; item < options_.items; ++item) {
            if (outcomes_.at(item) == toChar(ItemOutcome::Pending))
                continue;
            items_.at(item).state = ItemRun::State::Ended;
            --waitingItems_;
        }
        if (cancelled_)
            cancelWaiting();
        if (!stored_.isDone() && (!cancelled_ || !stored_.doubtful.empty()))
            return {FetchInput{}};
    }
    if (stored_.isDone())
        return end(ChunkEnd::Completed);
    if (stored_.owner.empty())
        return end(ChunkEnd::Released);
    return writeIfDue(now);
}

ChunkActions ChunkRunner::end(ChunkEnd chunkEnd)
{
    phase_ = Phase::Ended;
    return {EndChunk{.end = chunkEnd}};
}

ChunkActions ChunkRunner::onInput(Result<std::vector<ItemSpec>> input, CurrentTime now)
{
    if (phase_ != Phase::Held || inputLoaded_)
        return {};
    if (!input || input->size() != options_.items) {
        inputRetryAt_ = now.local + InputRetryDelay;
        return {};
    }
    input_ = std::move(*input);
    inputLoaded_ = true;
    resolveInheritedItems();
    return writeIfDue(now);
}

void ChunkRunner::resolveInheritedItems()
{
    // An item that must not be repeated never runs twice, so it cannot crash a second process.
    std::erase_if(suspects_, [this](std::uint32_t item) { return isNeverRepeated(item); });
    for (auto const item : stored_.doubtful) {
        if (outcomes_.at(item) == toChar(ItemOutcome::Pending))
            failItem(item, ItemOutcome::Unknown, "outcome_unknown", "The runner was lost after it may have sent the item.");
    }
    for (auto const &[item, count] : attempts_) {
        if (outcomes_.at(item) == toChar(ItemOutcome::Pending) && count >= options_.maxAttempts)
            failItem(item, ItemOutcome::Failed, "attempts_exhausted", "Its runner was lost each time it ran.");
    }
}

ChunkActions ChunkRunner::onTick(CurrentTime now)
{
    if (phase_ == Phase::Ended)
        return {};
    if (writer_.isBusy())
        return apply(writer_.onTick(now.local), now);
    if (inputRetryAt_ && now.local >= *inputRetryAt_) {
        inputRetryAt_.reset();
        return {FetchInput{}};
    }
    return writeIfDue(now);
}

ChunkActions ChunkRunner::writeIfDue(CurrentTime now)
{
    if (phase_ != Phase::Held || writer_.isBusy() || !isWriteDue(now))
        return {};
    auto state = nextState();
    wantsIntents_ = false;
    return write(ChunkWrite::Purpose::Update, std::move(state), now);
}

bool ChunkRunner::canEnd() const
{
    auto const allEnded = running_ == 0 && waitingItems_ == 0;
    return allEnded || (stopping_ && running_ == 0);
}

bool ChunkRunner::isWriteDue(CurrentTime now) const
{
    // A cancelled chunk with doubtful items waits for its input, which their result lines need.
    auto const awaitsInput = !inputLoaded_ && !stored_.doubtful.empty() && !stopping_;
    if (canEnd() && !awaitsInput)
        return true;
    return now.local >= renewAt_ || unstoredBytes_ >= options_.commitBytes || wantsIntents_ || needsTrial();
}

bool ChunkRunner::needsTrial() const
{
    if (!inputLoaded_ || stopping_ || cancelled_ || suspects_.empty() || hasOpenItems())
        return false;
    auto const isUnfinished = [this](std::uint32_t item) { return items_.at(item).state != ItemRun::State::Ended; };
    return std::any_of(suspects_.begin(), suspects_.end(), isUnfinished)
        && std::none_of(stored_.trial.begin(), stored_.trial.end(), isUnfinished);
}

bool ChunkRunner::hasOpenItems() const
{
    for (std::uint32_t item = 0; item < options_.items; ++item) {
        if (items_.at(item).state != ItemRun::State::Ended && !isSuspect(item))
            return true;
    }
    return false;
}

ChunkState ChunkRunner::nextState() const
{
    auto state = stored_;
    state.outcomes = outcomes_;
    state.attempts = attempts_;
    std::erase_if(state.attempts, [this](auto const &entry) { return outcomes_.at(entry.first) != toChar(ItemOutcome::Pending); });
    auto const isEnded = [this](std::uint32_t item) { return outcomes_.at(item) != toChar(ItemOutcome::Pending); };
    state.suspects = suspects_;
    std::erase_if(state.suspects, isEnded);
    std::erase_if(state.trial, isEnded);
    std::erase_if(state.intents, isEnded);
    std::erase_if(state.doubtful, isEnded);
    if (canEnd()) {
        state.trial.clear();
        state.intents.clear();
        return state;
    }
    if (needsTrial())
        state.trial = nextTrial(state);
    if (!wantsIntents_)
        return state;
    auto added = options_.intentsPerWrite;
    for (std::uint32_t item = 0; item < options_.items && added > 0; ++item) {
        if (!isNeverRepeated(item) || isEnded(item) || contains(state.intents, item))
            continue;
        state.intents.push_back(item);
        --added;
    }
    return state;
}

std::optional<StartItem> ChunkRunner::takeItem(std::function<bool(ServiceName const &)> const &isWanted, Suspects suspects, CurrentTime now)
{
    if (phase_ != Phase::Held || !inputLoaded_ || stopping_ || cancelled_ || now.local >= leaseUntil_
        || unstoredBytes_ >= options_.maxUnstoredBytes || waitingItems_ == 0)
        return std::nullopt;
    for (std::uint32_t item = 0; item < options_.items; ++item) {
        auto &run = items_.at(item);
        if (run.state != ItemRun::State::Waiting || now.local < run.notBefore || !isWanted(input_.at(item).service))
            continue;
        if (!mayStart(item, suspects)) {
            // The next write declares the intent. If a write is in flight, it may already do so.
            wantsIntents_ = wantsIntents_ || (isNeverRepeated(item) && !writer_.isBusy());
            continue;
        }
        run.state = ItemRun::State::Running;
        run.run = ++runs_;
        ++running_;
        --waitingItems_;
        return StartItem{.item = item, .run = run.run, .spec = &input_.at(item), .isSuspect = isSuspect(item)};
    }
    return std::nullopt;
}

bool ChunkRunner::mayStart(std::uint32_t item, Suspects suspects) const
{
    if (isNeverRepeated(item))
        return contains(stored_.intents, item);
    if (isSuspect(item))
        return suspects == Suspects::Allowed && contains(stored_.trial, item);
    return true;
}

bool ChunkRunner::isNeverRepeated(std::uint32_t item) const
{
    return inputLoaded_ && input_.at(item).repeat == Repeat::Never;
}

bool ChunkRunner::isSuspect(std::uint32_t item) const
{
    return contains(suspects_, item);
}

std::size_t ChunkRunner::running() const
{
    return running_;
}

std::size_t ChunkRunner::waiting() const
{
    return waitingItems_;
}

std::size_t ChunkRunner::unstoredBytes() const
{
    return unstoredBytes_;
}

bool ChunkRunner::isReady() const
{
    return phase_ == Phase::Held && inputLoaded_;
}

bool ChunkRunner::isHeld() const
{
    return phase_ == Phase::Held;
}

JobId const &ChunkRunner::job() const
{
    return options_.job;
}

ChunkIndex ChunkRunner::chunk() const
{
    return options_.chunk;
}

std::string ChunkRunner::lineId(std::uint32_t item) const
{
    return "batch_req_" + options_.job.value() + "_" + std::to_string(options_.chunk.value()) + "_" + std::to_string(item);
}

} // namespace Anvilyard::Batch
