#include "LibRouting/ServerChooser.h"

#include "LibCore/Rendezvous.h"
#include "LibRouting/ArrivalSpread.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace Anvilyard::Routing {

namespace {

/// Share of the prompt that the home server of a group is assumed to have cached. It is less than that of a server known to
/// have most of it.
constexpr double HomeCachedShare = 0.5;
/// Represents the load of a server that gets no further requests.
constexpr double Full = std::numeric_limits<double>::infinity();
/// Takes the place of an id in the draw that chooses among servers.
constexpr std::uint64_t SpreadDraw = 1;
constexpr std::size_t InvalidIndex = std::numeric_limits<std::size_t>::max();

/// Mixes two hashes. It must be cheap, as it runs for each candidate of a choice.
std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15ULL);
    value ^= value >> 32;
    value *= 0xD6E8FEB86659FD93ULL;
    value ^= value >> 32;
    return value;
}

/// Derives a value from 0 to 1 for each candidate from the one random number drawn for the choice, which is cheaper than a
/// draw each.
double drawFor(std::uint64_t seed, std::uint64_t idHash)
{
    constexpr double Scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(mix(seed, idHash) >> 11) * Scale;
}

} // namespace

ServerChooser::ServerChooser(ChooserOptions options)
    : options_(std::move(options))
    , prefixes_(options_.prefixCapacity)
{
}

double ServerChooser::distanceCost(Fleet::BackendServer const &server) const
{
    return server.dataCentre == options_.dataCentre ? 0 : options_.spillMargin;
}

/// Sorts by rendezvous score and puts the subset first: local servers up to their share, then the others with the best
/// scores.
void ServerChooser::rank(std::vector<Fleet::BackendServer> &servers) const
{
    struct Ranked {
        std::uint64_t score;
        bool isLocal;
        Fleet::BackendServer server;
    };
    std::vector<Ranked> ranked;
    ranked.reserve(servers.size());
    for (auto &server : servers) {
        auto const score = rendezvousScore(options_.instance.value(), server.id.value());
        ranked.push_back({score, server.dataCentre == options_.dataCentre, std::move(server)});
    }
    std::sort(ranked.begin(), ranked.end(), [](auto const &left, auto const &right) {
        return left.score != right.score ? left.score > right.score : left.server.id < right.server.id;
    });
    auto localLeft = static_cast<std::size_t>(static_cast<double>(options_.subsetSize) * options_.localShare);
    std::stable_partition(
        ranked.begin(), ranked.end(), [&](auto const &entry) { return entry.isLocal && localLeft > 0 && localLeft-- > 0; });
    servers.clear();
    for (auto &entry : ranked)
        servers.push_back(std::move(entry.server));
}

void ServerChooser::setServers(std::span<Fleet::BackendServer const> servers)
{
    std::vector<Fleet::BackendServer> ready;
    for (auto const &server : servers) {
        if (server.state == Fleet::ServerState::Ready)
            ready.push_back(server);
    }
    rank(ready);
    std::vector<Candidate> candidates;
    std::unordered_map<ServerId, std::size_t> indexOf;
    bool isSameOrder = ready.size() == servers_.size();
    for (std::size_t index = 0; index < ready.size(); ++index) {
        auto const &server = ready[index];
        auto const known = indexOf_.find(server.id);
        auto candidate = known == indexOf_.end() ? Candidate{} : candidates_[known->second];
        candidate.distanceCost = distanceCost(server);
        candidate.idHash = XXH3_64bits(server.id.value().data(), server.id.value().size());
        candidates.push_back(candidate);
        isSameOrder = isSameOrder && servers_[index].id == server.id;
        indexOf.emplace(server.id, index);
    }
    // The prefix index numbers servers by rank, so it is invalid after a change of order.
    if (!isSameOrder)
        prefixes_.clear();
    servers_ = std::move(ready);
    candidates_ = std::move(candidates);
    indexOf_ = std::move(indexOf);
    std::erase_if(loadedModels_, [&](auto const &entry) { return !indexOf_.contains(entry.first); });
    cachedShares_.assign(servers_.size(), 0);
    matched_.assign(servers_.size(), 0);
    loads_.assign(servers_.size(), 0);
    subsetCount_ = std::min(servers_.size(), options_.subsetSize);
    meanOthers_.reset();
}

