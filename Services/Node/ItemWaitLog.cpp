#include "Services/Node/ItemWaitLog.h"

#include "LibObserve/Events.h"

#include <algorithm>
#include <span>

namespace Anvilyard::Node {

namespace {

/// Counting the items of all jobs in each tick would cost more than the line is worth.
constexpr Duration WaitCheckInterval = 1s;

std::string toMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

ItemWaitLog::ItemWaitLog(NodeContext const &context, Jobs::JobTracker const &jobs, Jobs::ItemPlacement const &placement)
    : context_(context)
    , jobs_(jobs)
    , placement_(placement)
    , stalls_(Jobs::StallDetectorOptions{})
    , waits_(Jobs::JobWaitDetectorOptions{})
{
}

void ItemWaitLog::onStarted(PoolName const &pool, Instant now)
{
    stalls_.onStarted(pool, now);
}

Duration ItemWaitLog::longestStall(Instant now) const
{
    return stalls_.longest(now);
}

void ItemWaitLog::onTick(PoolServers const &servers, std::function<std::vector<JobId>()> const &unreadJobs, Instant now)
{
    logStalls(servers, now);
    if (now < nextWaitCheckAt_)
        return;
    nextWaitCheckAt_ = now + WaitCheckInterval;
    logWaits(servers, unreadJobs(), now);
}

void ItemWaitLog::logStalls(PoolServers const &poolServers, Instant now)
{
    for (auto const &[pool, waiting, lasting] : stalls_.onTick(jobs_.waitingByPool(), now)) {
        std::size_t assigned = 0;
        std::size_t accepting = 0;
        std::uint32_t slots = 0;
        std::uint32_t online = 0;
        std::uint32_t batch = 0;
        auto const known = poolServers.find(pool);
        auto const servers = known == poolServers.end() ? std::span<Jobs::PoolServer const>{} : std::span(known->second);
        for (auto const &server : servers) {
            assigned += server.isAssigned ? 1 : 0;
            if (!server.isAssigned || !server.acceptsNew)
                continue;
            ++accepting;
            auto const own = context_.load.at(server.id);
            auto const others = context_.peers.othersAt(server.id);
            slots += server.slots;
            online += own.online + others.online;
            batch += own.batch + others.batch;
        }
        Observe::log(Observe::Events::NodeItemsStalled,
                     {{"pool", pool.value()},
                      {"waiting", std::to_string(waiting)},
                      {"lasting_ms", toMilliseconds(lasting)},
                      {"runners", std::to_string(context_.peers.runners().size())},
                      {"servers", std::to_string(servers.size())},
                      {"assigned", std::to_string(assigned)},
                      {"accepting", std::to_string(accepting)},
                      {"slots", std::to_string(slots)},
                      {"online", std::to_string(online)},
                      {"batch", std::to_string(batch)}});
    }
}

void ItemWaitLog::logWaits(PoolServers const &poolServers, std::vector<JobId> const &unreadJobs, Instant now)
{
    std::map<JobId, Jobs::JobWait> waitOf;
    std::vector<Jobs::JobWaitDetector::Progress> progress;
    for (auto &wait : jobs_.waits(now)) {
        progress.push_back({.job = wait.job, .isWaiting = wait.waiting > 0, .starts = wait.starts});
        waitOf.emplace(wait.job, std::move(wait));
    }
    for (auto const &job : unreadJobs)
        progress.push_back({.job = job, .isWaiting = true});
    std::map<PoolName, std::size_t> withRoomIn;
    for (auto const &[job, lasting] : waits_.onTick(progress, now)) {
        auto const found = waitOf.find(job);
        auto const wait = found == waitOf.end() ? Jobs::JobWait{.job = job} : found->second;
        auto const pool = poolServers.find(wait.pool);
        auto const servers = pool == poolServers.end() ? std::span<Jobs::PoolServer const>{} : std::span(pool->second);
        auto const accepting = static_cast<std::size_t>(
            std::count_if(servers.begin(), servers.end(), [](Jobs::PoolServer const &server) { return server.acceptsNew; }));
        auto const [withRoom, isNew] = withRoomIn.try_emplace(wait.pool);
        if (isNew)
            withRoom->second = placement_.serversWithRoom(servers, context_.load, context_.peers);
        Observe::log(Observe::Events::NodeJobWaiting,
                     {{"job", job.value()},
                      {"reason", reasonFor(wait, accepting, withRoom->second)},
                      {"lasting_ms", toMilliseconds(lasting)},
                      {"pool", wait.pool.value()},
                      {"waiting", std::to_string(wait.waiting)},
                      {"held_back", std::to_string(wait.heldBack)},
                      {"paused", std::to_string(wait.paused)},
                      {"servers", std::to_string(servers.size())},
                      {"accepting", std::to_string(accepting)},
                      {"with_room", std::to_string(withRoom->second)}});
    }
}

std::string ItemWaitLog::reasonFor(Jobs::JobWait const &wait, std::size_t accepting, std::size_t withRoom) const
{
    if (!jobs_.contains(wait.job))
        return "not-read-from-store";
    if (!wait.isRouted)
        return "route-missing";
    if (wait.heldBack == wait.waiting)
        return "in-quarantine";
    if (wait.heldBack + wait.paused == wait.waiting)
        return "paused-after-failure";
    if (accepting == 0)
        return "no-server";
    if (wait.heldBack + wait.paused + wait.careful == wait.waiting)
        return "no-server-proven";
    return withRoom == 0 ? "no-server-with-room" : "other-items-first";
}

} // namespace Anvilyard::Node
