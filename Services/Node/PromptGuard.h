#pragma once

#include "LibServing/LossConfirmation.h"
#include "LibServing/PromptQuarantine.h"

namespace Anvilyard::Node {

/// Feeds a PromptQuarantine with the ends of this node's attempts and the evidence of its peers, and logs its decisions.
class PromptGuard
{
public:
    struct RefusalReason {
        Serving::Suspect suspect;
        /// Time for which such requests are refused.
        Duration time;
    };

    explicit PromptGuard(Serving::PromptQuarantineOptions options);

    /// Records that such a request is about to be sent to a server, if a connection can be made.
    void onPlaced(Serving::RequestSuspects const &suspects);
    /// Records that such a request is sent to a server. Returns the time of the trial if it is one after the end of a quarantine.
    std::optional<WallInstant> onSent(Serving::RequestSuspects const &suspects);
    /// The same for a request whose trial was reserved in the store at this time. Returns `std::nullopt` if it must not be sent any more.
    std::optional<WallInstant> onReserved(Serving::RequestSuspects const &suspects, WallInstant reservedAt);
    /// Records what became of the trial that counts from this time.
    void onTrialEnded(Serving::RequestSuspects const &suspects, WallInstant trialAt, Serving::TrialOutcome outcome);
    /// Whether a request that is sent now is a trial after the end of a quarantine.
    [[nodiscard]] bool isTrial(Serving::RequestSuspects const &suspects) const;
    /// Records that a server generates an answer to such a request.
    void onAnswered(Serving::RequestSuspects const &suspects);
    /// Records that the connection to a server ended after the request was sent and before it was answered.
    void onLost(Serving::ServerRecord const &server, Serving::RequestSuspects suspects, Instant sentAt);
    /// Records that the server's host refused a connection.
    void onRefused(Serving::ServerRecord const &server);
    /// Records that the server took a connection or responded to what was sent at this time.
    void onReached(Serving::ServerRecord const &server, Instant sentAt);
    void merge(Serving::PromptEvidence const &evidence);
    /// Whether the server process is known to have ended while it ran a request.
    [[nodiscard]] bool hasEnded(Serving::ServerProcess const &server) const;
    /// Whether servers were lost with one of the suspects, so that each further send may cost one.
    [[nodiscard]] bool isSuspected(Serving::RequestSuspects const &suspects) const;
    /// Compares the servers at which responses were lost with their registrations.
    void onTick(Serving::ServerDirectory const &directory, Instant now);
    /// Returns the servers for which it has to be found out whether their processes have ended.
    [[nodiscard]] std::vector<Serving::ServerRecord> takeProbes(Instant now);

    /// Returns why such requests are refused; `std::nullopt` if they may be sent.
    [[nodiscard]] std::optional<RefusalReason> refusalReason(Serving::RequestSuspects const &suspects) const;
    [[nodiscard]] std::size_t quarantinedParts() const;
    [[nodiscard]] std::size_t quarantinedRequests() const;
    [[nodiscard]] Serving::PromptQuarantine const &quarantine() const;
    /// Increases with each change of the evidence that began here while something was in quarantine.
    [[nodiscard]] std::uint64_t ownChanges() const;

private:
    /// Logs and counts what a send, or a trial that is given back, has changed. Returns the time of the trial if one is sent. `version`: of
    /// the evidence before it.
    [[nodiscard]] std::optional<WallInstant>
    recordTrial(std::optional<Serving::Suspect> const &tried, std::uint64_t version, WallInstant at);
    /// Counts a change that began here. `version`: of the evidence before it.
    void countChange(std::uint64_t version);
    /// Whether the confirmation of a server's crash is awaited that would put the suspect in quarantine.
    [[nodiscard]] bool awaitsConfirmation(Serving::Suspect const &suspect, WallInstant now) const;
    void record(std::vector<Serving::UnconfirmedLoss> const &confirmed);
    static void logTrialNotRun(Serving::RequestSuspects const &suspects, Serving::TrialOutcome outcome);
    void logChanges(WallInstant now);

    Serving::PromptQuarantineOptions options_;
    Serving::PromptQuarantine quarantine_;
    Serving::LossConfirmation confirmation_;
    std::map<Serving::Suspect, WallInstant> logged_;
    std::uint64_t ownChanges_ = 0;
};

} // namespace Anvilyard::Node
