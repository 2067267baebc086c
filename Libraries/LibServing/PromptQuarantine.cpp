#include "LibServing/PromptQuarantine.h"

#include <algorithm>
#include <set>

namespace Anvilyard::Serving {

namespace {

bool contains(LostResponse const &response, PromptPartId part)
{
    return std::find(response.parts.begin(), response.parts.end(), part) != response.parts.end();
}

/// What speaks against one part.
struct Suspicion {
    std::set<ServerProcess> servers;
    /// Position in the prompt. Parts further back are shared by fewer requests.
    std::size_t position = 0;
    WallInstant lastLostAt;

    [[nodiscard]] bool isStrongerThan(Suspicion const &other) const
    {
        return std::pair(servers.size(), position) > std::pair(other.servers.size(), other.position);
    }
};

} // namespace

PromptQuarantine::PromptQuarantine(PromptQuarantineOptions options)
    : options_(options)
{
}

void PromptQuarantine::onAnswered(std::span<PromptPartId const> parts, WallInstant now)
{
    for (auto const &part : parts) {
        auto &answeredAt = answered_[part];
        // Other instances suspect the part until they know of its answers.
        bool const isNew = answeredAt + options_.answeredRetention / 2 < now;
        if (isNew && std::any_of(lost_.begin(), lost_.end(), [&](auto const &response) { return contains(response, part); }))
            ++version_;
        answeredAt = std::max(answeredAt, now);
    }
    limitAnsweredParts(now);
}

bool PromptQuarantine::onLost(ServerProcess const &server, std::span<PromptPartId const> parts, WallInstant now)
{
    removeExpired(now);
    return add({.server = server, .parts = {parts.begin(), parts.end()}, .at = now}, now);
}

bool PromptQuarantine::merge(PromptEvidence const &evidence, WallInstant now)
{
    removeExpired(now);
    bool hasNews = false;
    for (auto const &[part, at] : evidence.answered) {
        auto &answeredAt = answered_[part];
        hasNews = hasNews || answeredAt + options_.answeredRetention / 2 < at;
        answeredAt = std::max(answeredAt, at);
    }
    if (hasNews)
        ++version_;
    for (auto const &response : evidence.lost) {
        bool const isNew = add(response, now);
        hasNews = hasNews || isNew;
    }
    limitAnsweredParts(now);
    return hasNews;
}

bool PromptQuarantine::add(LostResponse response, WallInstant now)
{
    if (response.at + options_.quarantineTime <= now)
        return false;
    std::erase_if(response.parts, [&](PromptPartId part) { return wasAnswered(part, now); });
    if (response.parts.empty())
        return false;
    bool const isKnown = std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &known) {
        return known.server == response.server
            && std::all_of(response.parts.begin(), response.parts.end(), [&](PromptPartId part) { return contains(known, part); });
    });
    if (isKnown)
        return false;
    auto const position =
        std::upper_bound(lost_.begin(), lost_.end(), response.at, [](WallInstant at, LostResponse const &known) { return at < known.at; });
    lost_.insert(position, std::move(response));
    limitLostResponses(now);
    ++version_;
    return true;
}

bool PromptQuarantine::wasAnswered(PromptPartId part, WallInstant now) const
{
    auto const found = answered_.find(part);
    return found != answered_.end() && now < found->second + options_.answeredRetention;
}

/// The part with the most lost servers explains all responses that were lost at these servers. Other parts are not suspected because of
/// them: the requests that crash servers share their remaining parts with others, which are lost with the server.
std::map<PromptPartId, WallInstant> PromptQuarantine::quarantined(WallInstant now) const
{
    std::map<PromptPartId, WallInstant> found;
    std::vector<LostResponse const *> unexplained;
    for (auto const &response : lost_) {
        if (now < response.at + options_.quarantineTime)
            unexplained.push_back(&response);
    }
    while (!unexplained.empty()) {
        std::map<PromptPartId, Suspicion> suspicions;
        for (auto const *response : unexplained) {
            for (std::size_t position = 0; position < response->parts.size(); ++position) {
                if (wasAnswered(response->parts[position], now))
                    continue;
                auto &suspicion = suspicions[response->parts[position]];
                suspicion.servers.insert(response->server);
                suspicion.position = std::max(suspicion.position, position);
                suspicion.lastLostAt = std::max(suspicion.lastLostAt, response->at);
            }
        }
        auto const strongest = std::max_element(suspicions.begin(), suspicions.end(), [](auto const &left, auto const &right) {
            return right.second.isStrongerThan(left.second);
        });
        if (strongest == suspicions.end() || strongest->second.servers.size() < options_.serversToQuarantine)
            break;
        found.emplace(strongest->first,
                      strongest->second.lastLostAt + std::chrono::duration_cast<std::chrono::milliseconds>(options_.quarantineTime));
        auto const &servers = strongest->second.servers;
        std::erase_if(unexplained, [&](LostResponse const *response) { return servers.contains(response->server); });
    }
    return found;
}

std::optional<PromptQuarantine::Match> PromptQuarantine::find(std::span<PromptPartId const> parts, WallInstant now) const
{
    if (lost_.empty())
        return std::nullopt;
    auto const all = quarantined(now);
    for (auto const &part : parts) {
        if (auto const found = all.find(part); found != all.end())
            return Match{.part = part, .until = found->second};
    }
    return std::nullopt;
}

PromptEvidence PromptQuarantine::evidence() const
{
    PromptEvidence evidence{.lost = lost_};
    for (auto const &response : lost_) {
        for (auto const &part : response.parts) {
            if (auto const found = answered_.find(part); found != answered_.end())
                evidence.answered.insert(*found);
        }
    }
    return evidence;
}

std::uint64_t PromptQuarantine::version() const
{
    return version_;
}

void PromptQuarantine::removeExpired(WallInstant now)
{
    std::erase_if(lost_, [&](LostResponse const &response) { return response.at + options_.quarantineTime <= now; });
}

/// The evidence against parts in quarantine is kept, or they would be sent to servers again.
void PromptQuarantine::limitLostResponses(WallInstant now)
{
    if (lost_.size() <= options_.maxLostResponses)
        return;
    auto const all = quarantined(now);
    auto const isNeeded = [&](LostResponse const &response) {
        return std::any_of(response.parts.begin(), response.parts.end(), [&](PromptPartId part) { return all.contains(part); });
    };
    auto const dispensable = std::find_if_not(lost_.begin(), lost_.end(), isNeeded);
    lost_.erase(dispensable == lost_.end() ? lost_.begin() : dispensable);
}

void PromptQuarantine::limitAnsweredParts(WallInstant now)
{
    if (answered_.size() <= options_.maxAnsweredParts)
        return;
    std::erase_if(answered_, [&](auto const &entry) { return entry.second + options_.answeredRetention <= now; });
    while (answered_.size() > options_.maxAnsweredParts)
        answered_.erase(answered_.begin());
}

} // namespace Anvilyard::Serving
