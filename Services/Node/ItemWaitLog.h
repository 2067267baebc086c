#pragma once

#include "LibJobs/ItemPlacement.h"
#include "LibJobs/JobTracker.h"
#include "LibJobs/JobWaitDetector.h"
#include "LibJobs/StallDetector.h"
#include "Services/Node/NodeContext.h"

#include <functional>
#include <map>
#include <vector>

namespace Anvilyard::Node {

/// Logs items of a runner that wait without being started, with what they wait for.
class ItemWaitLog
{
public:
    using PoolServers = std::map<PoolName, std::vector<Jobs::PoolServer>>;

    ItemWaitLog(NodeContext const &context, Jobs::JobTracker const &jobs, Jobs::ItemPlacement const &placement);

    void onStarted(PoolName const &pool, Instant now);
    /// `unreadJobs` returns the jobs that this runner owns and has not read from the store yet.
    void onTick(PoolServers const &servers, std::function<std::vector<JobId>()> const &unreadJobs, Instant now);
    /// The longest time for which items of a pool have waited with none started.
    [[nodiscard]] Duration longestStall(Instant now) const;

private:
    void logStalls(PoolServers const &servers, Instant now);
    void logWaits(PoolServers const &servers, std::vector<JobId> const &unreadJobs, Instant now);
    [[nodiscard]] std::string reasonFor(Jobs::JobWait const &wait, std::size_t accepting, std::size_t withRoom) const;

    NodeContext const &context_;
    Jobs::JobTracker const &jobs_;
    Jobs::ItemPlacement const &placement_;
    Jobs::StallDetector stalls_;
    Jobs::JobWaitDetector waits_;
    Instant nextWaitCheckAt_ = Instant::min();
};

} // namespace Anvilyard::Node
