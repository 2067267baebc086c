#include "Services/Node/ConnectionLimits.h"

#include <algorithm>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace Anvilyard::Node {

namespace {

constexpr std::size_t MaxConnections = 4096;
/// A request needs one descriptor for its caller and one for its backend server, so callers get half of all.
constexpr std::size_t CallersDivisor = 2;
constexpr std::size_t PeersDivisor = 8;
constexpr std::size_t OthersDivisor = 16;
/// The rest is left for the program, the configuration, copies of what grows, and the buffers of the system's sockets.
constexpr std::size_t MemoryDivisor = 2;
/// A request of 4 MiB, its copy for the backend server and a response of 8 MiB fit.
constexpr std::size_t MinMemoryBytes = 24'000'000;
/// The most that connections get unless the settings state the memory: on a machine with other programs, or in a container, the system
/// states more than the process may have.
constexpr std::size_t MaxUnstatedMemoryBytes = 64'000'000;

} // namespace

ConnectionLimits connectionLimits(std::size_t descriptors, MachineMemory const &memory)
{
    auto const share = [&](std::size_t divisor) { return std::clamp<std::size_t>(descriptors / divisor, 1, MaxConnections); };
    auto const memoryBytes = memory.stated ? std::max(*memory.stated / MemoryDivisor, MinMemoryBytes)
                                           : std::clamp(memory.ofSystem.value_or(MaxUnstatedMemoryBytes * MemoryDivisor) / MemoryDivisor,
                                                        MinMemoryBytes,
                                                        MaxUnstatedMemoryBytes);
    return {.callers = share(CallersDivisor), .peers = share(PeersDivisor), .others = share(OthersDivisor), .memoryBytes = memoryBytes};
}

std::size_t readDescriptorLimit()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

std::optional<std::size_t> readMachineMemory()
{
    struct sysinfo info {
    };
    if (::sysinfo(&info) != 0 || info.totalram == 0)
        return std::nullopt;
    return static_cast<std::size_t>(info.totalram) * info.mem_unit;
}

} // namespace Anvilyard::Node
