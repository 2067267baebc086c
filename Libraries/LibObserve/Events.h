#pragma once

#include "LibObserve/Log.h"

/// The events of each component are defined in a separate file and have numbers from a separate range of one thousand.
namespace Anvilyard::Observe::Events {

#define ANVILYARD_EVENT(NAME, NUMBER, SEVERITY, TEXT_NAME, MEANING, ACTION)                                                                \
    inline constexpr EventDefinition NAME{NUMBER, Severity::SEVERITY, TEXT_NAME, MEANING, ACTION};
#include "LibObserve/Events/AllEvents.inc"
#undef ANVILYARD_EVENT

} // namespace Anvilyard::Observe::Events
