#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the jobinputs kind.
class InputCodec
{
public:
    static std::string encode(std::vector<ItemSpec> const &value);
    static Result<std::vector<ItemSpec>> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
