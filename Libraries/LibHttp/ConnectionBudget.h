#pragma once

#include "LibHttp/EventLoop.h"
#include "LibHttp/MemoryBudget.h"

#include <functional>
#include <memory>

namespace Anvilyard::Http {

/// Why a connection has to end, or to hold less.
enum class ReleaseReason {
    /// The connections hold more memory than they may.
    MemoryShort,
    /// A new connection takes its place.
    ConnectionsFull,
    /// The same, but it is enough that the handler drops what it keeps of a response.
    KeptResponse,
};

/// Applies one MemoryBudget to the connections of all servers of an event loop. All calls are made on the loop's thread.
class ConnectionBudget : public std::enable_shared_from_this<ConnectionBudget>
{
public:
    using ReleaseHandler = std::function<void(ReleaseReason)>;

    static std::shared_ptr<ConnectionBudget> create(EventLoop &loop, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
    ConnectionBudget(EventLoop &loop, std::size_t maxBytes);

    /// `onRelease` is called from the loop when the connection has to end, or to hold less.
    MemoryHolderId add(ReleaseHandler onRelease);
    void remove(MemoryHolderId id);
    void update(MemoryHolderId id, MemoryPhase phase, std::size_t bytes, std::size_t keptBytes = 0);
    void onMoved(MemoryHolderId id, std::size_t bytes);
    /// Ends the connection that a new one may replace. Returns whether there was one.
    bool replaceOne();
    [[nodiscard]] MemoryBudget const &memory() const;

private:
    void release(MemoryHolderId id, ReleaseReason reason);
    void enforce();

    EventLoop &loop_;
    MemoryBudget memory_;
    std::map<MemoryHolderId, ReleaseHandler> handlers_;
    bool isEnforcing_ = false;
};

} // namespace Anvilyard::Http
