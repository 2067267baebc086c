#pragma once

#include "LibBatch/ChunkActions.h"
#include "LibBatch/JobScheduler.h"

#include <compare>
#include <variant>
#include <vector>

namespace Anvilyard::Batch {

struct ChunkRef {
    JobId job;
    ChunkIndex chunk;

    auto operator<=>(ChunkRef const &) const = default;
};

/// One attempt at one item.
struct AttemptRef {
    ChunkRef chunk;
    std::uint32_t item = 0;
    std::uint64_t run = 0;

    auto operator<=>(AttemptRef const &) const = default;
};

/// Actions that a runner requests from its transport.
struct ListOpenJobs {
};
/// `requestedAt` is returned with the reply, which contains every cancel that was acknowledged before then.
struct ListCancels {
    Instant requestedAt;
};
struct GetJob {
    JobId job;
};
struct ListChunks {
    JobId job;
};
/// A store call of a chunk: CreateChunk, UpdateChunk, ReadChunk or CreatePart.
struct ChunkCall {
    ChunkRef chunk;
    ChunkAction call;
};
struct FetchChunkInput {
    ChunkRef chunk;
    UploadId upload;
};
struct SendItem {
    AttemptRef item;
    ServerId server;
    ItemSpec spec;
};
struct StopItem {
    AttemptRef item;
    /// Preempted: online requests need the slot, so the tokens received so far are kept.
    enum class Reason { Preempted, Abandoned } reason = Reason::Abandoned;
};
/// Marks the job as finished and removes it from the list of open jobs.
struct FinishJob {
    FinishedJob job;
};
struct RemoveOrphan {
    JobId job;
};
/// All chunks have been released.
struct Stopped {
};

using RunnerAction = std::variant<ListOpenJobs,
                                  ListCancels,
                                  GetJob,
                                  ListChunks,
                                  ChunkCall,
                                  FetchChunkInput,
                                  SendItem,
                                  StopItem,
                                  FinishJob,
                                  RemoveOrphan,
                                  Stopped>;
using RunnerActions = std::vector<RunnerAction>;

} // namespace Anvilyard::Batch
