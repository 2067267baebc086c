#pragma once

#include "LibBatch/JobRecords.h"

namespace Anvilyard::Batch {

/// Returns the state that claims a chunk without an earlier holder.
ChunkState firstClaim(std::uint32_t items);

/// Returns the state that claims a chunk after an earlier holder. A holder whose lease expired has probably crashed. Items that it
/// may have sent and that must not be repeated become doubtful. From the second such holder on, the items that may have been in
/// flight become suspects.
ChunkState takeoverClaim(ChunkState const &seen);

/// Returns the suspects that may run under the next version.
std::vector<std::uint32_t> nextTrial(ChunkState const &state);

} // namespace Anvilyard::Batch
