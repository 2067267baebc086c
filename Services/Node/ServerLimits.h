#pragma once

#include "LibServing/ServerDirectory.h"
#include "LibServing/ServerLimitTable.h"

namespace Anvilyard::Node {

/// Feeds a ServerLimitTable with the responses to this node and logs its changes.
class ServerLimits
{
public:
    void onResponse(Serving::ServerRecord const &server, Serving::StatedLimit const &stated, Instant sentAt);

    [[nodiscard]] bool isLimited(Serving::ServerRecord const &server) const;
    /// Number of servers that take a limited rate of requests.
    [[nodiscard]] std::size_t limitedServers() const;

private:
    Serving::ServerLimitTable table_{Serving::ServerLimitTableOptions{}};
};

} // namespace Anvilyard::Node
