#pragma once

#include "LibServing/PromptEvidence.h"
#include "LibServing/ServerDirectory.h"

#include <optional>
#include <vector>

namespace Anvilyard::Serving {

struct LossConfirmationOptions {
    /// A server that has crashed refuses connections for longer than this. One that takes a connection within this time did not crash.
    Duration minRestartTime = 1s;
    /// Interval of the probes of a server that neither takes nor refuses connections.
    Duration probeInterval = 500ms;
    /// After this time without a sign of the process's end the loss is put down to the connection. Registrations of crashed servers are
    /// removed within a few seconds.
    Duration retention = 15s;
    std::size_t maxLosses = 256;
};

/// A response whose connection ended before the server had answered the request.
struct UnconfirmedLoss {
    ServerRecord server;
    RequestSuspects suspects;
    Instant sentAt;
    Instant endedAt;
};

/// Finds out for which lost responses the server process has ended, as opposed to a broken connection or a response that was not sent. The
/// process has ended if its host refuses connections or the server's registration is replaced or removed. Performs no I/O.
class LossConfirmation
{
public:
    explicit LossConfirmation(LossConfirmationOptions options);

    void onLost(UnconfirmedLoss loss);
    /// The host of a server refused a connection. Returns the losses that are confirmed by this.
    [[nodiscard]] std::vector<UnconfirmedLoss> onRefused(ServerRecord const &server, Instant now);
    /// A server took a connection or responded to what was sent at this time.
    void onReached(ServerRecord const &server, Instant sentAt);
    /// Called with a server's current registration, if there is one. Returns the losses that are confirmed by this.
    [[nodiscard]] std::vector<UnconfirmedLoss> onRegistration(ServerId const &id, std::optional<std::int64_t> startedAt);
    void onRequestAnswered(RequestSuspects const &suspects);

    /// Returns the servers that have to be probed now.
    [[nodiscard]] std::vector<ServerRecord> takeProbes(Instant now);
    /// Server processes whose end is not confirmed, with the requests that were lost there.
    [[nodiscard]] std::vector<UnconfirmedLoss> const &pending() const;

private:
    struct EndedProcess {
        std::int64_t startedAt = 0;
        Instant endedAt;
    };

    struct Probe {
        ServerRecord server;
        Instant dueAt;
    };

    /// Whether the request was sent after the end of the process in its registration, so that a newer process ran it.
    [[nodiscard]] bool isOfSuccessor(UnconfirmedLoss const &loss) const;

    LossConfirmationOptions options_;
    std::vector<UnconfirmedLoss> pending_;
    std::map<ServerId, Probe> probes_;
    /// The last process of a server that is known to have ended.
    std::map<ServerId, EndedProcess> ended_;
};

} // namespace Anvilyard::Serving
