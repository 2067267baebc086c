#pragma once

#include "LibHttp/HttpMessage.h"
#include "LibServing/DesiredState.h"
#include "LibServing/StreamOrigins.h"

#include <optional>
#include <string>

namespace Anvilyard::Node {

/// What an instance that passes an online request on to another one states beside the request. The other instance sends it to one server at
/// most, apart from those that state not to have run it, and does not pass it on again.
struct RelayTerms {
    /// Version of the sender's desired state. An older one must not decide on the request.
    Serving::StateVersion stateVersion{0};
    /// Empty if the receiver chooses the pool.
    PoolName pool;
    /// Software version at which a stream has to go on; unset if any may run the request.
    std::optional<Serving::SoftwareVersion> version = {};
    /// The sender has checked the caller's key, and the request states the customer instead. Earlier builds pass requests on unchecked.
    bool isAuthenticated = false;
};

void addRelayTerms(Http::HttpRequest &request, RelayTerms const &terms);
/// Removes the terms from a request; `std::nullopt` if it has none.
std::optional<RelayTerms> takeRelayTerms(Http::HttpRequest &request);

/// Returns the response of an instance that cannot take the request. The request has not run.
Http::HttpResponse relayRefusal(std::string reason);
/// Reason of a relayRefusal(); `std::nullopt` for any other response.
std::optional<std::string> readRelayRefusal(Http::Headers const &headers);

} // namespace Anvilyard::Node
