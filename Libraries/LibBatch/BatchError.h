#pragma once

#include <system_error>

namespace Anvilyard::Batch {

/// Errors of the batch layer.
enum class BatchError {
    /// A submitted line or request breaks the format. The detail names the line.
    BadInput = 1,
    /// A stored object does not have the form that this version writes.
    BadStoredObject,
    TooLarge,
};

std::error_code make_error_code(BatchError error);

} // namespace Anvilyard::Batch

template<>
struct std::is_error_code_enum<Anvilyard::Batch::BatchError> : std::true_type {
};
