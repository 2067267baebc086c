#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the openjobs kind.
class OpenJobCodec
{
public:
    static std::string encode(OpenJob const &value);
    static Result<OpenJob> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
