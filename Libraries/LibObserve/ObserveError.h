#pragma once

#include <system_error>

namespace Anvilyard::Observe {

enum class ObserveError {
    TraceFileUnwritable = 1,
};

std::error_code make_error_code(ObserveError error);

} // namespace Anvilyard::Observe

template<>
struct std::is_error_code_enum<Anvilyard::Observe::ObserveError> : std::true_type {
};
