#include "LibYield/BatchGate.h"

#include "LibYield/EngineGate.h"

#include <algorithm>
#include <functional>

namespace Anvilyard::Yield {

struct BatchGate::State {
    explicit State(GateOptions gateOptions)
        : options(gateOptions)
    {
    }

    /// Runs a step on an engine and appends the resulting change of its slots, if any.
    static void
    apply(ServerId const &server, EngineGate &gate, std::vector<SlotsChanged> &changes, std::function<void(EngineGate &)> const &step)
    {
        auto const before = gate.allowed();
        step(gate);
        if (gate.allowed() != before)
            changes.push_back({.server = server, .allowed = gate.allowed()});
    }

    std::vector<SlotsChanged> applyToOne(ServerId const &server, std::function<void(EngineGate &)> const &step)
    {
        std::vector<SlotsChanged> changes;
        if (auto const gate = gates.find(server); gate != gates.end())
            apply(server, gate->second, changes, step);
        return changes;
    }

    std::vector<SlotsChanged> applyToAll(std::function<void(EngineGate &)> const &step)
    {
        std::vector<SlotsChanged> changes;
        for (auto &[server, gate] : gates)
            apply(server, gate, changes, step);
        return changes;
    }

    GateOptions options;
    std::map<ServerId, EngineGate> gates;
    std::map<InstanceId, std::uint64_t> incarnations;
};

BatchGate::BatchGate(GateOptions options)
    : state_(std::make_unique<State>(options))
{
}

BatchGate::~BatchGate() = default;

std::vector<SlotsChanged> BatchGate::setEngines(std::map<ServerId, GateLimits> const &engines, Instant now)
{
    std::vector<SlotsChanged> changes;
    auto &gates = state_->gates;
    for (auto gate = gates.begin(); gate != gates.end();) {
        if (engines.contains(gate->first)) {
            ++gate;
            continue;
        }
        if (gate->second.allowed() > 0)
            changes.push_back({.server = gate->first, .allowed = 0});
        gate = gates.erase(gate);
    }
    for (auto const &[server, limits] : engines) {
        auto const [gate, isNew] = gates.try_emplace(server, state_->options, limits);
        if (!isNew)
            State::apply(server, gate->second, changes, [&limits = limits, now](EngineGate &known) { known.setLimits(limits, now); });
        else if (gate->second.allowed() > 0)
            changes.push_back({.server = server, .allowed = gate->second.allowed()});
    }
    return changes;
}

std::vector<SlotsChanged>
BatchGate::onOnlineReport(InstanceId const &from, std::uint64_t processIncarnation, std::vector<OnlineTally> const &tallies, Instant now)
{
    auto const [known, isNew] = state_->incarnations.try_emplace(from, processIncarnation);
    if (processIncarnation < known->second)
        return {};
    std::vector<SlotsChanged> changes;
    if (processIncarnation > known->second) {
        // The requests of the earlier process ended with it.
        known->second = processIncarnation;
        changes = state_->applyToAll([&](EngineGate &gate) { gate.forget(from, now); });
    }
    for (auto const &tally : tallies) {
        auto const more = state_->applyToOne(tally.server, [&](EngineGate &gate) { gate.onTally(from, tally, now); });
        changes.insert(changes.end(), more.begin(), more.end());
    }
    return changes;
}

std::vector<SlotsChanged> BatchGate::onInstanceDeparted(InstanceId const &instance, Instant now)
{
    // NOTE: A later report counts again until it expires, as an instance that was considered dead by mistake still serves callers.
    state_->incarnations.erase(instance);
    return state_->applyToAll([&](EngineGate &gate) { gate.forget(instance, now); });
}

std::vector<SlotsChanged> BatchGate::onEngineLoad(ServerId const &server, EngineLoad const &load, Instant now)
{
    return state_->applyToOne(server, [&](EngineGate &gate) { gate.onLoad(load, now); });
}

std::vector<SlotsChanged> BatchGate::onTokenGap(ServerId const &server, Duration gap, Instant now)
{
    return state_->applyToOne(server, [&](EngineGate &gate) { gate.onTokenGap(gap, now); });
}

std::vector<SlotsChanged> BatchGate::onTick(Instant now)
{
    return state_->applyToAll([now](EngineGate &gate) { gate.update(now); });
}

std::uint32_t BatchGate::allowedSlots(ServerId const &server) const
{
    auto const gate = state_->gates.find(server);
    return gate == state_->gates.end() ? 0 : gate->second.allowed();
}

std::uint64_t BatchGate::onlineInFlight(ServerId const &server) const
{
    auto const gate = state_->gates.find(server);
    return gate == state_->gates.end() ? 0 : gate->second.onlineInFlight();
}

std::optional<Instant> BatchGate::nextTick() const
{
    std::optional<Instant> next;
    for (auto const &[server, gate] : state_->gates) {
        if (auto const tick = gate.nextTick())
            next = next ? std::min(*next, *tick) : tick;
    }
    return next;
}

} // namespace Anvilyard::Yield
