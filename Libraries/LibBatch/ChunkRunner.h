#pragma once

#include "LibBatch/ChunkActions.h"
#include "LibBatch/ChunkWriter.h"
#include "LibCore/Random.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Anvilyard::Batch {

struct ChunkRunnerOptions {
    JobId job;
    ChunkIndex chunk;
    std::uint32_t items = 0;
    /// Names the instance and the process. Unique among all processes that ever ran.
    std::string owner;
    /// Maximum number of attempts per item.
    std::uint32_t maxAttempts = 3;
    Duration leaseLength = 30s;
    Duration renewInterval = 10s;
    /// Outcomes are stored immediately once they reach this size.
    std::size_t commitBytes = 256UL * 1024;
    /// No further item starts while unstored outcomes have at least this size.
    std::size_t maxUnstoredBytes = 2048UL * 1024;
    /// Maximum size of a result part.
    std::size_t partBytes = 512UL * 1024;
    /// Maximum number of intents for items that must not be repeated that one write adds.
    std::uint32_t intentsPerWrite = 8;
    RandomSource::result_type seed = 0;
};

/// Runs one chunk from its claim to its end: runs the items, stores their outcomes and renews the lease. Performs no I/O. An item
/// starts, and an outcome counts, only under a stored state that has this holder's epoch.
class ChunkRunner
{
public:
    explicit ChunkRunner(ChunkRunnerOptions options);

    /// Claims the chunk. `seen` is its last known state, if any.
    ChunkActions claim(std::optional<StoredChunk> const &seen, CurrentTime now);
    ChunkActions onReply(ChunkReply const &reply, CurrentTime now);
    ChunkActions onInput(Result<std::vector<ItemSpec>> input, CurrentTime now);
    ChunkActions onItemEnded(std::uint32_t item, std::uint64_t run, AttemptResult end, CurrentTime now);
    ChunkActions onTick(CurrentTime now);
    /// Called when the job was cancelled. Starts no further items and cancels the running ones.
    ChunkActions cancelJob(CurrentTime now);
    /// Called when the process stops. Starts no further items and releases the chunk once its running items have ended.
    ChunkActions stop(CurrentTime now);
    /// Cancels all running items so that the chunk can be released. Items that must not be repeated end as Unknown.
    ChunkActions abandonRunning(CurrentTime now);
    /// Cancels an attempt to free its slot for online requests. The item runs again later.
    ChunkActions preempt(std::uint32_t item, std::uint64_t run, CurrentTime now);

    enum class Suspects {
        Allowed,
        /// Suspects of another chunk are running in this process.
        Deferred,
    };
    /// Starts the next item for which `isWanted` accepts the service. Returns `std::nullopt` if no item may start now.
    std::optional<StartItem> takeItem(std::function<bool(ServiceName const &)> const &isWanted, Suspects suspects, CurrentTime now);

    [[nodiscard]] std::size_t running() const;
    /// Number of items that have not been started, including suspects and delayed items.
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t unstoredBytes() const;
    /// Returns whether the lease is held and the input has been read, so that items may start.
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] bool isHeld() const;
    [[nodiscard]] JobId const &job() const;
    [[nodiscard]] ChunkIndex chunk() const;

private:
    enum class Phase {
        Claiming,
        Held,
        Ended,
    };

    struct ItemRun {
        enum class State {
            Waiting,
            Running,
            Ended,
        };
        State state = State::Waiting;
        std::uint64_t run = 0;
        Instant notBefore{};
        std::uint32_t refusals = 0;
    };

    ChunkActions apply(WriteStep step, CurrentTime now);
    ChunkActions onStored(Platform::ResourceVersion version, CurrentTime now);
    ChunkActions end(ChunkEnd end);
    ChunkActions writeIfDue(CurrentTime now);
    [[nodiscard]] bool isWriteDue(CurrentTime now) const;
    ChunkActions write(ChunkWrite::Purpose purpose, ChunkState state, CurrentTime now);
    [[nodiscard]] ChunkState nextState() const;
    [[nodiscard]] std::vector<CreatePart> makeParts(ChunkState &state) const;
    void resolveInheritedItems();
    void endItem(std::uint32_t item, ItemOutcome outcome, std::string line);
    void failItem(std::uint32_t item, ItemOutcome outcome, std::string_view code, std::string_view reason);
    void onAttemptFailed(std::uint32_t item, std::string const &reason, CurrentTime now);
    void onAttemptNotRun(std::uint32_t item, std::optional<Instant> notBefore, CurrentTime now);
    void cancelRunning(ChunkActions &actions);
    void cancelWaiting();
    [[nodiscard]] bool mayStart(std::uint32_t item, Suspects suspects) const;
    [[nodiscard]] bool isNeverRepeated(std::uint32_t item) const;
    [[nodiscard]] bool isSuspect(std::uint32_t item) const;
    [[nodiscard]] bool needsTrial() const;
    [[nodiscard]] bool hasOpenItems() const;
    [[nodiscard]] std::string lineId(std::uint32_t item) const;
    [[nodiscard]] bool canEnd() const;

    ChunkRunnerOptions options_;
    RandomSource random_;
    ChunkWriter writer_;
    Phase phase_ = Phase::Claiming;
    ChunkState stored_;
    Platform::ResourceVersion version_;
    std::uint64_t writes_ = 0;
    std::uint64_t runs_ = 0;
    /// Current outcomes, stored or not.
    std::string outcomes_;
    std::map<std::uint32_t, std::uint32_t> attempts_;
    std::vector<std::uint32_t> suspects_;
    /// Result lines that are not stored yet.
    std::map<std::uint32_t, ResultLine> lines_;
    std::size_t unstoredBytes_ = 0;
    std::vector<ItemSpec> input_;
    std::vector<ItemRun> items_;
    std::optional<Instant> inputRetryAt_;
    Instant leaseUntil_{};
    Instant pendingLeaseUntil_{};
    Instant renewAt_{};
    std::size_t running_ = 0;
    std::size_t waitingItems_ = 0;
    bool inputLoaded_ = false;
    bool wantsIntents_ = false;
    bool cancelled_ = false;
    bool stopping_ = false;
};

} // namespace Anvilyard::Batch
