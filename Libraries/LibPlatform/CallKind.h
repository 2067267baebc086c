#pragma once

namespace Anvilyard::Platform {

/// Kind of a call. The platform has separate limits for reads and changes.
enum class CallKind {
    Read,
    Change,
};

} // namespace Anvilyard::Platform
