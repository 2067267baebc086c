#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibFleet/PeerMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilyard::Observe {
class Tracer;
}

namespace Anvilyard::Peer {

struct AgentClientOptions {
    InstanceId self;
    /// Key shared by the fleet's processes; empty only if the settings allow a fleet without a key.
    std::string sharedKey;
    /// Records a span for each call that carries a rule set; may be null.
    Observe::Tracer *tracer = nullptr;
};

struct ProbeResult {
    /// For an indirect probe: whether the target agent responded.
    bool reached = false;
    Fleet::Incarnation incarnation;
};

/// Calls between agents. Every call ends by its deadline. Callbacks run on gRPC threads. After a timeout the channel is
/// replaced, so the next call opens a new connection.
class AgentClient
{
public:
    template<typename Value>
    using ReplyCallback = std::function<void(Result<Value>)>;

    static std::unique_ptr<AgentClient> create(AgentClientOptions options);
    /// Cancels the calls in flight and waits until no callback can run any more.
    virtual ~AgentClient() = default;

    virtual void
    exchange(Address const &agent, Fleet::Exchange const &request, Instant deadline, ReplyCallback<Fleet::Exchange> onReply) = 0;
    virtual void probe(Address const &agent, Instant deadline, ReplyCallback<ProbeResult> onReply) = 0;
    /// Asks `agent` to probe `target`.
    virtual void probeIndirectly(Address const &agent, Address const &target, Instant deadline, ReplyCallback<ProbeResult> onReply) = 0;
};

} // namespace Anvilyard::Peer
