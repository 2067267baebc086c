#pragma once

#include "LibServing/PromptEvidence.h"

#include <optional>
#include <span>

namespace Anvilyard::Serving {

struct PromptQuarantineOptions {
    /// Number of server processes that have to be lost with a part before requests with it are refused.
    std::size_t serversToQuarantine = 3;
    /// A part that was answered within this time is not suspected. A popular part is in most of the prompts that run at a server which
    /// crashes because of another one.
    Duration answeredRetention = 30s;
    /// Time from the last lost response for which requests with a part are refused. Each expiry may cost as many servers as it took to
    /// find the part.
    Duration quarantineTime = 5min;
    /// Bounds the size of the evidence that instances exchange.
    std::size_t maxLostResponses = 32;
    /// Bounds the memory for parts that were answered.
    std::size_t maxAnsweredParts = 8192;
};

/// Finds parts of prompts that crash the servers which run them, so that their requests are refused.
///
/// Load pattern: requests that share one part arrive at any instance, and each server that begins to generate an answer to one of them
/// crashes, with all other requests that it runs. Those share the remaining parts. Sent again and again, such requests end all servers of a
/// pool within seconds. The part is the one that all lost responses have in common and that has not been answered.
///
/// Instances exchange their evidence and come to the same conclusions. Performs no I/O.
class PromptQuarantine
{
public:
    struct Match {
        PromptPartId part;
        WallInstant until;
    };

    explicit PromptQuarantine(PromptQuarantineOptions options);

    /// Records that a server generates an answer to a prompt with these parts.
    void onAnswered(std::span<PromptPartId const> parts, WallInstant now);
    /// Records that a response to a prompt with these parts was lost. Returns whether this is new evidence.
    bool onLost(ServerProcess const &server, std::span<PromptPartId const> parts, WallInstant now);
    /// Merges the evidence of another instance. Returns whether any of it is new.
    bool merge(PromptEvidence const &evidence, WallInstant now);

    /// Returns the part for which a request has to be refused, if there is one.
    [[nodiscard]] std::optional<Match> find(std::span<PromptPartId const> parts, WallInstant now) const;
    /// All parts in quarantine, with the time of its end.
    [[nodiscard]] std::map<PromptPartId, WallInstant> quarantined(WallInstant now) const;
    /// What other instances need to know; empty if there is nothing.
    [[nodiscard]] PromptEvidence evidence() const;
    /// Increases with each change of evidence() that other instances should receive at once.
    [[nodiscard]] std::uint64_t version() const;

private:
    [[nodiscard]] bool wasAnswered(PromptPartId part, WallInstant now) const;
    bool add(LostResponse response, WallInstant now);
    void removeExpired(WallInstant now);
    void limitLostResponses(WallInstant now);
    void limitAnsweredParts(WallInstant now);

    PromptQuarantineOptions options_;
    /// Ordered by their times.
    std::vector<LostResponse> lost_;
    std::map<PromptPartId, WallInstant> answered_;
    std::uint64_t version_ = 0;
};

} // namespace Anvilyard::Serving
