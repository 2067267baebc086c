#include "LibObserve/Events.h"

namespace Anvilyard::Observe {

std::vector<EventDefinition> const &eventCatalogue()
{
    static std::vector<EventDefinition> const catalogue = {
#define ANVILYARD_EVENT(NAME, NUMBER, SEVERITY, TEXT_NAME, MEANING, ACTION) Events::NAME,
#include "LibObserve/Events/AllEvents.inc"
#undef ANVILYARD_EVENT
    };
    return catalogue;
}

} // namespace Anvilyard::Observe
