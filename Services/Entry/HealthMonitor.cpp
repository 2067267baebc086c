#include "Services/Entry/HealthMonitor.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Entry {

HealthMonitor::HealthMonitor(HealthMonitorOptions options)
    : options_(std::move(options))
    , health_({}, seedFromSystem())
    , self_(std::make_shared<HealthMonitor *>(this))
{
}

void HealthMonitor::setServers(std::vector<Fleet::BackendServer> const &servers)
{
    std::map<ServerId, PoolName> pools;
    addresses_.clear();
    for (auto const &server : servers) {
        pools.emplace(server.id, server.pool);
        addresses_.emplace(server.id, server.address);
    }
    health_.setServers(pools);
}

void HealthMonitor::onEvidence(ServerId const &server, Routing::ServerEvidence evidence)
{
    performAction(health_.onEvidence(server, evidence, readLocalClock()));
}

void HealthMonitor::onProbe(ServerId const &server, Routing::ProbeOutcome outcome)
{
    performAction(health_.onProbe(server, outcome, readLocalClock()));
}

std::set<ServerId> HealthMonitor::ejected() const
{
    return health_.ejected();
}

void HealthMonitor::performAction(std::vector<Routing::HealthAction> const &actions)
{
    for (auto const &action : actions)
        std::visit([this](auto const &alternative) { performAction(alternative); }, action);
    scheduleTick();
}

void HealthMonitor::performAction(Routing::ServerEjected const &action)
{
    Observe::log(Observe::Events::EntryServerEjected, {{"server", action.server.value()}});
    options_.onChange();
}

void HealthMonitor::performAction(Routing::ServerRestored const &action)
{
    Observe::log(Observe::Events::EntryServerRestored, {{"server", action.server.value()}});
    options_.onChange();
}

void HealthMonitor::performAction(Routing::ProbeServer const &action)
{
    options_.probe(action.server, addresses_.at(action.server));
}

void HealthMonitor::scheduleTick()
{
    auto const next = health_.nextTick();
    if (!next || (tickAt_ && *tickAt_ <= *next))
        return;
    tickAt_ = next;
    options_.control.postAt(*next, [weak = std::weak_ptr(self_)] {
        auto const self = weak.lock();
        if (!self)
            return;
        (*self)->tickAt_.reset();
        (*self)->performAction((*self)->health_.onTick(readLocalClock()));
    });
}

} // namespace Anvilyard::Entry
