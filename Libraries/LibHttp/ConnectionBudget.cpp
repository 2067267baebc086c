#include "LibHttp/ConnectionBudget.h"

namespace Anvilyard::Http {

std::shared_ptr<ConnectionBudget> ConnectionBudget::create(EventLoop &loop, std::size_t maxBytes)
{
    return std::make_shared<ConnectionBudget>(loop, maxBytes);
}

ConnectionBudget::ConnectionBudget(EventLoop &loop, std::size_t maxBytes)
    : loop_(loop)
    , memory_(maxBytes)
{
}

MemoryHolderId ConnectionBudget::add(ReleaseHandler onRelease)
{
    auto const id = memory_.add(readLocalClock());
    handlers_.emplace(id, std::move(onRelease));
    return id;
}

void ConnectionBudget::remove(MemoryHolderId id)
{
    memory_.remove(id);
    handlers_.erase(id);
}

void ConnectionBudget::update(MemoryHolderId id, MemoryPhase phase, std::size_t bytes, std::size_t keptBytes)
{
    memory_.update(id, phase, bytes, readLocalClock(), keptBytes);
    if (!memory_.isExceeded() || std::exchange(isEnforcing_, true))
        return;
    // A connection must not end within its own call.
    loop_.post([weak = weak_from_this()] {
        if (auto const self = weak.lock())
            self->enforce();
    });
}

void ConnectionBudget::onMoved(MemoryHolderId id, std::size_t bytes)
{
    memory_.onMoved(id, bytes, readLocalClock());
}

bool ConnectionBudget::replaceOne()
{
    auto const id = memory_.holderToReplace(readLocalClock());
    if (id)
        release(*id, ReleaseReason::ConnectionsFull);
    return id.has_value();
}

MemoryBudget const &ConnectionBudget::memory() const
{
    return memory_;
}

void ConnectionBudget::enforce()
{
    isEnforcing_ = false;
    for (auto const &[id, part] : memory_.releases(readLocalClock()))
        release(id, part == MemoryRelease::Part::KeptResponse ? ReleaseReason::KeptResponse : ReleaseReason::MemoryShort);
}

void ConnectionBudget::release(MemoryHolderId id, ReleaseReason reason)
{
    // A copy is called, because a connection that ends removes its handler.
    if (auto const found = handlers_.find(id); found != handlers_.end())
        ReleaseHandler(found->second)(reason);
}

} // namespace Anvilyard::Http
