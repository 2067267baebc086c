#pragma once

#include "LibBatch/CompletionAssembler.h"
#include "LibBatch/RunnerActions.h"

#include <deque>
#include <map>
#include <optional>

namespace Anvilyard::Batch {

/// One item, independent of the attempt.
struct ItemKey {
    ChunkRef chunk;
    std::uint32_t item = 0;

    auto operator<=>(ItemKey const &) const = default;
};

/// The tokens received from a cancelled stream and the server that can resume it.
struct PreemptedStream {
    ServerId server;
    CompletionAssembler assembler;
};

/// Keeps the streams of preempted items until the items run again. Evicts the oldest streams when the memory limit is exceeded.
class PreemptedStreams
{
public:
    explicit PreemptedStreams(std::size_t maxBytes);

    void keep(ItemKey const &key, PreemptedStream stream);
    /// Removes and returns the item's stream if it ran on this server. A stream of another server is discarded, since only that
    /// server can resume it.
    std::optional<PreemptedStream> take(ItemKey const &key, ServerId const &server);

private:
    std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    std::map<ItemKey, PreemptedStream> streams_;
    std::deque<ItemKey> insertionOrder_;
};

} // namespace Anvilyard::Batch
