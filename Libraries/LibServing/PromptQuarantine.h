#pragma once

#include "LibServing/PromptEvidence.h"

#include <functional>
#include <optional>
#include <set>
#include <span>

namespace Anvilyard::Serving {

struct PromptQuarantineOptions {
    /// Number of server processes that have to be lost with a suspect before requests with it are refused.
    std::size_t serversToQuarantine = 3;
    /// A suspect that was answered is not blamed for what is lost before this time after the answer. A popular part is in most of the
    /// prompts that run at a server which crashes because of another one.
    Duration answeredRetention = 30s;
    /// Time in which losses are counted together, and for which they are kept after the end of a quarantine.
    Duration evidenceRetention = 5min;
    /// Time from the last lost response, or the last trial, for which requests with a suspect are refused. Then one is sent as a trial.
    Duration quarantineTime = 10s;
    /// The same for a part while fewer than serversToQuarantine of its losses are independent, as servers that fail together, such as those
    /// of one rack, look like servers that were crashed by what they ran; and for suspects whose losses another one explains as well.
    Duration suspicionTime = 3s;
    /// Time in which a trial that is about to be sent reaches its server, or a connection to the server fails.
    Duration trialSendTime = 500ms;
    /// Time for which the trial of one suspect waits for the outcome of another's, as a server that is lost with both shows nothing.
    Duration trialSeparation = 500ms;
    /// Factor by which the time grows with each trial that is not answered, as each may cost a server.
    std::int64_t quarantineGrowth = 6;
    Duration maxQuarantineTime = 1h;
    /// Share of the quarantine time over which the instances spread the end of a quarantine. The first to send such a request finds out for
    /// all whether it still crashes servers.
    double expirySpread = 0;
    /// Position of this instance in that time.
    std::uint64_t instanceHash = 0;
    /// Bounds the size of the evidence that instances exchange.
    std::size_t maxLostResponses = 128;
    /// Bounds the evidence from one server with many requests.
    std::size_t maxLostResponsesPerServer = 16;
    /// Bounds the memory for the trials of a suspect. The quarantine has reached its longest time by then.
    std::size_t maxTrials = 8;
    /// Bounds the memory for parts that were answered.
    std::size_t maxAnsweredParts = 8192;
};

/// Finds requests, and parts of prompts, that crash the servers which run them, so that they are refused.
///
/// Load pattern: a request, or requests that share one part, arrive at any instance, and each server that begins to run one of them
/// crashes, with all other requests that it runs. Those are sent again, too, and may be lost with further servers. Sent again and again,
/// such requests end all servers of a pool within seconds. The cause is the suspect that all lost responses have in common and that has not
/// been answered.
///
/// Instances exchange their evidence and come to the same conclusions. Performs no I/O.
class PromptQuarantine
{
public:
    struct Match {
        Suspect suspect;
        WallInstant until;
    };

    explicit PromptQuarantine(PromptQuarantineOptions options);

    /// Records that a server generates an answer to a request.
    void onAnswered(RequestSuspects const &suspects, WallInstant now);
    void onAnswered(std::span<PromptPartId const> parts, WallInstant now);
    /// Records that a server process ended before it had answered a request. Returns whether this is new evidence.
    bool onLost(ServerProcess const &server, RequestSuspects const &suspects, std::chrono::milliseconds runTime, WallInstant now);
    bool onLost(ServerProcess const &server, std::span<PromptPartId const> parts, WallInstant now);
    /// Records that a request is about to be sent to a server, if a connection can be made. Others with the suspect wait for it if it is a
    /// trial after the end of a quarantine.
    void onPlaced(RequestSuspects const &suspects, WallInstant now);
    /// Records that a request is sent to a server. Returns the suspect if it is a trial after the end of a quarantine. A trial counts for
    /// all instances from when it is sent, as its outcome may never be seen: its sender may end it, or end itself.
    std::optional<Suspect> onSent(RequestSuspects const &suspects, WallInstant now);
    /// Records that a request is sent whose trial was reserved in the store at this time, where others have read it. Returns the suspect.
    /// If other evidence holds the request meanwhile, the trial is given back, and `std::nullopt` is returned.
    std::optional<Suspect> onReserved(RequestSuspects const &suspects, WallInstant reservedAt, WallInstant now);
    /// Records what became of the trial that counts from this time. After one that was not sent, or not run, another one may follow at
    /// once. One that was not run has reached a server all the same, so only the first such trial of a quarantine does not count.
    void onTrialEnded(RequestSuspects const &suspects, WallInstant trialAt, TrialOutcome outcome);
    /// Merges the evidence of another instance. Returns whether any of it is new.
    bool merge(PromptEvidence const &evidence, WallInstant now);

    /// Returns the suspect for which a request has to be refused, if there is one.
    [[nodiscard]] std::optional<Match> find(RequestSuspects const &suspects, WallInstant now) const;
    [[nodiscard]] std::optional<Match> find(std::span<PromptPartId const> parts, WallInstant now) const;
    /// Whether a request that is sent now is a trial after the end of a quarantine.
    [[nodiscard]] bool isTrial(RequestSuspects const &suspects, WallInstant now) const;
    /// All suspects in quarantine, with the time of its end.
    [[nodiscard]] std::map<Suspect, WallInstant> quarantined(WallInstant now) const;
    /// Server processes that were lost with the suspect and for which no other suspect is in quarantine.
    [[nodiscard]] std::set<ServerProcess> unexplainedServers(Suspect const &suspect) const;
    /// Whether servers were lost with one of the suspects that has not been answered since, so that each further send may cost one.
    [[nodiscard]] bool isSuspected(RequestSuspects const &suspects) const;
    /// Whether a response was lost with the end of the server process.
    [[nodiscard]] bool hasEnded(ServerProcess const &server) const;
    /// Whether an answer shows that the suspect is not to blame for a loss at this time.
    [[nodiscard]] bool isExcluded(Suspect const &suspect, WallInstant lostAt) const;
    /// What other instances need to know, first what holds the quarantines; empty if there is nothing.
    [[nodiscard]] PromptEvidence evidence() const;
    /// The same with such a request as a trial from now on.
    [[nodiscard]] PromptEvidence evidenceWithTrial(RequestSuspects const &suspects, WallInstant now) const;
    /// Increases with each change of evidence() that other instances should receive at once.
    [[nodiscard]] std::uint64_t version() const;

private:
    enum class Certainty {
        /// No other suspect explains the losses.
        Sole,
        /// Another suspect explains the losses, too, but both may have crashed servers.
        Shared,
        /// Other suspects explain the losses alone. That does not show that this one is sound, so it is not refused, but tried once first.
        /// Only of requests.
        Explained,
    };

