#pragma once

#include "LibHttp/ListenProbe.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/PermitClient.h"

namespace Anvilyard::Node {

/// Executes the actions of ServerHealth: probes ejected servers and reports the outcomes back.
class HealthProber
{
public:
    HealthProber(NodeContext &context, PermitClient &permits, std::function<void()> onEjectionsChanged);

    void onEvidence(ServerId const &server, Routing::ServerEvidence evidence);
    /// Records the end of a response with this status to a request, or a part of a successful one.
    void onResponse(ServerId const &server, int status, Instant sentAt);
    /// Records that a new connection to the server failed. If others failed as well, it is checked whether the servers are out of reach.
    void onConnectFailed(ServerId const &server);
    void onTick(Instant now);
    /// Finds out whether responses of the server arrive here. `onChecked` is not called if it is being found out already.
    void checkResponds(Serving::ServerRecord const &server, std::function<void(Routing::ProbeOutcome)> onChecked);
    /// Finds out whether the servers at which responses were lost have crashed.
    void probeLostServers(Instant now);

private:
    void perform(std::vector<Routing::HealthAction> const &actions);
    void probe(ServerId const &server);
    void probe(Serving::ServerRecord const &server, std::function<void(Routing::ProbeOutcome)> const &report);
    void checkReach(Instant now);
    void onReachChanged(PoolName const &pool);
    void sendProbe(Serving::ServerRecord const &server, std::string const &path, std::function<void(Routing::ProbeOutcome)> const &report);

    NodeContext &context_;
    PermitClient &permits_;
    std::function<void()> onEjectionsChanged_;
    std::map<ServerId, std::unique_ptr<Http::ListenProbe>> listenProbes_;
    std::map<ServerId, std::unique_ptr<Http::ListenProbe>> reachProbes_;
    /// Servers for which it is being found out whether their responses arrive.
    std::set<ServerId> responseChecks_;
};

} // namespace Anvilyard::Node
