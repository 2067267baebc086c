#pragma once

#include "LibHttp/HttpMessage.h"
#include "LibServing/PermitIssuer.h"

#include <optional>

namespace Anvilyard::Node {

/// Call to the instance that issues the permits for a server: whether one request may be sent there.
struct PeerPermitCall {
    /// The limit as the calling instance knows it. The issuer may not have heard of it.
    Serving::ServerLimit limit;
    Serving::Urgency urgency = Serving::Urgency::Highest;
};

bool isPeerPermitCall(Http::HttpRequest const &request);
Http::HttpRequest toRequest(PeerPermitCall const &call, Instant now);
/// Returns std::nullopt if the call cannot be read.
std::optional<PeerPermitCall> parsePeerPermitCall(Http::HttpRequest const &request, Instant now);
Http::HttpResponse toResponse(Serving::Permit const &permit);
/// Returns std::nullopt if the response does not state whether the permit is granted.
std::optional<Serving::Permit> parsePermit(Http::HttpResponse const &response);

} // namespace Anvilyard::Node
