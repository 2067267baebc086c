#pragma once

#include "LibServing/CustomerTable.h"
#include "LibServing/DesiredState.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Serving {

/// Finds the route of a request. Immutable; a new table is built for each desired state.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(DesiredState state);

    /// Returns the route of the host with the longest prefix of the path, or null. The pointer is valid as long as the table. A port
    /// in the host and the case of its letters are ignored.
    [[nodiscard]] Route const *find(std::string_view host, std::string_view path) const;
    /// Returns the batch route of the host with the longest prefix, or null.
    [[nodiscard]] Route const *findBatchRoute(std::string_view host) const;
    [[nodiscard]] DesiredState const &state() const;
    /// Returns the customers, or null if requests need no key.
    [[nodiscard]] CustomerTable const *customers() const;

private:
    DesiredState state_;
    std::optional<CustomerTable> customers_;
    /// Indices into state_.routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> byHost_;
};

/// Returns the pool of a request, chosen by weight. Equal request ids get the same pool.
PoolName const &poolFor(Route const &route, RequestId const &request);

} // namespace Anvilyard::Serving
