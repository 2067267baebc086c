#include "Services/Node/PromptGuard.h"

#include "LibObserve/Events.h"

#include <algorithm>
#include <array>

namespace Anvilyard::Node {

using Serving::PromptPartId;
using Serving::RequestFingerprint;
using Serving::ServerProcess;
using std::chrono::milliseconds;

namespace {

/// Time for which a request is refused while it is not confirmed that the last server which it needs to be in quarantine has crashed.
constexpr Duration ConfirmationRetryAfter = 1s;

std::string toText(Duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::string toText(Serving::Suspect const &suspect)
{
    if (auto const *part = std::get_if<PromptPartId>(&suspect))
        return Serving::toString(std::array{*part});
    return Serving::toString(std::get<RequestFingerprint>(suspect));
}

template<typename Id>
std::size_t countOf(std::map<Serving::Suspect, WallInstant> const &suspects)
{
    return static_cast<std::size_t>(
        std::count_if(suspects.begin(), suspects.end(), [](auto const &entry) { return std::holds_alternative<Id>(entry.first); }));
}

} // namespace

PromptGuard::PromptGuard(Serving::PromptQuarantineOptions options)
    : options_(options)
    , quarantine_(options)
    , confirmation_(Serving::LossConfirmationOptions{})
{
}

void PromptGuard::onPlaced(Serving::RequestSuspects const &suspects)
{
    quarantine_.onPlaced(suspects, readClocks().wall);
}

std::optional<WallInstant> PromptGuard::onSent(Serving::RequestSuspects const &suspects)
{
    auto const now = readClocks().wall;
    auto const version = quarantine_.version();
    return recordTrial(quarantine_.onSent(suspects, now), version, now);
}

std::optional<WallInstant> PromptGuard::onReserved(Serving::RequestSuspects const &suspects, WallInstant reservedAt)
{
    auto const version = quarantine_.version();
    auto const tried = quarantine_.onReserved(suspects, reservedAt, readClocks().wall);
    if (!tried)
        logTrialNotRun(suspects, Serving::TrialOutcome::NotSent);
    return recordTrial(tried, version, reservedAt);
}

std::optional<WallInstant> PromptGuard::recordTrial(std::optional<Serving::Suspect> const &tried, std::uint64_t version, WallInstant at)
{
    if (tried)
        Observe::log(Observe::Events::NodeQuarantineTrial, {{"suspect", toText(*tried)}});
    if (quarantine_.version() == version)
        return std::nullopt;
    logChanges(readClocks().wall);
    countChange(version);
    return tried ? std::optional(at) : std::nullopt;
}

void PromptGuard::onTrialEnded(Serving::RequestSuspects const &suspects, WallInstant trialAt, Serving::TrialOutcome outcome)
{
    auto const version = quarantine_.version();
    quarantine_.onTrialEnded(suspects, trialAt, outcome);
    if (quarantine_.version() == version)
        return;
    logTrialNotRun(suspects, outcome);
    ++ownChanges_;
    logChanges(readClocks().wall);
}

void PromptGuard::logTrialNotRun(Serving::RequestSuspects const &suspects, Serving::TrialOutcome outcome)
{
    Observe::log(Observe::Events::NodeQuarantineTrialNotRun,
                 {{"was", outcome == Serving::TrialOutcome::NotRun ? "not-run" : "not-sent"},
                  {"fingerprint", suspects.request ? Serving::toString(*suspects.request) : "none"},
                  {"prompt_parts", Serving::toString(suspects.parts)}});
}

void PromptGuard::onAnswered(Serving::RequestSuspects const &suspects)
{
    auto const now = readClocks().wall;
    confirmation_.onRequestAnswered(suspects);
    auto const version = quarantine_.version();
    quarantine_.onAnswered(suspects, now);
    if (logged_.empty())
        return;
    countChange(version);
    logChanges(now);
}

void PromptGuard::onLost(Serving::ServerRecord const &server, Serving::RequestSuspects suspects, Instant sentAt)
{
    confirmation_.onLost({.server = server, .suspects = std::move(suspects), .sentAt = sentAt, .endedAt = readLocalClock()});
}

void PromptGuard::onRefused(Serving::ServerRecord const &server)
{
    record(confirmation_.onRefused(server, readLocalClock()));
}

void PromptGuard::onReached(Serving::ServerRecord const &server, Instant sentAt)
{
    confirmation_.onReached(server, sentAt);
}

void PromptGuard::onTick(Serving::ServerDirectory const &directory, Instant now)
{
    std::set<ServerId> ids;
    for (auto const &loss : confirmation_.pending())
        ids.insert(loss.server.id);
    for (auto const &id : ids) {
        auto const server = directory.find(id, now);
        record(confirmation_.onRegistration(id, server ? std::optional(server->record.startedAt) : std::nullopt));
    }
}

std::vector<Serving::ServerRecord> PromptGuard::takeProbes(Instant now)
{
    return confirmation_.takeProbes(now);
}

void PromptGuard::record(std::vector<Serving::UnconfirmedLoss> const &confirmed)
{
    auto const clocks = readClocks();
    auto const local = readLocalClock();
    bool hasNews = false;
    auto const version = quarantine_.version();
    for (auto const &[server, suspects, sentAt, endedAt] : confirmed) {
        auto const at = clocks.wall - std::chrono::duration_cast<milliseconds>(local - endedAt);
        auto const runTime = std::chrono::duration_cast<milliseconds>(endedAt - sentAt);
        bool const isNew = quarantine_.onLost({.id = server.id, .startedAt = server.startedAt}, suspects, runTime, at);
        hasNews = hasNews || isNew;
        Observe::log(Observe::Events::NodeServerCrashed,
                     {{"server", server.id.value()},
                      {"server_started_at", std::to_string(server.startedAt)},
                      {"fingerprint", suspects.request ? Serving::toString(*suspects.request) : "none"},
                      {"prompt_parts", Serving::toString(suspects.parts)},
                      {"ran_ms", std::to_string(runTime.count())},
                      {"ago_ms", toText(local - endedAt)}});
    }
    if (!hasNews)
        return;
    logChanges(clocks.wall);
    countChange(version);
}

void PromptGuard::countChange(std::uint64_t version)
{
    if (quarantine_.version() != version && !logged_.empty())
        ++ownChanges_;
}

std::uint64_t PromptGuard::ownChanges() const
{
    return ownChanges_;
}

void PromptGuard::merge(Serving::PromptEvidence const &evidence)
{
    auto const now = readClocks().wall;
    if (quarantine_.merge(evidence, now))
        logChanges(now);
}

bool PromptGuard::isTrial(Serving::RequestSuspects const &suspects) const
{
    return quarantine_.isTrial(suspects, readClocks().wall);
}

bool PromptGuard::hasEnded(Serving::ServerProcess const &server) const
{
    return quarantine_.hasEnded(server);
}

bool PromptGuard::isSuspected(Serving::RequestSuspects const &suspects) const
{
    return quarantine_.isSuspected(suspects);
}

std::optional<PromptGuard::RefusalReason> PromptGuard::refusalReason(Serving::RequestSuspects const &suspects) const
{
    auto const now = readClocks().wall;
    if (auto const match = quarantine_.find(suspects, now))
        return RefusalReason{.suspect = match->suspect, .time = match->until - now};
    if (confirmation_.pending().empty())
        return std::nullopt;
    // A loss is confirmed within milliseconds. A retry sent before would cost one more server.
    if (suspects.request && awaitsConfirmation(*suspects.request, now))
        return RefusalReason{.suspect = *suspects.request, .time = ConfirmationRetryAfter};
    auto const part = std::ranges::find_if(suspects.parts, [&](PromptPartId id) { return awaitsConfirmation(id, now); });
    if (part != suspects.parts.end())
        return RefusalReason{.suspect = *part, .time = ConfirmationRetryAfter};
    return std::nullopt;
}

bool PromptGuard::awaitsConfirmation(Serving::Suspect const &suspect, WallInstant now) const
{
    auto const *part = std::get_if<PromptPartId>(&suspect);
    auto const local = readLocalClock();
    std::set<ServerProcess> servers;
    for (auto const &loss : confirmation_.pending()) {
        // Parts are shared by many requests, all of which wait for a server that cannot be reached.
        bool const isLost = part
            ? std::ranges::find(loss.suspects.parts, *part) != loss.suspects.parts.end() && local < loss.endedAt + ConfirmationRetryAfter
            : loss.suspects.request == std::get<RequestFingerprint>(suspect);
        if (isLost)
            servers.insert({.id = loss.server.id, .startedAt = loss.server.startedAt});
    }
    if (servers.empty() || (part && quarantine_.isExcluded(suspect, now)))
        return false;
    servers.merge(quarantine_.unexplainedServers(suspect));
    return servers.size() >= options_.serversToQuarantine;
}

std::size_t PromptGuard::quarantinedParts() const
{
    return countOf<PromptPartId>(quarantine_.quarantined(readClocks().wall));
}

std::size_t PromptGuard::quarantinedRequests() const
{
    return countOf<RequestFingerprint>(quarantine_.quarantined(readClocks().wall));
}

Serving::PromptQuarantine const &PromptGuard::quarantine() const
{
    return quarantine_;
}

void PromptGuard::logChanges(WallInstant now)
{
    auto const current = quarantine_.quarantined(now);
    auto const log = [&](Observe::EventDefinition const &ofPart,
                         Observe::EventDefinition const &ofRequest,
                         Serving::Suspect const &suspect,
                         WallInstant until) {
        if (std::holds_alternative<PromptPartId>(suspect))
            Observe::log(ofPart, {{"part", toText(suspect)}, {"ms", toText(until - now)}});
        else
            Observe::log(ofRequest, {{"fingerprint", toText(suspect)}, {"ms", toText(until - now)}});
    };
    for (auto const &[suspect, until] : current) {
        if (!logged_.contains(suspect))
            log(Observe::Events::NodePromptQuarantined, Observe::Events::NodeRequestQuarantined, suspect, until);
    }
    for (auto const &[suspect, until] : logged_) {
        if (!current.contains(suspect))
            log(Observe::Events::NodePromptReleased, Observe::Events::NodeRequestReleased, suspect, until);
    }
    logged_ = current;
}

} // namespace Anvilyard::Node
