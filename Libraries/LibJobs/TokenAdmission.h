#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Anvilyard::Jobs {

/// Decides at the admitting runner of a route whether jobs fit within the limit of waiting tokens. Many entries ask at the same time near
/// the limit, and a job that was admitted is stored and counted by its owner only up to seconds later, so admitted jobs count here until
/// then. With customers the limit applies to each of them. Performs no I/O.
class TokenAdmission
{
public:
    struct Request {
        JobId job;
        /// Unset if the limit applies to all jobs together.
        std::optional<CustomerId> customer;
        std::uint64_t tokens = 0;
        std::uint64_t maxTokens = 0;
    };

    /// `waiting`: tokens that wait and to which the limit applies. `isCounted` returns whether these include those of a job.
    bool tryAdmit(Request const &request, std::uint64_t waiting, std::function<bool(JobId const &)> const &isCounted, Instant now);

private:
    struct Admission {
        Instant until;
        std::uint64_t tokens = 0;
        std::optional<CustomerId> customer;
    };

    std::map<JobId, Admission> admissions_;
};

} // namespace Anvilyard::Jobs
