#pragma once

#include "LibBatch/JobRecords.h"
#include "LibCore/Result.h"

#include <string_view>

namespace Anvilyard::Batch {

/// JSON representation of the jobs kind.
class JobCodec
{
public:
    static std::string encode(JobRecord const &value);
    static Result<JobRecord> decode(std::string_view text);
};

} // namespace Anvilyard::Batch
