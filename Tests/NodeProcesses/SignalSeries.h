#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "Tests/NodeProcesses/NodeProcess.h"

#include <string>
#include <vector>

namespace Anvilyard::Tests {

/// Sends signals to processes in a random series in which they overlap: kills, stops, pauses and restarts. Each process is started again
/// after a while.
class SignalSeries
{
public:
    struct Options {
        std::uint64_t seed = 0;
        std::vector<NodeProcess *> processes;
        Duration minPause = 100ms;
        Duration maxPause = 700ms;
        /// Processes that are left alone at any time.
        std::size_t minRunning = 1;
    };

    explicit SignalSeries(Options options);

    /// When the next signal is due.
    [[nodiscard]] Instant nextAt() const;
    /// Sends the next signal and returns what it was.
    std::string sendNext(Instant now);
    /// Whether the process runs and got no signal, and was not started, for so long.
    [[nodiscard]] bool isCalm(NodeProcess const &process, Duration time, Instant now) const;
    /// Whether the process was neither paused nor ended by the series.
    [[nodiscard]] bool isRunning(NodeProcess const &process) const;
    enum class Disturbance {
        None,
        /// Only a request to stop.
        Stop,
        /// A kill, a pause or a start.
        Other,
    };
    /// The gravest signal that a process got within a time.
    [[nodiscard]] Disturbance disturbance(NodeProcess const &process, Instant from, Instant to) const;
    /// Resumes paused processes and starts those that are down.
    void restoreAll();

private:
    enum class State {
        Running,
        Paused,
        Stopping,
        Down,
    };

    [[nodiscard]] std::size_t indexOf(NodeProcess const &process) const;
    [[nodiscard]] std::size_t pick(std::size_t count);
    void refresh();
    std::string disturb(std::size_t process);
    std::string restore(std::size_t process);

    Options options_;
    RandomSource random_;
    std::vector<State> states_;
    struct Change {
        std::size_t process = 0;
        Instant at;
        State state = State::Running;
    };
    /// All signals and starts so far.
    std::vector<Change> changes_;
    Instant nextAt_;
};

} // namespace Anvilyard::Tests
