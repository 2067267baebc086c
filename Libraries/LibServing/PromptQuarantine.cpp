#include "LibServing/PromptQuarantine.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace Anvilyard::Serving {

using std::chrono::milliseconds;

namespace {

bool contains(std::vector<PromptPartId> const &parts, PromptPartId part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// For the suspects of a request and for a lost response.
template<typename Suspects>
bool contains(Suspects const &suspects, Suspect const &suspect)
{
    if (auto const *part = std::get_if<PromptPartId>(&suspect))
        return contains(suspects.parts, *part);
    return suspects.request == std::get<RequestFingerprint>(suspect);
}

/// Whether the known response says all that the other one does.
bool covers(LostResponse const &known, LostResponse const &other)
{
    return known.server == other.server && (!other.request || known.request == other.request)
        && std::all_of(other.parts.begin(), other.parts.end(), [&](PromptPartId part) { return contains(known.parts, part); });
}

/// A request is shared by fewer than any part of its prompt.
constexpr std::size_t RequestNarrowness = std::numeric_limits<std::size_t>::max();

/// Calls `action` with each suspect of the response and its narrowness. Parts further back are shared by fewer requests.
template<typename Action>
void forEachSuspect(LostResponse const &response, Action action)
{
    for (std::size_t position = 0; position < response.parts.size(); ++position)
        action(Suspect(response.parts[position]), position);
    if (response.request)
        action(Suspect(*response.request), RequestNarrowness);
}

/// Run times that differ by less do not show which request began last.
constexpr milliseconds RunTimeTolerance{50};
/// Times of requests that were sent one after the other may overlap by this much, as they are rounded.
constexpr milliseconds OverlapTolerance{5};

/// Spreads the instances evenly over the ends of the quarantines of different suspects.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

PromptQuarantine::PromptQuarantine(PromptQuarantineOptions options)
    : options_(options)
{
}

void PromptQuarantine::onAnswered(std::span<PromptPartId const> parts, WallInstant now)
{
    onAnswered(RequestSuspects{.parts = {parts.begin(), parts.end()}}, now);
}

void PromptQuarantine::onAnswered(RequestSuspects const &suspects, WallInstant now)
{
    bool isNews = false;
    for (auto const &part : suspects.parts) {
        auto &answeredAt = answered_[part];
        // Other instances suspect the part until they know of its answers.
        bool const isNew = answeredAt + options_.answeredRetention / 2 < now;
        isNews = isNews || (isNew && std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &response) {
                                return contains(response.parts, part);
                            }));
        answeredAt = std::max(answeredAt, now);
    }
    if (suspects.request && isLost(*suspects.request) && noteAnsweredRequest(*suspects.request, now))
        isNews = true;
    if (isNews) {
        ++version_;
        refreshVerdicts();
    }
    limitAnsweredParts(now);
}

bool PromptQuarantine::onLost(ServerProcess const &server, std::span<PromptPartId const> parts, WallInstant now)
{
    return onLost(server, RequestSuspects{.parts = {parts.begin(), parts.end()}}, milliseconds(0), now);
}

bool PromptQuarantine::onLost(ServerProcess const &server, RequestSuspects const &suspects, milliseconds runTime, WallInstant now)
{
    LostResponse const response{.server = server, .parts = suspects.parts, .at = now, .request = suspects.request, .runTime = runTime};
    return merge({.lost = {response}}, now);
}

bool PromptQuarantine::merge(PromptEvidence const &evidence, WallInstant now)
{
    bool hasNews = false;
    for (auto const &[part, at] : evidence.answered) {
        auto &answeredAt = answered_[part];
        hasNews = hasNews || answeredAt + options_.answeredRetention / 2 < at;
        answeredAt = std::max(answeredAt, at);
    }
    for (auto const &[request, at] : evidence.answeredRequests) {
        bool const isNew = noteAnsweredRequest(request, at);
        hasNews = hasNews || (isNew && isLost(request));
    }
    for (auto const &[suspect, trials] : evidence.trials) {
        for (auto const &[at, outcome] : trials)
            hasNews = noteTrial(suspect, at, outcome) || hasNews;
    }
    std::vector<LostResponse> inserted;
    for (auto const &response : evidence.lost) {
        if (insert(response) == Insertion::New)
            inserted.push_back(response);
    }
    if (hasNews || !inserted.empty())
        settle(now);
    // Evidence that was not kept must not be sent on, or instances that are at their limits would exchange it for ever.
    hasNews = hasNews || std::any_of(inserted.begin(), inserted.end(), [&](LostResponse const &response) {
                  return std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &known) {
                      return known.server == response.server && known.at == response.at && known.request == response.request;
                  });
              });
    if (hasNews)
        ++version_;
    std::erase_if(answeredRequests_, [&](auto const &entry) { return !isLost(entry.first); });
    limitAnsweredParts(now);
    return hasNews;
}

