#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the files kind.
class FileCodec
{
public:
    static std::string encode(FileRecord const &value);
    static Result<FileRecord> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
