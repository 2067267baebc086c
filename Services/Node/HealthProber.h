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
    void onTick(Instant now);
    /// Finds out whether the servers at which responses were lost have crashed.
    void probeLostServers(Instant now);

private:
    void perform(std::vector<Routing::HealthAction> const &actions);
    void probe(ServerId const &server);
    void sendProbe(Serving::ServerRecord const &server, std::string const &path, std::function<void(Routing::ProbeOutcome)> const &report);

    NodeContext &context_;
    PermitClient &permits_;
    std::function<void()> onEjectionsChanged_;
    std::map<ServerId, std::unique_ptr<Http::ListenProbe>> listenProbes_;
};

} // namespace Anvilyard::Node
