#pragma once

#include "LibCore/Ids.h"
#include "LibService/SettingsReader.h"
#include "Services/Entry/ThreadContext.h"

#include <string>

namespace Anvilyard::Entry {

struct EntrySettings {
    Address listen;
    /// gRPC address for usage reports from other entries.
    Address peerListen;
    std::size_t threads = 1;
    InstanceId instance;
    DataCentreId dataCentre;
    Address agent;
    Address platform;
    /// Key shared by the processes of the fleet; empty only if the settings allow it.
    std::string fleetKey;
    TimeLimits limits;
    /// Maximum wait for running requests after a stop signal.
    Duration drainTimeout = 300s;
    /// Time for which new requests are still served after a stop signal, so that the load balancer can detect the stop.
    Duration leavingNotice = 5s;
    /// Expected number of requests in flight at a server at which further requests wait.
    std::size_t inFlightPerServer = 64;
    std::size_t queueLength = 256;
    Duration queueWait = 2s;
    /// Maximum number of engines whose cache events are followed.
    std::size_t cacheEventStreams = 16;
    /// Rate of load polls to all servers together.
    double loadPollsPerSecond = 8;
};

EntrySettings readEntrySettings(Service::SettingsReader &reader);

} // namespace Anvilyard::Entry
