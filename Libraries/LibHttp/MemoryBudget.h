#pragma once

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace Anvilyard::Http {

struct MemoryHolderTag;
using MemoryHolderId = StrongType<MemoryHolderTag, std::uint64_t>;

/// What a connection waits for, as far as it matters for the memory that it holds.
enum class MemoryPhase {
    /// The next request.
    Idle,
    /// Bytes of the caller's request.
    Reading,
    /// The handler of the request.
    Handling,
    /// The caller, which has to receive bytes of the response.
    Writing,
    /// The caller's end of the connection, after all of the response was sent.
    Draining,
};

/// What has to end so that the connections hold less memory.
struct MemoryRelease {
    MemoryHolderId id;
    enum class Part {
        Connection,
        /// Only the part of a response that the handler of the request keeps.
        KeptResponse,
    } part = Part::Connection;

    bool operator==(MemoryRelease const &) const = default;
};

/// Counts the bytes that the connections of a process hold, and decides which connections have to end when they are too many, or when there
/// are too many connections. The load pattern are crowds of callers that fill memory and then stall, or send or receive a few bytes now and
/// then, beside ordinary callers. A connection is stalled if it has not moved MinProgressBytes for a while; stalled ones end first, those
/// first whose bytes times their stall are the most. Then the handlers drop what they keep of responses, the largest first: a server that
/// sends without end makes them keep as much as they may, which is discarded in the end. A request that the handler has is ended only if
/// nothing else is left.
class MemoryBudget
{
public:
    /// Fewer bytes are no progress. A caller that sends a few bytes now and then would never stall otherwise.
    static constexpr std::size_t MinProgressBytes = 256;
    /// Ordinary callers on a lossy path pause for a retransmission, of 200 ms.
    static constexpr Duration MinStall = 250ms;
    /// A balancer sends its next request within this time on connections that it uses.
    static constexpr Duration MinIdle = 3s;

    explicit MemoryBudget(std::size_t maxBytes = std::numeric_limits<std::size_t>::max());

    MemoryHolderId add(Instant now);
    void remove(MemoryHolderId id);
    /// A change of phase counts as progress. `keptBytes`: those of the bytes that the handler of a request keeps of a response.
    void update(MemoryHolderId id, MemoryPhase phase, std::size_t bytes, Instant now, std::size_t keptBytes = 0);
    /// Bytes of the request arrived, or the caller has received bytes of the response.
    void onMoved(MemoryHolderId id, std::size_t bytes, Instant now);

    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t maxBytes() const;
    [[nodiscard]] bool isExceeded() const;
    /// Whether the handler may get a request that then holds so many bytes. A request that is alone may. What handlers keep of responses
    /// does not count, as they can drop it.
    [[nodiscard]] bool admits(std::size_t bytes) const;
    /// What to release so that the rest fits with some room; empty if the budget is not exceeded.
    [[nodiscard]] std::vector<MemoryRelease> releases(Instant now) const;
    /// The connection to end in favour of a new one; `std::nullopt` if none is stalled or idle.
    [[nodiscard]] std::optional<MemoryHolderId> holderToReplace(Instant now) const;

private:
    struct Holder {
        MemoryPhase phase = MemoryPhase::Idle;
        std::size_t bytes = 0;
        std::size_t keptBytes = 0;
        std::size_t movedBytes = 0;
        Instant progressAt;
    };

    std::size_t maxBytes_;
    std::size_t heldBytes_ = 0;
    std::size_t handledBytes_ = 0;
    std::uint64_t lastId_ = 0;
    std::map<MemoryHolderId, Holder> holders_;
};

} // namespace Anvilyard::Http