    /// A suspect that explains why servers were lost.
    struct Verdict {
        Suspect suspect;
        std::set<ServerProcess> servers;
        WallInstant until;
        /// Time from the last loss to the end.
        std::chrono::milliseconds time{0};
        Certainty certainty = Certainty::Sole;
    };

    struct Loss {
        WallInstant sentAt;
        WallInstant lostAt;
    };

    struct Suspicion {
        /// The servers that were lost with the suspect, with the first loss at each.
        std::map<ServerProcess, Loss> servers;
        /// Servers that were lost soon after a request with the suspect was sent, compared with others at the same server. A request that
        /// crashes servers does so as it begins. What was lost with it may have run or waited for longer.
        std::set<ServerProcess> soonLost;
        /// Parts further back in a prompt are shared by fewer requests.
        std::size_t narrowness = 0;
        std::chrono::milliseconds longestRun{0};

        [[nodiscard]] bool isStrongerThan(Suspicion const &other) const;
    };

    enum class Insertion {
        Known,
        New,
    };

    /// Returns whether a lost response counts; `isSoon`: whether it was lost soon after it was sent, compared with others at the server.
    using Filter = std::function<bool(LostResponse const &response, bool isSoon)>;

    using Suspicions = std::map<Suspect, Suspicion>;

    /// What speaks against each suspect in the responses that count.
    [[nodiscard]] Suspicions suspicions(Filter const &counts) const;
    /// Returns the strongest of the suspicions that suffice for a quarantine and may be chosen; the end if there is none.
    [[nodiscard]] Suspicions::const_iterator strongest(Suspicions const &found,
                                                       std::function<bool(Suspect const &)> const &mayBeChosen) const;
    [[nodiscard]] Verdict verdictOn(Suspect const &suspect, Suspicion const &suspicion, Certainty certainty) const;
    [[nodiscard]] Verdict explainedVerdictOn(Suspect const &suspect, Suspicion const &suspicion) const;
    /// Whether the server of a trial was lost with the suspect of a verdict, too.
    [[nodiscard]] bool wasLostBesideOthers(Suspicion const &suspicion, WallInstant trialAt) const;
    /// Whether a verdict's suspect was lost at all servers at which this one was, so that it explains them alone.
    [[nodiscard]] bool isCovered(Suspect const &suspect) const;
    [[nodiscard]] std::set<ServerProcess> lostServers(Suspect const &suspect) const;
    [[nodiscard]] bool isLost(RequestFingerprint request) const;
    Insertion insert(LostResponse response);
    bool noteAnsweredRequest(RequestFingerprint request, WallInstant at);
    /// Brings the verdicts up to date and removes what is not needed any more.
    void settle(WallInstant now);
    void refreshVerdicts();
    void addSharedVerdicts(std::set<ServerProcess> const &explained);
    void addExplainedVerdicts();
    [[nodiscard]] bool hasVerdict(Suspect const &suspect) const;
    /// Position of the verdict to which the response has led; the number of verdicts if there is none.
    [[nodiscard]] std::size_t verdictOf(LostResponse const &response) const;
    [[nodiscard]] bool holdsQuarantine(LostResponse const &response) const;
    void limitLostResponses();
    void limitLostResponsesOf(ServerProcess const &server);
    void limitAnsweredParts(WallInstant now);
    [[nodiscard]] WallInstant endOf(Verdict const &verdict) const;
    /// Time until which requests with the suspect are refused, because of the quarantine or of a trial that is about to be sent.
    [[nodiscard]] WallInstant refusedUntil(Verdict const &verdict) const;
    /// Time until which the outcome of trials of other suspects than these is awaited.
    [[nodiscard]] WallInstant otherTrialsUntil(RequestSuspects const &suspects) const;
    /// Returns whether this was not known of the trial.
    bool noteTrial(Suspect const &suspect, WallInstant at, TrialOutcome outcome);
    /// Trials of the suspect that may have reached a server and that no answer followed, without the first one that was not run.
    [[nodiscard]] std::set<WallInstant> countedTrials(Suspect const &suspect) const;

    PromptQuarantineOptions options_;
    /// Ordered by their times.
    std::vector<LostResponse> lost_;
    std::map<PromptPartId, WallInstant> answered_;
    /// Only of requests in `lost_`.
    std::map<RequestFingerprint, WallInstant> answeredRequests_;
    /// Conclusions from the evidence, the strongest first.
    std::vector<Verdict> verdicts_;
    /// Suspects of which this instance is about to send a trial, with the time until which others wait for it.
    std::map<Suspect, WallInstant> placedUntil_;
    /// Sent by any instance.
    std::map<Suspect, Trials> trials_;
    std::uint64_t version_ = 0;
};

} // namespace Anvilyard::Serving
