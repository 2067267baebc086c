#include "LibJobs/JobsError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Jobs {

namespace {

char const *describe(int value)
{
    switch (static_cast<JobsError>(value)) {
    case JobsError::BadObject:
        return "malformed stored object of a batch job";
    case JobsError::BadBase64:
        return "the text is not proper base64";
    case JobsError::JobNotFound:
        return "there is no such batch job";
    }
    return "unknown batch job error";
}

} // namespace

std::error_code make_error_code(JobsError error)
{
    static ErrorCategory const category("jobs", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Jobs
