#pragma once

#include "LibBatch/ItemLine.h"
#include "LibBatch/JobRecords.h"
#include "LibPlatform/ObjectStore.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Anvilyard::Batch {

/// A chunk's state as read from the store, with the version that an update must name.
struct StoredChunk {
    ChunkState state;
    Platform::ResourceVersion version;
};

/// Store calls of a chunk. At most one is in flight per chunk. Its reply is passed to onReply().
struct CreateChunk {
    ChunkState state;
};
struct UpdateChunk {
    ChunkState state;
    Platform::ResourceVersion version;
};
struct ReadChunk {
};
/// Stores result lines under a name that is never reused.
struct CreatePart {
    std::string name;
    std::vector<ResultLine> lines;
};
/// Reads the chunk's items. The reply is passed to onInput().
struct FetchInput {
};
/// Cancels a running attempt. Its result is not reported.
struct CancelItem {
    std::uint32_t item = 0;
    std::uint64_t run = 0;
};

enum class ChunkEnd {
    /// Every item has a stored outcome.
    Completed,
    /// The lease was released deliberately.
    Released,
    /// Another holder took the chunk over.
    Lost,
    /// Another process claimed the chunk first.
    ClaimLost,
};

/// The chunk's runner is no longer needed.
struct EndChunk {
    ChunkEnd end = ChunkEnd::Completed;
};

using ChunkAction = std::variant<CreateChunk, UpdateChunk, ReadChunk, CreatePart, FetchInput, CancelItem, EndChunk>;
using ChunkActions = std::vector<ChunkAction>;

/// The reply to a store call of a chunk: the chunk after a create, update or read, `std::nullopt` after a part.
using ChunkReply = Result<std::optional<StoredChunk>>;

/// The result of one attempt at an item.
struct AttemptResult {
    enum class Kind {
        Succeeded,
        /// The server reported that the item can never succeed.
        Rejected,
        /// The item may have run, but the server returned an error or no complete response.
        Failed,
        /// The item did not run.
        NotRun,
    };
    Kind kind = Kind::Succeeded;
    /// The response, if one was received.
    ItemResponse response;
    /// Why the attempt failed, if there is no response.
    std::string reason;
    /// Earliest time at which the server accepts another request, if it named one.
    std::optional<Instant> notBefore;
};

struct StartItem {
    std::uint32_t item = 0;
    std::uint64_t run = 0;
    ItemSpec const *spec = nullptr;
    /// The item may crash its process, so no suspect of another chunk runs at the same time.
    bool isSuspect = false;
};

} // namespace Anvilyard::Batch
