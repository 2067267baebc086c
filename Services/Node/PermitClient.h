#pragma once

#include "LibHttp/HttpServer.h"
#include "LibServing/PermitIssuer.h"
#include "Services/Node/NodeContext.h"
#include "Services/Node/NodeMetrics.h"

#include <functional>
#include <map>

namespace Anvilyard::Node {

/// Requests the permits that each request to a limited server needs, and issues those for the servers that are this instance's. If the
/// instance that issues them does not respond, this one uses its share of the limit alone.
class PermitClient
{
public:
    using Callback = std::function<void(bool isGranted)>;

    PermitClient(NodeContext &context, NodeMetrics &metrics);

    /// Calls back at once if the server has no limit, or if no permit is to be had now.
    void request(Serving::ServerRecord const &server, Serving::Urgency urgency, Callback onDone);
    /// Returns whether the request was a call for a permit.
    bool handle(Http::HttpRequest const &request, std::shared_ptr<Http::ResponseWriter> const &writer);

private:
    [[nodiscard]] Serving::Permit issue(Serving::ServerLimit const &limit, Serving::Urgency urgency, Instant now);
    [[nodiscard]] Serving::Permit takeFromOwnShare(Serving::ServerLimit const &limit, Serving::Urgency urgency, Instant now);
    void requestFrom(
        InstanceId const &issuer, Address const &address, Serving::ServerLimit const &limit, Serving::Urgency urgency, Callback onDone);
    void finish(Serving::ServerProcess const &server, Serving::Urgency urgency, Serving::Permit const &permit, Callback const &onDone);

    NodeContext &context_;
    NodeMetrics &metrics_;
    Serving::PermitIssuer issuer_;
    /// Permits of this instance alone, for servers whose issuers do not respond.
    Serving::PermitIssuer ownShare_;
    /// Instances that did not respond, until when they are not asked again.
    std::map<InstanceId, Instant> silentUntil_;
};

} // namespace Anvilyard::Node
