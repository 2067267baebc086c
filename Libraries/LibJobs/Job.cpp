#include "LibJobs/Job.h"

namespace Anvilyard::Jobs {

std::uint64_t JobRecord::tokens() const
{
    std::uint64_t sum = 0;
    for (auto const &item : items)
        sum += item.tokens;
    return sum;
}

} // namespace Anvilyard::Jobs
