#pragma once

#include "LibBatch/ChunkActions.h"
#include "LibCore/Random.h"

namespace Anvilyard::Batch {

/// One update of a chunk's state, with the result parts that it refers to.
struct ChunkWrite {
    enum class Purpose {
        /// Acquires the lease. The earlier holder may still write.
        Claim,
        /// Updates a chunk whose lease is held by this process.
        Update,
    };
    Purpose purpose = Purpose::Update;
    ChunkState state;
    /// The version to replace, or `std::nullopt` to create the object.
    std::optional<Platform::ResourceVersion> base;
    std::vector<CreatePart> parts;
};

enum class WriteOutcome {
    /// The write is stored, as shown by the reply or by a later read.
    Stored,
    /// Another process holds the chunk now.
    Superseded,
};

struct WriteStep {
    ChunkActions actions;
    /// Set once the write has completed.
    std::optional<WriteOutcome> outcome;
    Platform::ResourceVersion version;
};

/// Performs one write at a time until its outcome is certain: first the parts, then the conditional update. After a lost reply or a
/// version conflict it reads the chunk and checks whether the stored writer id is that of this write. Performs no I/O.
class ChunkWriter
{
public:
    explicit ChunkWriter(RandomSource::result_type seed);

    WriteStep start(ChunkWrite write, Instant now);
    WriteStep onReply(ChunkReply const &reply, Instant now);
    /// Repeats a call whose retry delay has elapsed.
    WriteStep onTick(Instant now);

    [[nodiscard]] bool isBusy() const;
    /// Returns when onTick() must be called, or `std::nullopt` while a reply is pending.
    [[nodiscard]] std::optional<Instant> retryAt() const;
    [[nodiscard]] ChunkWrite const &write() const;

private:
    enum class Step {
        Idle,
        Part,
        Change,
        Read,
    };

    WriteStep send();
    WriteStep retryLater(Instant now);
    WriteStep onPart(ChunkReply const &reply, Instant now);
    WriteStep onChange(ChunkReply const &reply, Instant now);
    WriteStep onRead(ChunkReply const &reply, Instant now);
    WriteStep resolveFromRead(StoredChunk const &seen, Instant now);
    WriteStep finishWrite(WriteOutcome outcome, Platform::ResourceVersion version);

    /// Number of reads that may find no chunk before it is considered removed. A stale read may miss a new chunk.
    static constexpr std::uint32_t MaxMissingReads = 8;
    static constexpr Duration InitialDelay = 100ms;
    static constexpr Duration MaxDelay = 10s;

    RandomSource random_;
    ChunkWrite write_;
    Step step_ = Step::Idle;
    std::size_t part_ = 0;
    std::uint32_t tries_ = 0;
    std::uint32_t missingReads_ = 0;
    std::optional<Instant> retryAt_;
};

} // namespace Anvilyard::Batch
