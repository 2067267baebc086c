#pragma once

#include "LibCore/Result.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Anvilyard::FakeEngine {

/// A fault that applies to the next `remaining` requests, or to all requests until it is switched off if set to Forever.
class CountedFault
{
public:
    static constexpr std::int64_t Forever = -1;

    void set(std::int64_t remaining);
    /// Returns whether the current request gets the fault, and decrements the number of remaining requests.
    bool take();
    [[nodiscard]] std::int64_t remaining() const;

private:
    std::int64_t remaining_ = 0;
};

/// Fault settings, changed by POST /control. Omitted fields keep their values. `{"reset": true}` restores the defaults.
struct FaultSwitches {
    /// Refuses the request with status 503 without running it.
    CountedFault refuse;
    /// Aborts the connection after `closeAfterBytes` of the response body.
    CountedFault closeEarly;
    std::size_t closeAfterBytes = 100;
    /// Sends a Content-Length greater than the body, then aborts the connection.
    CountedFault lengthLie;
    /// Delays the request by `lateBy`.
    CountedFault late;
    Duration lateBy = 1s;
    /// Factor for all durations.
    double slowness = 1;
    /// Terminates the process when a prompt contains this text. Disabled if empty.
    std::string dieOn;
    /// Age of the load in the load report.
    Duration loadLag{0};
    /// Delay of cache events, and the share of them that is dropped.
    Duration cacheEventLag{0};
    double cacheEventGaps = 0;

    /// Returns `before` with the changes of a JSON object, or an error if it has an unknown key or a value of the wrong type.
    static Result<FaultSwitches> withChanges(FaultSwitches const &before, std::string_view json);
    [[nodiscard]] std::string toJson() const;
};

} // namespace Anvilyard::FakeEngine
