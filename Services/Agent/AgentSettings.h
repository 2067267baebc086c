#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibService/SettingsReader.h"

#include <string>
#include <vector>

namespace Anvilyard::Agent {

struct AgentSettings {
    InstanceId instance;
    DataCentreId dataCentre;
    /// gRPC address for other agents and for the entry and batch processes of this instance.
    Address listen;
    /// Address announced to other instances; if empty, the address that the server listens on.
    Address advertise;
    /// Address at which the entry process of this instance accepts calls from peers.
    Address entryPeer;
    /// Address at which the batch process of this instance accepts calls from peers.
    Address batchPeer;
    /// Agents contacted first after a start.
    std::vector<Address> peers;
    Address platform;
    Duration platformCallTimeout{0};
    std::string sharedKey;
};

AgentSettings readAgentSettings(Service::SettingsReader &reader);

} // namespace Anvilyard::Agent