void ServerChooser::setEjected(std::set<ServerId> const &ejected)
{
    for (std::size_t index = 0; index < servers_.size(); ++index)
        candidates_[index].isEjected = ejected.contains(servers_[index].id);
}

ServerChooser::Candidate *ServerChooser::find(ServerId const &server)
{
    auto const found = indexOf_.find(server);
    return found == indexOf_.end() ? nullptr : &candidates_[found->second];
}

void ServerChooser::onStarted(ServerId const &server, PromptPrefix const *prefix)
{
    auto *candidate = find(server);
    if (!candidate)
        return;
    candidate->ownInFlight += 1;
    if (prefix)
        prefixes_.add(static_cast<PrefixIndex::ServerNumber>(indexOf_.at(server)), prefix->hashes());
}

void ServerChooser::onFinished(ServerId const &server)
{
    if (auto *candidate = find(server))
        candidate->ownInFlight = std::max(0.0, candidate->ownInFlight - 1);
}

void ServerChooser::onLoadReport(ServerId const &server, LoadReport const &report, Instant now)
{
    auto *candidate = find(server);
    if (!candidate)
        return;
    auto const total = report.running + options_.waitingWeight * report.waiting;
    candidate->othersAtReport = std::max(0.0, total - candidate->ownInFlight);
    candidate->reportedAt = now;
    candidate->hasReport = true;
    candidate->slots = report.slots;
    candidate->slowness = report.slowness;
    candidate->departures = report.departures;
    meanOthers_.reset();
}

double ServerChooser::meanOthers() const
{
    if (meanOthers_)
        return *meanOthers_;
    double sum = 0;
    double count = 0;
    for (auto const &candidate : candidates_) {
        if (candidate.hasReport) {
            sum += candidate.othersAtReport;
            count += 1;
        }
    }
    meanOthers_ = count > 0 ? sum / count : 0;
    return *meanOthers_;
}

/// A request that waits at a slow server waits longer, and one that runs there takes longer.
double ServerChooser::pacedLoad(Candidate const &candidate, double load) const
{
    if (candidate.slots == std::numeric_limits<double>::infinity())
        return load;
    auto const remaining = load - candidate.departures;
    auto const waiting = std::max(0.0, remaining - candidate.slots);
    return remaining + waiting * (candidate.slowness - 1) + options_.slownessWeight * (candidate.slowness - 1);
}

bool ServerChooser::hasModel(Candidate const &candidate, std::uint64_t modelBit)
{
    return (candidate.models & modelBit) != 0;
}

std::uint64_t ServerChooser::bitOf(std::string_view model)
{
    if (model.empty())
        return AnyModel;
    if (auto const known = modelBits_.find(model); known != modelBits_.end())
        return known->second;
    constexpr std::size_t Bits = 64;
    auto const bit = modelBits_.size() < Bits ? std::uint64_t{1} << modelBits_.size() : AnyModel;
    modelBits_.emplace(model, bit);
    for (auto const &[server, models] : loadedModels_) {
        if (auto *candidate = find(server))
            candidate->models = bitsOf(models);
    }
    return bit;
}

std::uint64_t ServerChooser::bitsOf(std::set<std::string> const &models) const
{
    std::uint64_t bits = 0;
    for (auto const &model : models) {
        if (auto const known = modelBits_.find(model); known != modelBits_.end())
            bits |= known->second;
    }
    return bits;
}

