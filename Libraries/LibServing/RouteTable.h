#pragma once

#include "LibServing/DesiredState.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Serving {

/// Finds the route of a request. Immutable; made anew for each desired state.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(DesiredState state);

    /// The route of the host whose prefix is the longest that begins the path, or nothing. Valid as long as the table. The host
    /// may carry a port, which is ignored, as is the case of its letters.
    [[nodiscard]] Route const *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] DesiredState const &state() const;

private:
    DesiredState state_;
    /// Positions in state_.routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_;
};

/// The pool of a request: by weight, and the same for the same request id.
PoolName const &poolFor(Route const &route, RequestId const &request);

} // namespace Anvilyard::Serving
