#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibYield/EngineLoad.h"
#include "LibYield/OnlineReporter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Anvilyard::Yield {

/// Limits for batch streams on one engine, from the rules.
struct GateLimits {
    std::uint32_t maxSlots = 8;
    double share = 1.0;
    std::uint32_t floorSlots = 0;
};

struct GateOptions {
    /// An engine without a tally or load report for this long is reduced to its floor.
    Duration signalTimeout = 2s;
    /// Interval at which one slot is added while online requests leave room for it.
    Duration growInterval = 20ms;
    /// Entry processes repeat tallies with requests in flight. A tally that was not repeated for this long no longer counts.
    Duration tallyTimeout = 20s;
    /// Ratio to the usual token gap above which a gap indicates load that no tally covers.
    double congestedGapRatio = 4;
    /// Slots are halved after such a gap, at most once within this time, and grow again only afterwards.
    Duration congestionHold = 250ms;
};

/// New limit of batch streams at an engine. If more are running, the newest ones are cancelled at once.
struct SlotsChanged {
    ServerId server;
    std::uint32_t allowed = 0;
};

/// Owner side of the yield signal: computes batch slots from tallies, load reports and token gaps. Performs no I/O; every event
/// returns the engines whose slots changed.
///
/// The slots are the limit from the rules minus the online requests in flight. They are reduced in the same event that reports a
/// request, and grow one by one. Tallies take precedence. The engine's own load report is used while no tally is fresh, for example
/// if no entry uses the engine.
class BatchGate
{
public:
    explicit BatchGate(GateOptions options);
    ~BatchGate();

    /// Sets the engines that this process owns and removes all others. A new engine starts at its floor and grows from its first
    /// signal.
    std::vector<SlotsChanged> setEngines(std::map<ServerId, GateLimits> const &engines, Instant now);
    /// `processIncarnation` increases with each start of an instance's entry process. Reports of earlier processes are ignored.
    std::vector<SlotsChanged>
    onOnlineReport(InstanceId const &from, std::uint64_t processIncarnation, std::vector<OnlineTally> const &tallies, Instant now);
    /// Called when an entry process is dead. Its requests in flight no longer count.
    std::vector<SlotsChanged> onInstanceDeparted(InstanceId const &instance, Instant now);
    std::vector<SlotsChanged> onEngineLoad(ServerId const &server, EngineLoad const &load, Instant now);
    /// `gap`: time between two tokens of an own batch stream.
    std::vector<SlotsChanged> onTokenGap(ServerId const &server, Duration gap, Instant now);
    std::vector<SlotsChanged> onTick(Instant now);

    [[nodiscard]] std::uint32_t allowedSlots(ServerId const &server) const;
    /// Number of online requests in flight according to the newest tallies.
    [[nodiscard]] std::uint64_t onlineInFlight(ServerId const &server) const;
    [[nodiscard]] std::optional<Instant> nextTick() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace Anvilyard::Yield
