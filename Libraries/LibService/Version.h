#pragma once

#include <string_view>

namespace Anvilyard::Service {

/// Version printed by the --version option of all programs.
inline constexpr std::string_view Version = "0.1.0";

} // namespace Anvilyard::Service
