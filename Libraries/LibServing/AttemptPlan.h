#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibRouting/RetryPolicy.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Anvilyard::Serving {

struct AttemptPlanOptions {
    Routing::Repeatability repeatability = Routing::Repeatability::Unsafe;
    /// Maximum number of servers at which the request may run.
    std::uint32_t maxServers = 1;
    Duration latencyTarget = 1s;
    /// Earlier of the caller's and the route's deadline.
    Instant deadline;
};

/// Maximum number of sends of one request, including those that servers shed without running it.
constexpr std::size_t MaxSends = 5;
/// A request with less time left than this is not sent again.
constexpr Duration MinTimeForSend = 30ms;
/// Delay before a stream that no server takes is sent again. It doubles each time.
constexpr Duration FirstResumeDelay = 50ms;
constexpr Duration MaxResumeDelay = 400ms;
/// Share of the latency target after which a send to an unresponsive server with free slots is abandoned for another server. The
/// remaining time suffices for a second attempt within the target.
constexpr double ResponseTimeoutShareWithFreeSlot = 0.6;
/// Timeout of a send, in multiples of the latency target, if the request may have to wait for a slot.
constexpr double ResponseTimeoutTargetsWithoutFreeSlot = 3;

/// Why no further send follows.
enum class GiveUpReason {
    None,
    /// Another run could do harm, or the end was the server's own response.
    NotRepeatable,
    Deadline,
    TooManySends,
    /// The request ran, or may have, at as many servers as its route allows.
    TooManyServers,
};

[[nodiscard]] char const *nameOf(GiveUpReason reason);

/// Plans the sends of one request of a caller. Handles servers that crash, stop responding, shed load or lose responses, without
/// running a request at more servers than its route allows. Performs no I/O.
class AttemptPlan
{
public:
    explicit AttemptPlan(AttemptPlanOptions options);

    void onSent(ServerId const &server);
    /// Returns the next step after a send to the server ended without a complete response.
    Routing::NextStep onEnded(ServerId const &server, Routing::AttemptEnd const &end, Instant now);

    /// Why the last step was not to send again.
    [[nodiscard]] GiveUpReason giveUpReason() const;
    /// When to send a stream again of which the caller has a part and that no server took; `std::nullopt` if it has to be broken off. All
    /// servers may be asked again, each time with one send.
    std::optional<Instant> resumeLater(Instant now);
    /// Timeout for the response head of a server, or for its first event.
    [[nodiscard]] Duration responseTimeout(bool serverHasFreeSlot, Instant now) const;
    /// Servers excluded from the next send.
    [[nodiscard]] std::vector<ServerId> excluded() const;
    /// Servers at which a stream has to be resumed if no further server may run it, the preferred one first; empty if another server may.
    [[nodiscard]] std::vector<ServerId> onlyServers() const;
    /// Whether the request may have run, or may still be running, at any server.
    [[nodiscard]] bool mayHaveRun() const;
    /// Whether one more server may run the request.
    [[nodiscard]] bool mayUseAnotherServer() const;
    /// What is left after the next send if its server fails the request.
    [[nodiscard]] Routing::SendsLeft sendsLeft() const;
    /// Whether another server may run the request after `current`, which runs it now.
    [[nodiscard]] bool mayMoveFrom(ServerId const &current) const;

private:
    void recordEnd(ServerId const &server, Http::RunState state);
    [[nodiscard]] bool mayHaveRunAt(ServerId const &server) const;

    AttemptPlanOptions options_;
    std::size_t sends_ = 0;
    std::set<ServerId> tried_;
    /// The one at which the request is resumed first comes first.
    std::vector<ServerId> possibleRunServers_;
    bool usedFreshConnection_ = false;
    Duration resumeDelay_ = FirstResumeDelay;
    GiveUpReason giveUpReason_ = GiveUpReason::None;
};

} // namespace Anvilyard::Serving