PromptQuarantine::Insertion PromptQuarantine::insert(LostResponse response)
{
    std::erase_if(response.parts, [&](PromptPartId part) { return isExcluded(part, response.at); });
    if (response.request && isExcluded(*response.request, response.at))
        response.request.reset();
    bool const isKnown = std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &known) { return covers(known, response); });
    if (isKnown || (response.parts.empty() && !response.request))
        return Insertion::Known;
    auto const server = response.server;
    auto const position =
        std::upper_bound(lost_.begin(), lost_.end(), response.at, [](WallInstant at, LostResponse const &known) { return at < known.at; });
    lost_.insert(position, std::move(response));
    limitLostResponsesOf(server);
    return Insertion::New;
}

bool PromptQuarantine::isExcluded(Suspect const &suspect, WallInstant lostAt) const
{
    auto const isIn = [&](auto const &answered, auto const &key) {
        auto const found = answered.find(key);
        return found != answered.end() && lostAt < found->second + options_.answeredRetention;
    };
    if (auto const *part = std::get_if<PromptPartId>(&suspect))
        return isIn(answered_, *part);
    return isIn(answeredRequests_, std::get<RequestFingerprint>(suspect));
}

bool PromptQuarantine::isLost(RequestFingerprint request) const
{
    return std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &response) { return response.request == request; });
}

/// Returns whether the answer is much newer than the last known one.
bool PromptQuarantine::noteAnsweredRequest(RequestFingerprint request, WallInstant at)
{
    auto &answeredAt = answeredRequests_[request];
    bool const isNew = answeredAt + options_.answeredRetention / 2 < at;
    answeredAt = std::max(answeredAt, at);
    return isNew;
}

void PromptQuarantine::settle(WallInstant now)
{
    refreshVerdicts();
    auto const count = lost_.size();
    // What led to a quarantine is kept after its end, so that one more lost server renews it.
    std::erase_if(lost_, [&](LostResponse const &response) {
        return response.at + options_.evidenceRetention <= now
            && std::none_of(verdicts_.begin(), verdicts_.end(), [&](Verdict const &verdict) {
                   return verdict.servers.contains(response.server) && now < verdict.until + options_.evidenceRetention;
               });
    });
    std::erase_if(trials_, [&](auto const &entry) { return lostServers(entry.first).empty(); });
    limitLostResponses();
    if (lost_.size() != count)
        refreshVerdicts();
}

PromptQuarantine::Suspicions PromptQuarantine::suspicions(Filter const &counts) const
{
    std::map<ServerProcess, milliseconds> shortestRuns;
    for (auto const &response : lost_) {
        auto const shortest = shortestRuns.try_emplace(response.server, response.runTime).first;
        shortest->second = std::min(shortest->second, response.runTime);
    }
    Suspicions found;
    for (auto const &response : lost_) {
        bool const isSoon = response.runTime <= 2 * shortestRuns.at(response.server) + RunTimeTolerance;
        if (!counts(response, isSoon))
            continue;
        forEachSuspect(response, [&](Suspect const &suspect, std::size_t narrowness) {
            if (isExcluded(suspect, response.at))
                return;
            auto &suspicion = found[suspect];
            suspicion.servers.try_emplace(response.server, Loss{.sentAt = response.at - response.runTime, .lostAt = response.at});
            if (isSoon)
                suspicion.soonLost.insert(response.server);
            suspicion.narrowness = std::max(suspicion.narrowness, narrowness);
            suspicion.longestRun = std::max(suspicion.longestRun, response.runTime);
        });
    }
    return found;
}

