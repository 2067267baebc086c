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

void PromptGuard::onAnswered(Serving::RequestSuspects const &suspects)
{
    auto const now = readClocks().wall;
    confirmation_.onRequestAnswered(suspects);
    quarantine_.onAnswered(suspects, now);
    if (!logged_.empty())
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
    if (hasNews)
        logChanges(clocks.wall);
}

void PromptGuard::merge(Serving::PromptEvidence const &evidence)
{
    auto const now = readClocks().wall;
    if (quarantine_.merge(evidence, now))
        logChanges(now);
}

std::optional<PromptGuard::RefusalReason> PromptGuard::refusalReason(Serving::RequestSuspects const &suspects) const
{
    auto const now = readClocks().wall;
    if (auto const match = quarantine_.find(suspects, now))
        return RefusalReason{.suspect = match->suspect, .time = match->until - now};
    // A loss is confirmed within milliseconds. A retry sent before would cost one more server.
    std::set<ServerProcess> servers;
    for (auto const &loss : confirmation_.pending()) {
        if (suspects.request && loss.suspects.request == suspects.request)
            servers.insert({.id = loss.server.id, .startedAt = loss.server.startedAt});
    }
    if (servers.empty())
        return std::nullopt;
    servers.merge(quarantine_.unexplainedServers(*suspects.request));
    if (servers.size() < options_.serversToQuarantine)
        return std::nullopt;
    return RefusalReason{.suspect = *suspects.request, .time = ConfirmationRetryAfter};
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
        if (auto const *part = std::get_if<PromptPartId>(&suspect))
            Observe::log(ofPart, {{"part", Serving::toString(std::array{*part})}, {"ms", toText(until - now)}});
        else
            Observe::log(ofRequest,
                         {{"fingerprint", Serving::toString(std::get<RequestFingerprint>(suspect))}, {"ms", toText(until - now)}});
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
