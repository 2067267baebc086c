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
    /// Bytes that the connections may hold.
    std::size_t memoryBytes = 0;
};

/// Memory of the machine in bytes.
struct MachineMemory {
    /// As the settings state it.
    std::optional<std::size_t> stated;
    /// As the system states it, which may be more than this process may have.
    std::optional<std::size_t> ofSystem;
};

/// `descriptors`: how many the process may have open.
[[nodiscard]] ConnectionLimits connectionLimits(std::size_t descriptors, MachineMemory const &memory);
/// Reads the limit of descriptors of this process.
[[nodiscard]] std::size_t readDescriptorLimit();
/// Reads the memory of the machine in bytes; `std::nullopt` if the system does not state it.
[[nodiscard]] std::optional<std::size_t> readMachineMemory();

} // namespace Anvilyard::Node