void ServerChooser::onModels(ServerId const &server, std::set<std::string> models)
{
    auto *candidate = find(server);
    if (!candidate)
        return;
    candidate->models = bitsOf(models);
    loadedModels_[server] = std::move(models);
}

void ServerChooser::onCacheStored(ServerId const &server, std::uint64_t hash)
{
    if (auto const found = indexOf_.find(server); found != indexOf_.end())
        prefixes_.confirm(static_cast<PrefixIndex::ServerNumber>(found->second), hash);
}

void ServerChooser::onCacheEvicted(ServerId const &server, std::uint64_t hash)
{
    if (auto const found = indexOf_.find(server); found != indexOf_.end())
        prefixes_.remove(static_cast<PrefixIndex::ServerNumber>(found->second), hash);
}

void ServerChooser::onCacheUnknown(ServerId const &server)
{
    if (auto const found = indexOf_.find(server); found != indexOf_.end())
        prefixes_.invalidateServer(static_cast<PrefixIndex::ServerNumber>(found->second));
}

/// Our own requests in flight are exact. The estimate of the others' requests moves from the last report towards the pool's
/// mean as the report ages.
double ServerChooser::expectedLoad(Candidate const &candidate, Instant now, double &reportWeight) const
{
    reportWeight = 0;
    if (candidate.hasReport) {
        auto const age = static_cast<double>(std::max(Duration(0), now - candidate.reportedAt).count());
        auto const halfLife = static_cast<double>(options_.reportHalfLife.count());
        reportWeight = halfLife / (halfLife + age);
    }
    return candidate.ownInFlight + reportWeight * candidate.othersAtReport + (1 - reportWeight) * meanOthers();
}

double ServerChooser::expectedLoad(ServerId const &server, Instant now) const
{
    auto const found = indexOf_.find(server);
    double reportWeight = 0;
    return found == indexOf_.end() ? 0 : expectedLoad(candidates_[found->second], now, reportWeight);
}

double ServerChooser::ownInFlight(ServerId const &server) const
{
    auto const found = indexOf_.find(server);
    return found == indexOf_.end() ? 0 : candidates_[found->second].ownInFlight;
}

double ServerChooser::expectedLevel() const
{
    return expectedLevel_;
}

Room ServerChooser::room(std::string_view model, Instant now)
{
    auto const modelBit = bitOf(model);
    auto room = Room::NoServer;
    for (auto const &candidate : candidates_) {
        if (candidate.isEjected || !hasModel(candidate, modelBit))
            continue;
        double reportWeight = 0;
        if (expectedLoad(candidate, now, reportWeight) < options_.maxLoad)
            return Room::Free;
        room = Room::Full;
    }
    return room;
}

std::vector<Fleet::BackendServer> ServerChooser::subset() const
{
    return {servers_.begin(), servers_.begin() + static_cast<std::ptrdiff_t>(subsetCount_)};
}

/// Returns the home server of the prompt's group: the one to use while no server is known to have the prompt cached. It is
/// the same on every instance that has the server in its subset.
std::size_t ServerChooser::homeServerOf(PromptPrefix const &prefix, std::uint64_t modelBit, std::size_t count) const
{
    std::size_t home = InvalidIndex;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < count; ++index) {
        auto const &candidate = candidates_[index];
        if (candidate.isEjected || candidate.distanceCost > 0 || !hasModel(candidate, modelBit))
            continue;
        if (auto const score = mix(prefix.groupHash(), candidate.idHash); home == InvalidIndex || score > highest) {
            highest = score;
            home = index;
        }
    }
    return home;
}

