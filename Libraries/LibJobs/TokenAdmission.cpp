#include "LibJobs/TokenAdmission.h"

namespace Anvilyard::Jobs {

namespace {

/// Within this time an admitted job is stored and counted by its owner, or it was not accepted.
constexpr Duration AdmissionRetention = 3s;

} // namespace

bool TokenAdmission::tryAdmit(Request const &request,
                              std::uint64_t waiting,
                              std::function<bool(JobId const &)> const &isCounted,
                              Instant now)
{
    std::erase_if(admissions_, [&](auto const &entry) { return now >= entry.second.until; });
    auto sum = waiting;
    for (auto const &[job, admission] : admissions_) {
        // Entries of earlier builds do not state the customer.
        bool const isForeign = request.customer && admission.customer && *admission.customer != *request.customer;
        sum += isForeign || job == request.job || isCounted(job) ? 0 : admission.tokens;
    }
    if (sum + request.tokens > request.maxTokens)
        return false;
    admissions_[request.job] = {.until = now + AdmissionRetention, .tokens = request.tokens, .customer = request.customer};
    return true;
}

} // namespace Anvilyard::Jobs
