#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the jobresults kind.
class ResultCodec
{
public:
    static std::string encode(std::vector<ResultLine> const &value);
    static Result<std::vector<ResultLine>> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
