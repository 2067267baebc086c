#include "LibObserve/ObserveError.h"

#include "LibCore/ErrorCategory.h"

namespace Anvilyard::Observe {

namespace {

char const *describe(int value)
{
    switch (static_cast<ObserveError>(value)) {
    case ObserveError::TraceFileUnwritable:
        return "the trace file cannot be written";
    }
    return "unknown error";
}

} // namespace

std::error_code make_error_code(ObserveError error)
{
    static ErrorCategory const category("observe", describe);
    return {static_cast<int>(error), category};
}

} // namespace Anvilyard::Observe
