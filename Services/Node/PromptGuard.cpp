#include "Services/Node/PromptGuard.h"

#include "LibObserve/Events.h"

#include <array>

namespace Anvilyard::Node {

using Serving::PromptPartId;

PromptGuard::PromptGuard(Serving::PromptQuarantineOptions options)
    : quarantine_(options)
{
}

void PromptGuard::onAnswered(std::span<PromptPartId const> parts)
{
    auto const now = readClocks().wall;
    quarantine_.onAnswered(parts, now);
    if (!logged_.empty())
        logChanges(now);
}

void PromptGuard::onLost(Serving::ServerRecord const &server, std::span<PromptPartId const> parts)
{
    auto const now = readClocks().wall;
    if (quarantine_.onLost({.id = server.id, .startedAt = server.startedAt}, parts, now))
        logChanges(now);
}

void PromptGuard::merge(Serving::PromptEvidence const &evidence)
{
    auto const now = readClocks().wall;
    if (quarantine_.merge(evidence, now))
        logChanges(now);
}

std::optional<Duration> PromptGuard::refusalTime(std::span<PromptPartId const> parts) const
{
    auto const now = readClocks().wall;
    auto const match = quarantine_.find(parts, now);
    return match ? std::optional<Duration>(match->until - now) : std::nullopt;
}

std::size_t PromptGuard::quarantinedParts() const
{
    return quarantine_.quarantined(readClocks().wall).size();
}

Serving::PromptQuarantine const &PromptGuard::quarantine() const
{
    return quarantine_;
}

void PromptGuard::logChanges(WallInstant now)
{
    auto const current = quarantine_.quarantined(now);
    auto const log = [](Observe::EventDefinition const &event, PromptPartId part, Duration time) {
        Observe::log(event,
                     {{"part", Serving::toString(std::array{part})},
                      {"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count())}});
    };
    for (auto const &[part, until] : current) {
        if (!logged_.contains(part))
            log(Observe::Events::NodePromptQuarantined, part, until - now);
    }
    for (auto const &[part, until] : logged_) {
        if (!current.contains(part))
            log(Observe::Events::NodePromptReleased, part, until - now);
    }
    logged_ = current;
}

} // namespace Anvilyard::Node
