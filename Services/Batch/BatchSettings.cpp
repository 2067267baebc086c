#include "Services/Batch/BatchSettings.h"

namespace Anvilyard::Batch {

BatchSettings readBatchSettings(Service::SettingsReader &reader)
{
    BatchSettings settings;
    settings.peerListen = reader.readAddress("batch.peer-listen", Address("127.0.0.1:0"));
    settings.instance = InstanceId(reader.readString("instance.id"));
    settings.dataCentre = DataCentreId(reader.readString("instance.data-centre"));
    settings.agent = reader.readAddress("agent.address");
    settings.platform = reader.readAddress("platform.address");
    settings.fleetKey = reader.readSecretFile("fleet.key-file");
    bool const allowsMissingKey = reader.readFlag("fleet.allow-no-key", false);
    if (settings.fleetKey.empty() && !allowsMissingKey)
        reader.addError("fleet.key-file", "the fleet key is missing; to run without one, set fleet.allow-no-key to true");
    settings.drainTimeout = reader.readDuration("batch.drain-timeout", settings.drainTimeout, {.min = 0s, .max = 3600s});
    settings.attemptTimeout = reader.readDuration("batch.attempt-timeout", settings.attemptTimeout, {.min = 1s, .max = 24h});
    settings.yielding = reader.readFlag("batch.yield", true) ? Yielding::On : Yielding::Off;
    return settings;
}

} // namespace Anvilyard::Batch
