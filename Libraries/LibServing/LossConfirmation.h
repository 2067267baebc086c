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
    /// Time from a refused connection until the path to the servers is checked. A path does not break for all servers at the same instant.
    Duration pathCheckDelay = 30ms;
    /// Time for which a path that was found sound is taken to be so.
    Duration pathRetention = 500ms;
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
/// process has ended if its host refuses connections, while others take them, or the server's registration is replaced or removed. An
/// instance that is cut off from the servers finds all of them refusing connections. Performs no I/O.
class LossConfirmation
{
public:
    explicit LossConfirmation(LossConfirmationOptions options);

    void onLost(UnconfirmedLoss loss);
    /// The host of a server refused a connection. Returns the losses that are confirmed by this: another server has taken a connection
    /// since an earlier refusal.
    [[nodiscard]] std::vector<UnconfirmedLoss> onRefused(ServerRecord const &server, Instant now);
    /// A server took a connection that was begun at this time.
    void onReached(ServerRecord const &server, Instant begunAt);
    /// There is no other server that could show whether the path to the servers is sound.
    void onPathUncheckable(Instant now);
    /// Called with a server's current registration, if there is one. Returns the losses that are confirmed by this.
    [[nodiscard]] std::vector<UnconfirmedLoss> onRegistration(ServerId const &id, std::optional<std::int64_t> startedAt);
    void onRequestAnswered(RequestSuspects const &suspects);

    /// Returns the servers that have to be probed now.
    [[nodiscard]] std::vector<ServerRecord> takeProbes(Instant now);
    /// Whether a connection to another server has to be tried now, to tell the end of a process from a broken path.
    [[nodiscard]] bool takePathCheck(Instant now);
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

    /// The first refused connection to a server process since the path was last in doubt.
    struct Refusal {
        std::int64_t startedAt = 0;
        Instant at;
        /// When another server was found to take connections after it.
        std::optional<Instant> pathSoundAt;
    };

    void setPathSound(Refusal &refusal, ServerId const &server, Instant at);
    /// Whether the request was sent after the end of the process in its registration, so that a newer process ran it.
    [[nodiscard]] bool isOfSuccessor(UnconfirmedLoss const &loss) const;

    LossConfirmationOptions options_;
    std::vector<UnconfirmedLoss> pending_;
    std::map<ServerId, Probe> probes_;
    std::map<ServerId, Refusal> refusals_;
    Instant nextPathCheckAt_ = Instant::min();
    /// The last process of a server that is known to have ended.
    std::map<ServerId, EndedProcess> ended_;
};

} // namespace Anvilyard::Serving
