#pragma once

#include "LibServing/ServerAllowances.h"

#include <span>

namespace Anvilyard::Node {

/// Feeds ServerAllowances with the responses to this node and the limits that its peers know, and logs the changes.
class ServerLimits
{
public:
    void onResponse(Serving::ServerRecord const &server, Serving::StatedLimit const &stated, Instant sentAt);

    /// Adds limits that another instance knows.
    void merge(std::span<Serving::ServerLimit const> limits, Instant now);
    void onDenied(Serving::ServerProcess const &server, Serving::Urgency urgency, Instant until);

    [[nodiscard]] Serving::ServerAllowances const &allowances() const;
    [[nodiscard]] bool isLimited(Serving::ServerRecord const &server) const;
    /// Number of servers that take a limited rate of requests.
    [[nodiscard]] std::size_t limitedServers() const;

private:
    Serving::ServerAllowances allowances_;
};

} // namespace Anvilyard::Node
