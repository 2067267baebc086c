#include "LibServing/Urgency.h"

namespace Anvilyard::Serving {

Urgency urgencyOf(std::int64_t priority)
{
    if (priority <= 0)
        return Urgency::Highest;
    return priority == 1 ? Urgency::High : Urgency::Normal;
}

} // namespace Anvilyard::Serving