PromptQuarantine::Suspicions::const_iterator PromptQuarantine::strongest(Suspicions const &found,
                                                                         std::function<bool(Suspect const &)> const &mayBeChosen) const
{
    auto best = found.end();
    for (auto entry = found.begin(); entry != found.end(); ++entry) {
        bool const isStronger = best == found.end() || entry->second.isStrongerThan(best->second);
        if (entry->second.servers.size() >= options_.serversToQuarantine && isStronger && mayBeChosen(entry->first))
            best = entry;
    }
    return best;
}

/// The suspect with the most lost servers explains all responses that were lost at these servers. Others are not suspected because of them:
/// the requests that crash servers share the servers, and parts of their prompts, with others, which are lost with the server.
void PromptQuarantine::refreshVerdicts()
{
    verdicts_.clear();
    std::set<ServerProcess> explained;
    while (true) {
        auto const found = suspicions([&](LostResponse const &response, bool) { return !explained.contains(response.server); });
        auto const next = strongest(found, [](Suspect const &) { return true; });
        if (next == found.end())
            break;
        verdicts_.push_back(verdictOn(next->first, next->second, Certainty::Sole));
        explained.insert(verdicts_.back().servers.begin(), verdicts_.back().servers.end());
    }
    if (verdicts_.empty())
        return;
    addSharedVerdicts(explained);
    addExplainedVerdicts();
}

/// Several suspects that crash servers are lost at some of the same servers, and the first verdicts explain these without the others, which
/// would be sent again. What was lost as soon as the explaining suspect may be the cause as well.
void PromptQuarantine::addSharedVerdicts(std::set<ServerProcess> const &explained)
{
    while (true) {
        auto const found = suspicions([&](LostResponse const &response, bool isSoon) {
            if (!explained.contains(response.server))
                return true;
            return isSoon && std::none_of(verdicts_.begin(), verdicts_.end(), [&](Verdict const &verdict) {
                       return contains(response, verdict.suspect);
                   });
        });
        auto const next = strongest(found, [&](Suspect const &suspect) { return !hasVerdict(suspect) && !isCovered(suspect); });
        if (next == found.end())
            return;
        // Once it is suspected, each further loss counts, or it would be tried again at once after a trial that was lost beside others.
        auto const all = suspicions([&](LostResponse const &response, bool) { return contains(response, next->first); });
        verdicts_.push_back(verdictOn(next->first, all.at(next->first), Certainty::Shared));
    }
}

/// Which suspect explains the losses of others changes with each loss, and instances would then all send at once what they have refused
/// until then. So only an answer clears a request with which enough servers were lost. Parts are not held so, as sound requests share them.
void PromptQuarantine::addExplainedVerdicts()
{
    for (auto const &[suspect, suspicion] : suspicions([](LostResponse const &, bool) { return true; })) {
        bool const isRequest = std::holds_alternative<RequestFingerprint>(suspect);
        if (isRequest && suspicion.servers.size() >= options_.serversToQuarantine && !hasVerdict(suspect))
            verdicts_.push_back(explainedVerdictOn(suspect, suspicion));
    }
}

bool PromptQuarantine::hasVerdict(Suspect const &suspect) const
{
    return std::ranges::any_of(verdicts_, [&](Verdict const &verdict) { return verdict.suspect == suspect; });
}

bool PromptQuarantine::isCovered(Suspect const &suspect) const
{
    auto const servers = lostServers(suspect);
    return std::any_of(verdicts_.begin(), verdicts_.end(), [&](Verdict const &verdict) {
        auto const others = lostServers(verdict.suspect);
        return std::includes(others.begin(), others.end(), servers.begin(), servers.end());
    });
}

std::set<ServerProcess> PromptQuarantine::lostServers(Suspect const &suspect) const
{
    std::set<ServerProcess> servers;
    for (auto const &response : lost_) {
        if (contains(response, suspect) && !isExcluded(suspect, response.at))
            servers.insert(response.server);
    }
    return servers;
}

