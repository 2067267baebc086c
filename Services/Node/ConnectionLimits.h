#pragma once

#include "LibHttp/ConnectionBudget.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace Anvilyard::Node {

/// Bounds on the connections of this process, from the memory of its machine and its limit of descriptors.
struct ConnectionLimits {
    /// Connections of callers, of other instances, and of each other server of this process.
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t others = 0;
    /// Bytes that the connections may hold; unset if they are not bounded.
    std::optional<std::size_t> memoryBytes;
};

/// `descriptors`: how many the process may have open.
[[nodiscard]] ConnectionLimits connectionLimits(std::size_t descriptors, std::optional<std::size_t> machineMemoryBytes);
/// Reads the limit of descriptors of this process.
[[nodiscard]] std::size_t readDescriptorLimit();
/// Reads the memory of the machine in bytes; `std::nullopt` if the system does not state it.
[[nodiscard]] std::optional<std::size_t> readMachineMemory();

} // namespace Anvilyard::Node
