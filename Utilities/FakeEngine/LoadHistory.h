#pragma once

#include "LibCore/Time.h"
#include "Utilities/FakeEngine/RunTable.h"

#include <deque>

namespace Anvilyard::FakeEngine {

/// Past loads, for load reports with a delay.
class LoadHistory
{
public:
    void record(EngineLoadReport load, Instant now);
    /// Returns the newest load recorded no later than `when`, or no load if there is none.
    [[nodiscard]] EngineLoadReport at(Instant when) const;

private:
    struct Sample {
        Instant when;
        EngineLoadReport load;
    };

    static constexpr std::size_t MaxSamples = 4096;

    std::deque<Sample> samples_;
};

} // namespace Anvilyard::FakeEngine
