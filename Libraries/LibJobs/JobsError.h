#pragma once

#include <system_error>

namespace Anvilyard::Jobs {

enum class JobsError {
    /// An object in the store does not have the format written by this program.
    BadObject = 1,
    BadBase64,
    JobNotFound,
};

std::error_code make_error_code(JobsError error);

} // namespace Anvilyard::Jobs

template<>
struct std::is_error_code_enum<Anvilyard::Jobs::JobsError> : std::true_type {
};
