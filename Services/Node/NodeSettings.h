#pragma once

#include "LibCore/Ids.h"
#include "LibService/SettingsReader.h"
#include "LibServing/PeerReport.h"

namespace Anvilyard::Node {

struct NodeSettings {
    InstanceId instance;
    DataCentreId dataCentre;
    Serving::InstanceRole role = Serving::InstanceRole::Entry;
    /// Entries only.
    Address callers;
    /// Entries only: where the platform asks for readiness.
    Address readiness;
    /// Calls and reports between instances; the same port for TCP and UDP.
    Address peers;
    Address metrics;
    Address platform;
    /// A stop takes at most this long; the platform kills what still runs after it.
    Duration stopTimeout = 8s;
};

NodeSettings readNodeSettings(Service::SettingsReader &reader);

} // namespace Anvilyard::Node
