#pragma once

#include "LibCore/Ids.h"
#include "LibRules/RuleSet.h"

#include <memory>
#include <vector>

namespace Anvilyard::Fleet {

enum class ServerState {
    Ready,
    /// In the instance list but not ready.
    NotReady,
    Leaving,
};

/// A backend server, combined from the rules and the instance list.
struct BackendServer {
    ServerId id;
    PoolName pool;
    Address address;
    DataCentreId dataCentre;
    ServerState state = ServerState::Ready;
};

enum class InstanceState {
    Alive,
    Suspect,
    Leaving,
};

/// One of our own instances and the addresses of its processes.
struct Instance {
    InstanceId id;
    DataCentreId dataCentre;
    InstanceState state = InstanceState::Alive;
    /// gRPC addresses.
    Address agentAddress;
    Address entryPeerAddress;
    Address batchPeerAddress;
};

/// State that an agent publishes to the entry and batch processes of its instance; immutable once published.
struct FleetView {
    std::shared_ptr<Rules::RuleSet const> rules = std::make_shared<Rules::RuleSet const>();
    std::vector<BackendServer> servers;
    std::vector<Instance> instances;
    /// Changes whenever a job is submitted or cancelled at any instance, so that batch processes list the jobs again.
    std::uint64_t jobsMark = 0;
};

} // namespace Anvilyard::Fleet
