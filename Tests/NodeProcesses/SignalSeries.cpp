#include "Tests/NodeProcesses/SignalSeries.h"

#include <algorithm>

namespace Anvilyard::Tests {

SignalSeries::SignalSeries(Options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , states_(options_.processes.size(), State::Running)
    , nextAt_(readLocalClock())
{
}

Instant SignalSeries::nextAt() const
{
    return nextAt_;
}

std::size_t SignalSeries::indexOf(NodeProcess const &process) const
{
    return static_cast<std::size_t>(std::ranges::find(options_.processes, &process) - options_.processes.begin());
}

bool SignalSeries::isRunning(NodeProcess const &process) const
{
    return states_[indexOf(process)] == State::Running;
}

bool SignalSeries::isCalm(NodeProcess const &process, Duration time, Instant now) const
{
    return isRunning(process) && disturbance(process, now - time, now) == Disturbance::None;
}

SignalSeries::Disturbance SignalSeries::disturbance(NodeProcess const &process, Instant from, Instant to) const
{
    auto gravest = Disturbance::None;
    auto const effectOf = [](State state) { return state == State::Stopping ? Disturbance::Stop : Disturbance::Other; };
    auto before = State::Running;
    for (auto const &change : changes_) {
        if (change.process != indexOf(process) || change.at > to)
            continue;
        if (change.at <= from)
            before = change.state;
        else
            gravest = std::max(gravest, effectOf(change.state));
    }
    // A process may have been paused or down since before that time.
    return before == State::Running ? gravest : std::max(gravest, effectOf(before));
}

std::size_t SignalSeries::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

/// A process that was asked to stop ends after a while.
void SignalSeries::refresh()
{
    for (std::size_t process = 0; process < states_.size(); ++process) {
        if (states_[process] == State::Stopping && !options_.processes[process]->isRunning())
            states_[process] = State::Down;
    }
}

std::string SignalSeries::sendNext(Instant now)
{
    refresh();
    using Milliseconds = std::chrono::milliseconds;
    auto const toMilliseconds = [](Duration duration) { return std::chrono::duration_cast<Milliseconds>(duration).count(); };
    nextAt_ =
        now + Milliseconds(std::uniform_int_distribution(toMilliseconds(options_.minPause), toMilliseconds(options_.maxPause))(random_));
    auto const process = pick(states_.size());
    auto const running = static_cast<std::size_t>(std::ranges::count(states_, State::Running));
    if (states_[process] == State::Running && running <= options_.minRunning)
        return {};
    auto signal = states_[process] == State::Running ? disturb(process) : restore(process);
    if (!signal.empty())
        changes_.push_back({.process = process, .at = now, .state = states_[process]});
    return signal;
}

std::string SignalSeries::disturb(std::size_t process)
{
    auto &node = *options_.processes[process];
    switch (pick(3)) {
    case 0:
        node.kill();
        states_[process] = State::Down;
        return "kill " + node.name();
    case 1:
        node.terminate();
        states_[process] = State::Stopping;
        return "stop " + node.name();
    default:
        node.pause();
        states_[process] = State::Paused;
        return "pause " + node.name();
    }
}

std::string SignalSeries::restore(std::size_t process)
{
    auto &node = *options_.processes[process];
    switch (states_[process]) {
    case State::Paused:
        node.resume();
        states_[process] = State::Running;
        return "resume " + node.name();
    case State::Down:
        node.start();
        states_[process] = State::Running;
        return "start " + node.name();
    case State::Running:
    case State::Stopping:
        break;
    }
    return {};
}

void SignalSeries::restoreAll()
{
    for (std::size_t process = 0; process < states_.size(); ++process) {
        if (states_[process] == State::Stopping) {
            options_.processes[process]->kill();
            states_[process] = State::Down;
        }
        if (!restore(process).empty())
            changes_.push_back({.process = process, .at = readLocalClock(), .state = states_[process]});
    }
}

} // namespace Anvilyard::Tests
