#pragma once

#include "LibPlatform/InstanceList.h"

#include <string>
#include <string_view>
#include <vector>

namespace Anvilyard::Platform {

inline constexpr std::string_view EndpointSlicesPath = "/apis/discovery.k8s.io/v1/endpointslices";

/// Decodes an EndpointSliceList and joins the slices of each service. Fails if any endpoint is malformed, since an incomplete
/// list would look as if servers had left.
Result<std::vector<EndpointSet>> decodeEndpointSlices(std::string_view text);
/// Encodes an EndpointSliceList with one slice for each service, port and address type.
std::string encodeEndpointSlices(std::vector<EndpointSet> const &sets);

} // namespace Anvilyard::Platform
