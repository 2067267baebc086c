#pragma once

#include "LibCore/Ids.h"
#include "LibServing/PeerReport.h"

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace Anvilyard::Tests {

/// A process of anvilyard-node. It is killed when this object is destroyed or the test program ends.
class NodeProcess
{
public:
    struct Options {
        std::string name;
        std::string dataCentre = "dc";
        Serving::InstanceRole role = Serving::InstanceRole::Entry;
        Address platform;
        /// Loopback address of this process alone, so that its ports stay free while it is down.
        std::string ip;
        /// Where the settings and the log of the process are written.
        std::filesystem::path folder;
        /// Limit of open descriptors of the process; unset for the limit of this program.
        std::optional<std::size_t> maxDescriptors = {};
        /// Memory of the machine, in MB, as the settings state it; unset to leave it out.
        std::optional<std::size_t> memoryMegabytes = {};
    };

    explicit NodeProcess(Options options);
    ~NodeProcess();
    NodeProcess(NodeProcess const &) = delete;
    NodeProcess &operator=(NodeProcess const &) = delete;

    /// Starts the process, also again after kill(), at the same addresses.
    void start();
    void kill();
    /// Asks the process by SIGTERM to end.
    void terminate();
    /// Sends SIGHUP, which operators send after they have moved the log.
    void reload();
    /// Whether the process is there, also while it is paused or ends.
    [[nodiscard]] bool isRunning();
    /// Stops the process by SIGSTOP and waits until it has stopped.
    void pause();
    void resume();
    /// Peak of the resident memory since the start. Throws if the process is gone.
    [[nodiscard]] std::size_t peakMemoryBytes() const;
    [[nodiscard]] std::size_t openDescriptors() const;

    [[nodiscard]] std::string const &name() const;
    /// Number of lines in the log with the text, since the first start.
    [[nodiscard]] std::size_t countInLog(std::string_view text) const;
    [[nodiscard]] Address const &callers() const;
    [[nodiscard]] Address const &readiness() const;

private:
    [[nodiscard]] static std::string nextProgram();
    [[nodiscard]] std::filesystem::path settingsFile() const;
    [[nodiscard]] std::filesystem::path logFile() const;

    Options options_;
    Address callers_;
    Address readiness_;
    pid_t process_ = 0;
};

} // namespace Anvilyard::Tests
