#include "AgentSettings.h"

namespace Anvilyard::Agent {

namespace {

std::string readSharedKey(Service::SettingsReader &reader)
{
    auto key = reader.readSecretFile("fleet.key-file");
    auto const allowNoKey = reader.readFlag("fleet.allow-no-key", false);
    if (key.empty() && !allowNoKey)
        reader.addError("fleet.key-file", "a key file is required unless fleet.allow-no-key is true");
    return key;
}

std::vector<Address> readPeers(Service::SettingsReader &reader)
{
    std::vector<Address> peers;
    for (auto const &text : reader.readStrings("agent.peers", {}))
        peers.emplace_back(text);
    return peers;
}

} // namespace

AgentSettings readAgentSettings(Service::SettingsReader &reader)
{
    AgentSettings settings;
    settings.instance = InstanceId(reader.readString("instance.id"));
    settings.dataCentre = DataCentreId(reader.readString("instance.data-centre"));
    settings.listen = reader.readAddress("agent.listen");
    settings.advertise = reader.readAddress("agent.advertise", Address());
    settings.entryPeer = reader.readAddress("agent.entry-peer");
    settings.batchPeer = reader.readAddress("agent.batch-peer");
    settings.peers = readPeers(reader);
    settings.platform = reader.readAddress("platform.address");
    settings.platformCallTimeout = reader.readDuration("platform.call-timeout", 2s, {.min = 10ms, .max = 1min});
    settings.sharedKey = readSharedKey(reader);
    return settings;
}

} // namespace Anvilyard::Agent