bool PromptQuarantine::Suspicion::isStrongerThan(Suspicion const &other) const
{
    return std::tuple(servers.size(), narrowness, soonLost.size(), other.longestRun)
        > std::tuple(other.servers.size(), other.narrowness, other.soonLost.size(), longestRun);
}

PromptQuarantine::Verdict PromptQuarantine::verdictOn(Suspect const &suspect, Suspicion const &suspicion, Certainty certainty) const
{
    // The same request runs several times at once only if its caller sends it several times.
    bool const isRequest = std::holds_alternative<RequestFingerprint>(suspect);
    auto const suspicionTime = std::chrono::duration_cast<milliseconds>(options_.suspicionTime);
    auto const quarantineTime =
        certainty == Certainty::Shared ? suspicionTime : std::chrono::duration_cast<milliseconds>(options_.quarantineTime);
    auto const firstTime = isRequest ? quarantineTime : suspicionTime;
    auto const maxTime = std::chrono::duration_cast<milliseconds>(options_.maxQuarantineTime);
    Verdict verdict{.suspect = suspect, .time = firstTime, .certainty = certainty};
    std::vector<Loss> losses;
    for (auto const &[server, loss] : suspicion.servers) {
        verdict.servers.insert(server);
        losses.push_back(loss);
    }
    std::sort(losses.begin(), losses.end(), [](Loss const &left, Loss const &right) { return left.lostAt < right.lostAt; });
    std::size_t independent = 0;
    auto lastIndependentAt = WallInstant::min();
    auto const trials = countedTrials(suspect);
    auto trial = trials.begin();
    auto const extend = [&](WallInstant at) {
        if (at >= verdict.until)
            verdict.time = std::min(verdict.time * options_.quarantineGrowth, maxTime);
        verdict.until = std::max(verdict.until, at + verdict.time);
    };
    for (std::size_t index = 0; index < losses.size(); ++index) {
        auto const &loss = losses[index];
        // Requests that were in progress at the same time may have been lost by one common cause.
        if (loss.sentAt + OverlapTolerance >= lastIndependentAt) {
            ++independent;
            lastIndependentAt = loss.lostAt;
        }
        if (index + 1 < options_.serversToQuarantine)
            continue;
        if (independent >= options_.serversToQuarantine)
            verdict.time = std::max(verdict.time, quarantineTime);
        if (index + 1 == options_.serversToQuarantine) {
            verdict.until = loss.lostAt + verdict.time;
            // Trials that others sent before this instance knew of the third loss.
            trial = trials.lower_bound(loss.lostAt);
            continue;
        }
        for (; trial != trials.end() && *trial <= loss.lostAt; ++trial)
            extend(*trial);
        extend(loss.lostAt);
    }
    for (; trial != trials.end(); ++trial)
        extend(*trial);
    return verdict;
}

PromptQuarantine::Verdict PromptQuarantine::explainedVerdictOn(Suspect const &suspect, Suspicion const &suspicion) const
{
    Verdict verdict{.suspect = suspect, .certainty = Certainty::Explained};
    std::vector<WallInstant> losses;
    for (auto const &[server, loss] : suspicion.servers) {
        verdict.servers.insert(server);
        losses.push_back(loss.lostAt);
    }
    auto const decisive = losses.begin() + static_cast<std::ptrdiff_t>(options_.serversToQuarantine) - 1;
    std::nth_element(losses.begin(), decisive, losses.end());
    verdict.until = *decisive;
    auto const trials = trials_.find(suspect);
    if (trials == trials_.end())
        return verdict;
    for (auto const &[at, outcome] : trials->second) {
        if (at < *decisive || outcome == TrialOutcome::NotSent || isExcluded(suspect, at) || wasLostBesideOthers(suspicion, at))
            continue;
        if (outcome == TrialOutcome::NotRun) {
            verdict.until = std::max(verdict.until, at + std::chrono::duration_cast<milliseconds>(options_.trialSeparation));
            continue;
        }
        bool const isFirst = verdict.time == milliseconds(0);
        verdict.time = isFirst
            ? std::chrono::duration_cast<milliseconds>(options_.quarantineTime)
            : std::min(verdict.time * options_.quarantineGrowth, std::chrono::duration_cast<milliseconds>(options_.maxQuarantineTime));
        verdict.until = at + verdict.time;
    }
    return verdict;
}

