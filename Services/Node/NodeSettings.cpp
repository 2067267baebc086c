#include "Services/Node/NodeSettings.h"

namespace Anvilyard::Node {

NodeSettings readNodeSettings(Service::SettingsReader &reader)
{
    NodeSettings settings;
    settings.instance = InstanceId(reader.readString("instance"));
    settings.dataCentre = DataCentreId(reader.readString("data-centre"));
    auto const role = reader.readString("role");
    if (role == "runner")
        settings.role = Serving::InstanceRole::Runner;
    else if (role != "entry")
        reader.addFault("role", "expected entry or runner");
    if (role == "entry") {
        settings.callers = reader.readAddress("listen.callers");
        settings.readiness = reader.readAddress("listen.readiness");
    }
    settings.peers = reader.readAddress("listen.peers");
    settings.metrics = reader.readAddress("listen.metrics");
    settings.platform = reader.readAddress("platform.address");
    settings.stopTimeout = reader.readDuration("stop-timeout", settings.stopTimeout, {.least = 2s, .most = 600s});
    return settings;
}

} // namespace Anvilyard::Node
