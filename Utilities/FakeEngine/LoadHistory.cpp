#include "Utilities/FakeEngine/LoadHistory.h"

#include <algorithm>

namespace Anvilyard::FakeEngine {

void LoadHistory::record(EngineLoadReport load, Instant now)
{
    samples_.push_back({.when = now, .load = load});
    if (samples_.size() > MaxSamples)
        samples_.pop_front();
}

EngineLoadReport LoadHistory::at(Instant when) const
{
    auto const found = std::find_if(samples_.rbegin(), samples_.rend(), [when](Sample const &sample) { return sample.when <= when; });
    return found == samples_.rend() ? EngineLoadReport{} : found->load;
}

} // namespace Anvilyard::FakeEngine