/// Such a trial shows nothing about its suspect.
bool PromptQuarantine::wasLostBesideOthers(Suspicion const &suspicion, WallInstant trialAt) const
{
    auto outcome = suspicion.servers.end();
    for (auto entry = suspicion.servers.begin(); entry != suspicion.servers.end(); ++entry) {
        bool const isLater = entry->second.lostAt >= trialAt;
        if (isLater && (outcome == suspicion.servers.end() || entry->second.lostAt < outcome->second.lostAt))
            outcome = entry;
    }
    return outcome != suspicion.servers.end() && std::ranges::any_of(verdicts_, [&](Verdict const &verdict) {
               return verdict.certainty != Certainty::Explained && verdict.servers.contains(outcome->first);
           });
}

WallInstant PromptQuarantine::endOf(Verdict const &verdict) const
{
    auto const spread = std::chrono::duration_cast<milliseconds>(verdict.time * options_.expirySpread).count();
    if (spread <= 0)
        return verdict.until;
    auto const value = std::visit([](auto const &id) { return id.value(); }, verdict.suspect);
    return verdict.until + milliseconds(mix(options_.instanceHash ^ mix(value)) % static_cast<std::uint64_t>(spread));
}

bool PromptQuarantine::noteTrial(Suspect const &suspect, WallInstant at, TrialOutcome outcome)
{
    auto &trials = trials_[suspect];
    auto const [trial, isInserted] = trials.try_emplace(at, outcome);
    bool const isNews = isInserted || trial->second < outcome;
    trial->second = std::max(trial->second, outcome);
    if (trials.size() <= options_.maxTrials)
        return isNews;
    auto dropped = std::ranges::find_if(trials, [](auto const &entry) { return entry.second == TrialOutcome::NotSent; });
    if (dropped == trials.end())
        dropped = trials.begin();
    bool const isDropped = dropped->first == at;
    trials.erase(dropped);
    return isNews && !isDropped;
}

std::set<WallInstant> PromptQuarantine::countedTrials(Suspect const &suspect) const
{
    auto const found = trials_.find(suspect);
    if (found == trials_.end())
        return {};
    std::set<WallInstant> counted;
    bool isFirstNotRun = true;
    for (auto const &[at, outcome] : found->second) {
        bool const isSpared = outcome == TrialOutcome::NotRun && std::exchange(isFirstNotRun, false);
        if (!isSpared && outcome != TrialOutcome::NotSent && !isExcluded(suspect, at))
            counted.insert(at);
    }
    return counted;
}

WallInstant PromptQuarantine::refusedUntil(Verdict const &verdict) const
{
    auto const placed = placedUntil_.find(verdict.suspect);
    return placed == placedUntil_.end() ? endOf(verdict) : std::max(endOf(verdict), placed->second);
}

void PromptQuarantine::onPlaced(RequestSuspects const &suspects, WallInstant now)
{
    std::erase_if(placedUntil_, [&](auto const &entry) { return entry.second <= now; });
    for (auto const &verdict : verdicts_) {
        if (contains(suspects, verdict.suspect) && now >= endOf(verdict))
            placedUntil_[verdict.suspect] = now + std::chrono::duration_cast<milliseconds>(options_.trialSendTime);
    }
}

std::optional<Suspect> PromptQuarantine::onSent(RequestSuspects const &suspects, WallInstant now)
{
    std::optional<Suspect> tried;
    for (auto const &verdict : verdicts_) {
        if (!contains(suspects, verdict.suspect) || now < endOf(verdict))
            continue;
        noteTrial(verdict.suspect, now, TrialOutcome::Unknown);
        tried = tried.value_or(verdict.suspect);
    }
    if (tried) {
        ++version_;
        refreshVerdicts();
    }
    return tried;
}

