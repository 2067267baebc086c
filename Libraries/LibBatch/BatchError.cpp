#include "LibBatch/BatchError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Batch {

namespace {

char const *describe(int value)
{
    switch (static_cast<BatchError>(value)) {
    case BatchError::BadInput:
        return "the input is malformed";
    case BatchError::BadStoredObject:
        return "a stored object is malformed";
    case BatchError::TooLarge:
        return "the input is too large";
    }
    return "unknown batch error";
}

} // namespace

std::error_code make_error_code(BatchError error)
{
    static ErrorCategory const category("batch", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Batch
