#pragma once

#include "LibServing/PromptQuarantine.h"
#include "LibServing/ServerDirectory.h"

namespace Anvilyard::Node {

/// Feeds a PromptQuarantine with the ends of this node's attempts and the evidence of its peers, and logs its decisions.
class PromptGuard
{
public:
    explicit PromptGuard(Serving::PromptQuarantineOptions options);

    /// Records that the server generates an answer to a prompt with these parts.
    void onAnswered(std::span<Serving::PromptPartId const> parts);
    /// Records that the connection to the server ended after the head of its response and before an answer.
    void onLost(Serving::ServerRecord const &server, std::span<Serving::PromptPartId const> parts);
    void merge(Serving::PromptEvidence const &evidence);

    /// Returns the time for which requests with these parts are refused; `std::nullopt` if they may be sent.
    [[nodiscard]] std::optional<Duration> refusalTime(std::span<Serving::PromptPartId const> parts) const;
    [[nodiscard]] std::size_t quarantinedParts() const;
    [[nodiscard]] Serving::PromptQuarantine const &quarantine() const;

private:
    void logChanges(WallInstant now);

    Serving::PromptQuarantine quarantine_;
    std::map<Serving::PromptPartId, WallInstant> logged_;
};

} // namespace Anvilyard::Node
