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
        reader.addError("role", "expected entry or runner");
    if (role == "entry") {
        settings.callers = reader.readAddress("listen.callers");
        settings.readiness = reader.readAddress("listen.readiness");
    }
    settings.peers = reader.readAddress("listen.peers");
    settings.metrics = reader.readAddress("listen.metrics");
    settings.platform = reader.readAddress("platform.address");
    settings.stopTimeout = reader.readDuration("stop-timeout", settings.stopTimeout, {.min = 2s, .max = 600s});
    constexpr double BytesPerMegabyte = 1'000'000;
    constexpr double MaxMegabytes = 10'000'000;
    if (auto const megabytes = reader.readNumber("memory", 0, 0, MaxMegabytes); megabytes > 0)
        settings.memoryBytes = static_cast<std::size_t>(megabytes * BytesPerMegabyte);
    return settings;
}

SettingsChanges compareSettings(NodeSettings const &running, NodeSettings const &reloaded)
{
    SettingsChanges changes;
    if (running.stopTimeout != reloaded.stopTimeout)
        changes.appliedImmediately.emplace_back("stop-timeout");
    auto const compare = [&](char const *key, auto const &before, auto const &after) {
        if (before != after)
            changes.appliedAfterRestart.emplace_back(key);
    };
    compare("instance", running.instance, reloaded.instance);
    compare("data-centre", running.dataCentre, reloaded.dataCentre);
    compare("role", running.role, reloaded.role);
    compare("listen.callers", running.callers, reloaded.callers);
    compare("listen.readiness", running.readiness, reloaded.readiness);
    compare("listen.peers", running.peers, reloaded.peers);
    compare("listen.metrics", running.metrics, reloaded.metrics);
    compare("platform.address", running.platform, reloaded.platform);
    compare("memory", running.memoryBytes, reloaded.memoryBytes);
    return changes;
}

} // namespace Anvilyard::Node
