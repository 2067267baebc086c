#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibFleet/FleetView.h"
#include "LibFleet/PeerMessages.h"
#include "LibPeer/AgentClient.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Peer {

/// Replies to a call. May be called from any thread; only the first call has an effect. If it is destroyed without being
/// called, the call ends with UNAVAILABLE, which clients may retry.
template<typename Value>
using Responder = std::function<void(Value)>;

/// All callbacks run on gRPC threads.
struct AgentServerOptions {
    Address listen;
    /// Key shared by the fleet's processes; empty only if the settings allow a fleet without a key.
    std::string sharedKey;
    Observe::Tracer *tracer = nullptr;
    std::function<void(Fleet::Exchange, Responder<Fleet::Exchange>)> onExchange;
    std::function<void(Responder<ProbeResult>)> onProbe;
    std::function<void(Address target, Responder<ProbeResult>)> onIndirectProbe;
    /// Replies with the new mark.
    std::function<void(Responder<std::uint64_t>)> onRaiseJobsMark;
};

/// A fleet view with the rules text that its rules were parsed from, as sent to followers.
struct PublishedView {
    std::shared_ptr<Fleet::FleetView const> view;
    std::shared_ptr<std::string const> rulesText;
};

/// Serves other agents, and the entry and batch processes of the same instance.
class AgentServer
{
public:
    static Result<std::unique_ptr<AgentServer>> create(AgentServerOptions options);
    virtual ~AgentServer() = default;
    [[nodiscard]] virtual Address address() const = 0;
    /// Sends the view to all current followers, and to later ones when they connect. A slow follower skips intermediate views.
    virtual void publish(PublishedView view) = 0;
    [[nodiscard]] virtual std::size_t followerCount() const = 0;
};

} // namespace Anvilyard::Peer
