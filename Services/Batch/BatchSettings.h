#pragma once

#include "LibCore/Ids.h"
#include "LibService/SettingsReader.h"

#include <string>

namespace Anvilyard::Batch {

/// Whether batch items yield their slots to online requests.
enum class Yielding {
    On,
    /// All slots allowed by the rules are used regardless of online requests. Serves to measure the effect of yielding.
    Off,
};

struct BatchSettings {
    /// gRPC address for the reports of entry processes on online requests.
    Address peerListen;
    InstanceId instance;
    DataCentreId dataCentre;
    Address agent;
    Address platform;
    /// Key shared by all processes of the fleet. Empty only if the settings permit it.
    std::string fleetKey;
    /// Maximum wait for running items after a stop signal.
    Duration drainTimeout = 60s;
    /// Maximum duration of one attempt at an item.
    Duration attemptTimeout = 600s;
    Yielding yielding = Yielding::On;
};

BatchSettings readBatchSettings(Service::SettingsReader &reader);

} // namespace Anvilyard::Batch
