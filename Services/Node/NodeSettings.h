#pragma once

#include "LibCore/Ids.h"
#include "LibService/SettingsReader.h"
#include "LibServing/PeerReport.h"

#include <optional>
#include <string>
#include <vector>

namespace Anvilyard::Node {

struct NodeSettings {
    InstanceId instance;
    DataCentreId dataCentre;
    Serving::InstanceRole role = Serving::InstanceRole::Entry;
    /// Entries only.
    Address callers;
    /// Entries only: the platform's readiness probes.
    Address readiness;
    /// Calls and reports between instances, on the same port for TCP and UDP.
    Address peers;
    Address metrics;
    Address platform;
    /// Maximum duration of a stop. The platform kills a process that still runs after it.
    Duration stopTimeout = 8s;
    /// Memory of the machine; unset if the system states it.
    std::optional<std::size_t> memoryBytes = {};
};

NodeSettings readNodeSettings(Service::SettingsReader &reader);

/// Keys whose values differ between the settings in use and the reloaded ones, by when they take effect.
struct SettingsChanges {
    std::vector<std::string> appliedImmediately;
    std::vector<std::string> appliedAfterRestart;
};

SettingsChanges compareSettings(NodeSettings const &running, NodeSettings const &reloaded);

} // namespace Anvilyard::Node
