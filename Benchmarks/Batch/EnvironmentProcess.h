#pragma once

#include "LibCore/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilyard::Benchmarks {

/// Addresses that the process under test connects to.
struct EnvironmentAddresses {
    std::string platform;
    std::vector<std::string> engines;
};

/// Measurements of the client.
struct ClientReport {
    double submitSeconds = 0;
    double runSeconds = 0;
    double readSeconds = 0;
    std::uint64_t outputLines = 0;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeReads = 0;
};

/// Child process with the platform, the engines and the client. It is separate so that their memory is not counted for the process
/// under test.
class EnvironmentProcess
{
public:
    /// Forks the child process. Must be called before any thread is started.
    static EnvironmentProcess fork(std::size_t engines, std::uint32_t items);

    [[nodiscard]] EnvironmentAddresses const &addresses() const;
    /// Makes the client submit a job to the entry, wait for it and read its results. Blocks until the results are read.
    ClientReport run(Address const &entry);

private:
    EnvironmentProcess(int readEnd, int writeEnd);

    int readEnd_;
    int writeEnd_;
    EnvironmentAddresses addresses_;
};

} // namespace Anvilyard::Benchmarks
