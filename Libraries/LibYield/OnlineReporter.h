#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Yield {

/// Cumulative counts of online requests that one entry process has sent to one engine since the process started.
struct OnlineTally {
    ServerId server;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
};

struct OnlineReporterOptions {
    /// Time over which starts are coalesced. A start on an engine without requests in flight from this process is reported at once.
    Duration startCoalescingTime = 2ms;
    /// Time over which ends are coalesced. It is longer because ends only free capacity.
    Duration endCoalescingTime = 20ms;
    /// Interval at which unchanged engines with requests in flight are reported.
    Duration refresh = 500ms;
    /// Number of repeated reports for an engine that became idle, in case the first report is lost.
    std::uint32_t idleRepeats = 3;
};

/// Entry side of the yield signal: counts starts and ends per engine and schedules their reports. Performs no I/O.
class OnlineReporter
{
public:
    explicit OnlineReporter(OnlineReporterOptions options);

    void onStarted(ServerId const &server, Instant now);
    void onFinished(ServerId const &server, Instant now);
    /// Returns the tallies that are due now. The caller sends each one to the owner of its engine.
    std::vector<OnlineTally> takeDue(Instant now);
    /// Time of the next due tally.
    [[nodiscard]] std::optional<Instant> nextDue() const;

private:
    struct Engine {
        OnlineTally tally;
        std::optional<Instant> due;
        std::uint32_t idleRepeatsLeft = 0;
    };

    void makeDue(Engine &engine, Instant due);
    [[nodiscard]] std::optional<Instant> dueAfterReport(Engine &engine, Instant now) const;

    OnlineReporterOptions options_;
    std::map<ServerId, Engine> engines_;
};

} // namespace Anvilyard::Yield