std::optional<Suspect> PromptQuarantine::onReserved(RequestSuspects const &suspects, WallInstant reservedAt, WallInstant now)
{
    // The trial may have come back with the evidence of others. It must not hold the request itself.
    bool isKnown = false;
    for (auto &[suspect, trials] : trials_)
        isKnown = (contains(suspects, suspect) && trials.erase(reservedAt) > 0) || isKnown;
    if (isKnown)
        refreshVerdicts();
    if (isTrial(suspects, now)) {
        if (auto const tried = onSent(suspects, reservedAt))
            return tried;
    }
    for (auto const &verdict : verdicts_) {
        if (!contains(suspects, verdict.suspect))
            continue;
        noteTrial(verdict.suspect, reservedAt, TrialOutcome::NotSent);
        placedUntil_.erase(verdict.suspect);
    }
    ++version_;
    refreshVerdicts();
    return std::nullopt;
}

void PromptQuarantine::onTrialEnded(RequestSuspects const &suspects, WallInstant trialAt, TrialOutcome outcome)
{
    bool hasNews = false;
    for (auto &[suspect, trials] : trials_) {
        if (!contains(suspects, suspect) || !trials.contains(trialAt))
            continue;
        hasNews = noteTrial(suspect, trialAt, outcome) || hasNews;
        // The next request with the suspect is the trial now.
        placedUntil_.erase(suspect);
    }
    if (hasNews) {
        ++version_;
        refreshVerdicts();
    }
}

std::optional<PromptQuarantine::Match> PromptQuarantine::find(std::span<PromptPartId const> parts, WallInstant now) const
{
    if (verdicts_.empty())
        return std::nullopt;
    return find(RequestSuspects{.parts = {parts.begin(), parts.end()}}, now);
}

std::optional<PromptQuarantine::Match> PromptQuarantine::find(RequestSuspects const &suspects, WallInstant now) const
{
    for (auto const &verdict : verdicts_) {
        if (!contains(suspects, verdict.suspect))
            continue;
        auto until = refusedUntil(verdict);
        // A trial of an explained suspect that is lost beside another one is repeated.
        if (now >= until && verdict.certainty != Certainty::Explained)
            until = otherTrialsUntil(suspects);
        if (now < until)
            return Match{.suspect = verdict.suspect, .until = until};
    }
    return std::nullopt;
}

bool PromptQuarantine::isTrial(RequestSuspects const &suspects, WallInstant now) const
{
    bool isSuspected = false;
    for (auto const &verdict : verdicts_) {
        if (!contains(suspects, verdict.suspect))
            continue;
        bool const mayWait = verdict.certainty != Certainty::Explained;
        if (now < endOf(verdict) || (mayWait && now < otherTrialsUntil(suspects)))
            return false;
        isSuspected = true;
    }
    return isSuspected;
}

WallInstant PromptQuarantine::otherTrialsUntil(RequestSuspects const &suspects) const
{
    auto until = WallInstant::min();
    for (auto const &[suspect, trials] : trials_) {
        if (contains(suspects, suspect) || trials.empty())
            continue;
        auto const &[at, outcome] = *trials.rbegin();
        bool const isLost = std::ranges::any_of(lost_, [&, &trialAt = at, &tried = suspect](LostResponse const &response) {
            return response.at >= trialAt && contains(response, tried);
        });
        if (outcome == TrialOutcome::Unknown && !isLost && !isExcluded(suspect, at))
            until = std::max(until, at + std::chrono::duration_cast<milliseconds>(options_.trialSeparation));
    }
    return until;
}

std::map<Suspect, WallInstant> PromptQuarantine::quarantined(WallInstant now) const
{
    std::map<Suspect, WallInstant> found;
    for (auto const &verdict : verdicts_) {
        if (now < endOf(verdict))
            found.emplace(verdict.suspect, endOf(verdict));
    }
    return found;
}

bool PromptQuarantine::hasEnded(ServerProcess const &server) const
{
    return std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &response) { return response.server == server; });
}

bool PromptQuarantine::isSuspected(RequestSuspects const &suspects) const
{
    return std::any_of(lost_.begin(), lost_.end(), [&](LostResponse const &response) {
        bool isFound = false;
        forEachSuspect(response, [&](Suspect const &suspect, std::size_t) {
            isFound = isFound || (contains(suspects, suspect) && !isExcluded(suspect, response.at));
        });
        return isFound;
    });
}

