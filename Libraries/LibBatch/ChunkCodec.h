#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the jobchunks kind.
class ChunkCodec
{
public:
    static std::string encode(ChunkState const &value);
    static Result<ChunkState> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
