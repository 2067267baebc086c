#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibPlatform/ObjectStore.h"

#include <vector>

namespace Anvilyard::Platform {

/// State of an endpoint, derived from its EndpointSlice conditions.
enum class EndpointState {
    Ready,
    NotReady,
    /// The endpoint is leaving and only completes the requests that it already has.
    Terminating,
};

struct Endpoint {
    /// ServerId for pools, InstanceId for Anvilyard's own instances.
    std::string id;
    Address address;
    DataCentreId dataCentre;
    EndpointState state = EndpointState::Ready;
};

/// Endpoints of one service: the backend servers of a pool, or Anvilyard's own instances for the service "anvilyard".
struct EndpointSet {
    std::string service;
    std::vector<Endpoint> endpoints;
};

/// The platform's instance list. It lags behind the actual state.
class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual void fetch(Reply<std::vector<EndpointSet>> reply) = 0;
};

} // namespace Anvilyard::Platform
