#include "LibServing/ResumePlacement.h"

namespace Anvilyard::Serving {

std::optional<ServerRecord> findResumeServer(ServerDirectory const &directory, ResumeRequest const &request, Instant now)
{
    std::optional<ServerRecord> other;
    for (auto const &id : request.candidates) {
        auto const server = directory.find(id, now);
        if (!server || !request.acceptsVersion(server->record.softwareVersion))
            continue;
        if (server->use == ServerUse::Usable && !request.ejected.contains(id))
            return server->record;
        if (!other)
            other = server->record;
    }
    return other;
}

} // namespace Anvilyard::Serving
