#include "Services/Entry/EntrySettings.h"

namespace Anvilyard::Entry {

namespace {

std::string readFleetKey(Service::SettingsReader &reader)
{
    auto key = reader.readSecretFile("fleet.key-file");
    bool const allowNoKey = reader.readFlag("fleet.allow-no-key", false);
    if (key.empty() && !allowNoKey)
        reader.addError("fleet.key-file", "the key is missing; set it, or set fleet.allow-no-key to true");
    return key;
}

TimeLimits readTimeLimits(Service::SettingsReader &reader)
{
    TimeLimits limits;
    limits.request = reader.readDuration("entry.request-timeout", limits.request, {.min = 1s, .max = 3600s});
    limits.connect = reader.readDuration("entry.connect-timeout", limits.connect, {.min = 10ms, .max = 60s});
    limits.head = reader.readDuration("entry.head-timeout", limits.head, {.min = 100ms, .max = 3600s});
    limits.reusedHead = reader.readDuration("entry.reused-head-timeout", limits.reusedHead, {.min = 100ms, .max = 3600s});
    limits.progress = reader.readDuration("entry.progress-timeout", limits.progress, {.min = 100ms, .max = 3600s});
    return limits;
}

} // namespace

EntrySettings readEntrySettings(Service::SettingsReader &reader)
{
    EntrySettings settings;
    settings.listen = reader.readAddress("entry.listen");
    settings.peerListen = reader.readAddress("entry.peer-listen", Address("127.0.0.1:0"));
    settings.threads = static_cast<std::size_t>(reader.readInteger("entry.threads", 1, {.min = 1, .max = 64}));
    settings.instance = InstanceId(reader.readString("instance.id"));
    settings.dataCentre = DataCentreId(reader.readString("instance.data-centre"));
    settings.agent = reader.readAddress("agent.address");
    settings.platform = reader.readAddress("platform.address");
    settings.fleetKey = readFleetKey(reader);
    settings.limits = readTimeLimits(reader);
    settings.drainTimeout = reader.readDuration("entry.drain-timeout", settings.drainTimeout, {.min = 0s, .max = 3600s});
    settings.leavingNotice = reader.readDuration("entry.leaving-notice", settings.leavingNotice, {.min = 0s, .max = 300s});
    settings.inFlightPerServer = static_cast<std::size_t>(reader.readInteger(
        "entry.in-flight-per-server", static_cast<std::int64_t>(settings.inFlightPerServer), {.min = 1, .max = 100'000}));
    settings.queueLength = static_cast<std::size_t>(
        reader.readInteger("entry.queue-length", static_cast<std::int64_t>(settings.queueLength), {.min = 0, .max = 100'000}));
    settings.queueWait = reader.readDuration("entry.queue-wait", settings.queueWait, {.min = 0s, .max = 60s});
    settings.cacheEventStreams = static_cast<std::size_t>(
        reader.readInteger("entry.cache-event-streams", static_cast<std::int64_t>(settings.cacheEventStreams), {.min = 0, .max = 10'000}));
    settings.loadPollsPerSecond = reader.readNumber("entry.load-polls-per-second", settings.loadPollsPerSecond, 0.1, 1000);
    return settings;
}

} // namespace Anvilyard::Entry