/// Sets the share of the prompt that each server has cached. A prefix is usable only together with everything before it.
void ServerChooser::updateCachedShares(PromptPrefix const &prefix, std::uint64_t modelBit, std::size_t count)
{
    std::fill_n(cachedShares_.begin(), count, 0.0);
    auto const &hashes = prefix.hashes();
    if (hashes.empty())
        return;
    std::fill_n(matched_.begin(), count, 0);
    std::size_t maxMatched = 0;
    prefixes_.match(hashes, [&](PrefixIndex::ServerNumber server, std::size_t matched) {
        if (server >= count || matched_[server] + 1 != matched)
            return;
        matched_[server] = matched;
        maxMatched = std::max(maxMatched, matched);
        cachedShares_[server] = static_cast<double>(matched) / static_cast<double>(hashes.size());
    });
    // If a server already has most of the prompt cached, the home server gets no preference.
    if (static_cast<double>(maxMatched) > HomeCachedShare * static_cast<double>(hashes.size()))
        return;
    if (auto const home = homeServerOf(prefix, modelBit, count); home != InvalidIndex)
        cachedShares_[home] = std::max(cachedShares_[home], HomeCachedShare);
}

bool ServerChooser::isExcluded(std::size_t index, std::span<ServerId const> excluded) const
{
    return std::find(excluded.begin(), excluded.end(), servers_[index].id) != excluded.end();
}

std::size_t
ServerChooser::bestCandidate(ChoiceRequest const &request, std::size_t begin, std::size_t end, Instant now, RandomSource &random)
{
    auto const seed = random();
    auto const modelBit = bitOf(request.model);
    double total = 0;
    double ownTotal = 0;
    for (std::size_t index = begin; index < end; ++index) {
        double reportWeight = 0;
        auto const load = expectedLoad(candidates_[index], now, reportWeight);
        total += load;
        ownTotal += candidates_[index].ownInFlight;
        // Instances with the same outdated reports would all choose the same server. The less a report can be trusted, the
        // larger is the random part.
        loads_[index] = load >= options_.maxLoad
            ? Full
            : pacedLoad(candidates_[index], load) + (1 - reportWeight) * drawFor(seed, candidates_[index].idHash);
    }
    auto const count = static_cast<double>(std::max<std::size_t>(1, end - begin));
    auto const bound = options_.affinityLoadBound * (total / count) + 1;
    // The load reported by servers includes batch work. Without a bound on our own requests, affinity could send a complete
    // burst to one server of a pool full of batch work.
    auto const ownBound = options_.affinityLoadBound * (ownTotal / count) + 1;
    costs_.assign(end - begin, Full);
    steps_.assign(end - begin, 1);
    for (std::size_t index = begin; index < end; ++index) {
        auto const &candidate = candidates_[index];
        if (candidate.isEjected || !hasModel(candidate, modelBit) || loads_[index] == Full || isExcluded(index, request.excluded))
            continue;
        auto score = loads_[index] + candidate.distanceCost;
        if (request.prefix && loads_[index] <= bound && candidate.ownInFlight <= ownBound)
            score -= options_.affinityWeight * cachedShares_[index];
        costs_[index - begin] = score;
        steps_[index - begin] = loads_[index] >= candidate.slots ? candidate.slowness : 1;
    }
    auto const chosen = chooseBySpread(costs_, steps_, request.unreportedArrivals, drawFor(seed, SpreadDraw));
    expectedLevel_ = chosen ? chosen->level : 0;
    return chosen ? begin + chosen->index : InvalidIndex;
}

Fleet::BackendServer const *ServerChooser::choose(ChoiceRequest const &request, Instant now, RandomSource &random)
{
    if (request.prefix)
        updateCachedShares(*request.prefix, bitOf(request.model), subsetCount_);
    auto chosen = bestCandidate(request, 0, subsetCount_, now, random);
    // Servers outside the subset are used only if none of the subset is available.
    if (chosen == InvalidIndex && subsetCount_ < servers_.size()) {
        auto const anyServer = ChoiceRequest{.model = request.model, .excluded = request.excluded};
        chosen = bestCandidate(anyServer, subsetCount_, servers_.size(), now, random);
    }
    return chosen == InvalidIndex ? nullptr : &servers_[chosen];
}

} // namespace Anvilyard::Routing
