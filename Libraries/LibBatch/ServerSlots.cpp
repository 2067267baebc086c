#include "LibBatch/ServerSlots.h"

#include <algorithm>

namespace Anvilyard::Batch {

void ServerSlots::setServers(std::vector<SlotServer> servers)
{
    // A server that no longer belongs to this process keeps its entry, without slots, until its items have ended.
    for (auto &[id, entry] : entries_) {
        entry.server.slots = 0;
        entry.server.services.clear();
    }
    for (auto &server : servers)
        entries_[server.id].server = std::move(server);
    std::erase_if(entries_, [](auto const &entry) { return entry.second.running == 0 && entry.second.server.services.empty(); });
}

std::optional<ServerId> ServerSlots::findFreeServer(ServiceName const &service, Instant now) const
{
    std::optional<ServerId> best;
    double bestLoad = 1;
    for (auto const &[id, entry] : entries_) {
        if (entry.running >= entry.server.slots || now < entry.pausedUntil || !entry.server.services.contains(service))
            continue;
        if (auto const load = static_cast<double>(entry.running) / entry.server.slots; load < bestLoad) {
            best = id;
            bestLoad = load;
        }
    }
    return best;
}

bool ServerSlots::hasFreeSlot(ServerId const &server, Instant now) const
{
    auto const found = entries_.find(server);
    return found != entries_.end() && now >= found->second.pausedUntil && found->second.running < found->second.server.slots;
}

void ServerSlots::acquire(ServerId const &server)
{
    ++entries_.at(server).running;
}

void ServerSlots::release(ServerId const &server)
{
    if (auto const found = entries_.find(server); found != entries_.end() && found->second.running > 0)
        --found->second.running;
}

void ServerSlots::pause(ServerId const &server, Instant until)
{
    if (auto const found = entries_.find(server); found != entries_.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
}

bool ServerSlots::isServed(ServiceName const &service) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](auto const &entry) {
        return entry.second.server.slots > 0 && entry.second.server.services.contains(service);
    });
}

std::uint32_t ServerSlots::freeSlots(Instant now) const
{
    std::uint32_t slots = 0;
    for (auto const &[id, entry] : entries_) {
        if (now >= entry.pausedUntil && entry.server.slots > entry.running)
            slots += entry.server.slots - entry.running;
    }
    return slots;
}

std::uint32_t ServerSlots::totalSlots() const
{
    std::uint32_t slots = 0;
    for (auto const &[id, entry] : entries_)
        slots += entry.server.slots;
    return slots;
}

std::uint32_t ServerSlots::excess(ServerId const &server) const
{
    auto const found = entries_.find(server);
    if (found == entries_.end() || found->second.running <= found->second.server.slots)
        return 0;
    return found->second.running - found->second.server.slots;
}

std::vector<ServerId> ServerSlots::overloadedServers() const
{
    std::vector<ServerId> servers;
    for (auto const &[id, entry] : entries_) {
        if (excess(id) > 0)
            servers.push_back(id);
    }
    return servers;
}

} // namespace Anvilyard::Batch