std::set<ServerProcess> PromptQuarantine::unexplainedServers(Suspect const &suspect) const
{
    std::set<ServerProcess> servers;
    for (auto const &response : lost_) {
        bool const isExplained = std::any_of(verdicts_.begin(), verdicts_.end(), [&](Verdict const &verdict) {
            return verdict.suspect != suspect && verdict.certainty != Certainty::Explained && verdict.servers.contains(response.server);
        });
        if (contains(response, suspect) && !isExplained && !isExcluded(suspect, response.at))
            servers.insert(response.server);
    }
    return servers;
}

PromptEvidence PromptQuarantine::evidence() const
{
    PromptEvidence evidence{.lost = lost_, .answeredRequests = answeredRequests_, .trials = trials_};
    // What holds one quarantine stays together, as it is accepted only as a whole once it is old.
    std::stable_sort(evidence.lost.begin(), evidence.lost.end(), [&](LostResponse const &left, LostResponse const &right) {
        return verdictOf(left) < verdictOf(right);
    });
    for (auto const &response : lost_) {
        for (auto const &part : response.parts) {
            if (auto const found = answered_.find(part); found != answered_.end())
                evidence.answered.insert(*found);
        }
    }
    return evidence;
}

PromptEvidence PromptQuarantine::evidenceWithTrial(RequestSuspects const &suspects, WallInstant now) const
{
    auto evidence = this->evidence();
    for (auto const &verdict : verdicts_) {
        if (contains(suspects, verdict.suspect) && now >= endOf(verdict))
            evidence.trials[verdict.suspect].try_emplace(now, TrialOutcome::Unknown);
    }
    return evidence;
}

std::uint64_t PromptQuarantine::version() const
{
    return version_;
}

std::size_t PromptQuarantine::verdictOf(LostResponse const &response) const
{
    auto const found = std::find_if(verdicts_.begin(), verdicts_.end(), [&](Verdict const &verdict) {
        return verdict.servers.contains(response.server) && contains(response, verdict.suspect);
    });
    return static_cast<std::size_t>(found - verdicts_.begin());
}

bool PromptQuarantine::holdsQuarantine(LostResponse const &response) const
{
    return verdictOf(response) < verdicts_.size();
}

/// Removes what says least, so that instances with the same evidence keep the same. What holds a quarantine is kept, or its requests would
/// be sent to servers again.
void PromptQuarantine::limitLostResponses()
{
    if (lost_.size() <= options_.maxLostResponses)
        return;
    std::map<Suspect, std::set<ServerProcess>> servers;
    for (auto const &response : lost_) {
        forEachSuspect(response, [&](Suspect const &suspect, std::size_t) {
            if (!isExcluded(suspect, response.at))
                servers[suspect].insert(response.server);
        });
    }
    using Weight = std::tuple<bool, std::size_t, WallInstant>;
    std::vector<std::pair<Weight, std::size_t>> order;
    for (std::size_t index = 0; index < lost_.size(); ++index) {
        std::size_t count = 0;
        forEachSuspect(lost_[index], [&](Suspect const &suspect, std::size_t) {
            if (auto const found = servers.find(suspect); found != servers.end())
                count = std::max(count, found->second.size());
        });
        order.emplace_back(Weight(holdsQuarantine(lost_[index]), count, lost_[index].at), index);
    }
    std::sort(order.begin(), order.end());
    order.resize(lost_.size() - options_.maxLostResponses);
    std::sort(order.begin(), order.end(), [](auto const &left, auto const &right) { return left.second > right.second; });
    for (auto const &[weight, index] : order)
        lost_.erase(lost_.begin() + static_cast<std::ptrdiff_t>(index));
}

void PromptQuarantine::limitLostResponsesOf(ServerProcess const &server)
{
    std::size_t count = 0;
    auto longest = lost_.end();
    for (auto response = lost_.begin(); response != lost_.end(); ++response) {
        if (response->server != server)
            continue;
        ++count;
        bool const isLonger = longest == lost_.end() || response->runTime > longest->runTime;
        if (isLonger && !holdsQuarantine(*response))
            longest = response;
    }
    if (count > options_.maxLostResponsesPerServer && longest != lost_.end())
        lost_.erase(longest);
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
