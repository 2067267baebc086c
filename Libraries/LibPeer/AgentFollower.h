#pragma once

#include "LibCore/Ids.h"
#include "LibFleet/FleetView.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Peer {

struct AgentFollowerOptions {
    Address agent;
    /// Key shared by the fleet's processes; empty only if the settings allow a fleet without a key.
    std::string sharedKey;
    /// "entry" or "batch".
    std::string role;
    /// Called on the follower's own thread with each newer view. Views with a lower rules generation are dropped.
    std::function<void(std::shared_ptr<Fleet::FleetView const>)> onView;
};

/// Supplies an entry or batch process with the fleet view of its agent. Reconnects without limit; the last view stays in use
/// in the meantime.
class AgentFollower
{
public:
    static std::unique_ptr<AgentFollower> create(AgentFollowerOptions options);
    virtual ~AgentFollower() = default;
    /// Notifies the agent that a job was submitted or cancelled. Best effort; returns at once.
    virtual void raiseJobsMark() = 0;
};

} // namespace Anvilyard::Peer
