#include "Services/Node/FleetFollower.h"

#include "LibObserve/Events.h"

#include <algorithm>
#include <boost/json.hpp>

namespace Anvilyard::Node {

namespace json = boost::json;

namespace {

/// The latency of the store's watch explains being behind a peer for less than this.
constexpr Duration ExpectedWatchLag = 400ms;
/// Time over which the instances of a data centre spread their calls for the same change.
constexpr Duration MaxPeerLag = 100ms;
/// An instance that gets changes from peers calls one of another data centre only if none of its own has the change within this time.
constexpr Duration ExpectedNearLag = 1500ms;
/// Number of removed servers up to which a peer gets changes instead of the complete list.
constexpr std::size_t MaxRemovals = 500;
/// A peer that gets the complete list within this time after the return of the store keeps servers whose registrations lapsed.
constexpr Duration RegistryReturnNotice = 5s;
constexpr Duration PeerCallInterval = 300ms;
constexpr Duration PeerCallTimeout = 600ms;
/// Registrations lapse after three heartbeat intervals of more than a second each, so none lapses during a shorter outage.
constexpr Duration MinOutageForLapse = 1s;
/// A lost call of the store is noticed within this time and the store's return timeout. Together with the reports to peers this is less
/// than the time within which changes have to be in force after an outage of the store.
constexpr std::chrono::milliseconds ShortHoldTime = 1s;

std::uint64_t revisionNumber(Platform::ResourceVersion const &version)
{
    return version.value().empty() ? 0 : std::stoull(version.value());
}

} // namespace

FleetFollower::FleetFollower(NodeContext &context, std::function<void()> onStateChanged)
    : context_(context)
    , onStateChanged_(std::move(onStateChanged))
    , stateFollower_({
          .loop = context.loop,
          .store = context.store,
          .kind = context.protocol.records().desiredStateKind,
          .random = context.random,
          .firstList = Platform::ListConsistency::MayBeStale,
          .hooks = {
              .onListed =
                  [this](std::vector<Platform::Object> objects, Platform::ResourceVersion const &) {
                      for (auto const &object : objects) {
                          if (object.name == context_.protocol.records().desiredStateName)
                              applyState(object.spec);
                      }
                  },
              .onChange =
                  [this](Platform::WatchChange change, Platform::Object const &object) {
                      if (change != Platform::WatchChange::Deleted && object.name == context_.protocol.records().desiredStateName)
                          applyState(object.spec);
                  },
              .holdTime = [this] { return holdTime(); },
          },
      })
    , serverFollower_({
          .loop = context.loop,
          .store = context.store,
          .kind = context.protocol.records().serverKind,
          .random = context.random,
          .firstList = Platform::ListConsistency::MayBeStale,
          .hooks = {
              .onListed = [this](std::vector<Platform::Object> const &objects,
                                 Platform::ResourceVersion const &version) { applyServerList(objects, revisionNumber(version)); },
              .onChange = [this](Platform::WatchChange change, Platform::Object const &object) { applyServerChange(change, object); },
              .onProgress =
                  [this](Platform::ResourceVersion const &version) {
                      serversRevision_ = std::max(serversRevision_, revisionNumber(version));
                  },
              .onRecovered =
                  [this](Duration outage) {
                      if (outage < MinOutageForLapse)
                          return;
                      registryReturnedAt_ = readLocalClock();
                      context_.directory.onRegistryReturned(*registryReturnedAt_);
                  },
              .holdTime = [this] { return holdTime(); },
          },
      })
{
}

void FleetFollower::start()
{
    stateFollower_.pause();
    serverFollower_.pause();
    stateFollower_.start();
    serverFollower_.start();
}

void FleetFollower::setChangeSource(Serving::ChangeSource source)
{
    if (std::exchange(source_, source) == source)
        return;
    Observe::log(Observe::Events::NodeChangeSource, {{"source", source == Serving::ChangeSource::Store ? "store" : "peers"}});
    for (auto *follower : {&stateFollower_, &serverFollower_}) {
        if (source == Serving::ChangeSource::Store)
            follower->resume();
        else
            follower->pause();
    }
}

void FleetFollower::setWatchHold(Serving::WatchHold hold)
{
    if (std::exchange(watchHold_, hold) == hold || hold == Serving::WatchHold::Default)
        return;
    // The current calls may be held for long.
    for (auto *follower : {&stateFollower_, &serverFollower_})
        follower->renewWatch(readLocalClock());
}

std::optional<std::chrono::milliseconds> FleetFollower::holdTime() const
{
    return watchHold_ == Serving::WatchHold::Short ? std::optional(ShortHoldTime) : std::nullopt;
}

void FleetFollower::applyState(std::string const &spec)
{
    auto state = context_.protocol.readDesiredState(spec);
    if (!state) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", "desired state"}, {"error", state.error().toString()}});
        return;
    }
    if (context_.routes && state->version <= context_.routes->state().version)
        return;
    Observe::log(Observe::Events::NodeStateInForce,
                 {{"version", std::to_string(state->version.value())}, {"routes", std::to_string(state->routes.size())}});
    stateSpec_ = spec;
    context_.routes = std::make_shared<Serving::RouteTable const>(std::move(*state));
    onStateChanged_();
}

void FleetFollower::applyServerList(std::vector<Platform::Object> const &objects, std::uint64_t revision)
{
    // The list is older than the snapshot of a peer that is already applied.
    if (revision < serversRevision_)
        return;
    serversRevision_ = revision;
    hasServers_ = true;
    servers_.clear();
    removals_.clear();
    removalsSince_ = revision;
    std::vector<Serving::ServerRecord> records;
    for (auto const &object : objects) {
        ServerId const id(object.name.value());
        auto record = context_.protocol.readServer(id, object.spec);
        // Peers get no text that cannot be read, as it would hide the other servers from them.
        servers_[id] = {.revision = revisionNumber(object.version), .spec = record ? object.spec : std::string()};
        if (record)
            records.push_back(std::move(*record));
        else
            Observe::log(Observe::Events::NodeRecordRejected, {{"record", id.value()}, {"error", record.error().toString()}});
    }
    auto const now = readLocalClock();
    context_.directory.onListed(std::move(records), now);
    publishServers(now);
}

void FleetFollower::applyServerChange(Platform::WatchChange change, Platform::Object const &object)
{
    if (auto const now = readLocalClock(); recordServerChange(change, object, now))
        publishServers(now);
}

bool FleetFollower::recordServerChange(Platform::WatchChange change, Platform::Object const &object, Instant now)
{
    ServerId const id(object.name.value());
    auto const revision = revisionNumber(object.version);
    auto const known = servers_.find(id);
    // The store's watch may deliver changes that are older than a snapshot of a peer that is already applied.
    if (known != servers_.end() ? revision < known->second.revision
                                : revision <= serversRevision_ && change != Platform::WatchChange::Deleted)
        return false;
    if (change == Platform::WatchChange::Deleted) {
        // A peer reported the removal first, or the watch resumed from an older revision.
        if (known == servers_.end())
            return false;
        servers_.erase(id);
        // The event may carry the revision of the last change before the removal, which peers have already.
        auto const removedAt = std::max(revision, serversRevision_ + 1);
        serversRevision_ = removedAt;
        removals_.emplace_back(removedAt, id);
        if (removals_.size() > MaxRemovals) {
            removalsSince_ = removals_.front().first;
            removals_.pop_front();
        }
        context_.directory.onUnregistered(id, now);
        Observe::log(Observe::Events::NodeServerUnregistered, {{"server", id.value()}, {"revision", std::to_string(revision)}});
    } else {
        auto record = context_.protocol.readServer(id, object.spec);
        servers_[id] = {.revision = revision, .spec = record ? object.spec : std::string()};
        if (record) {
            Observe::log(Observe::Events::NodeServerRegistered,
                         {{"server", id.value()},
                          {"state", record->state == Serving::ServerRecord::State::Ready ? "ready" : "draining"},
                          {"started_at", std::to_string(record->startedAt)},
                          {"software_version", record->softwareVersion.value()},
                          {"revision", std::to_string(revision)}});
            context_.directory.onRegistered(std::move(*record), now);
        } else {
            // A server whose record cannot be parsed must not be used.
            Observe::log(Observe::Events::NodeRecordRejected, {{"record", id.value()}, {"error", record.error().toString()}});
            context_.directory.onUnregistered(id, now);
        }
    }
    serversRevision_ = std::max(serversRevision_, revision);
    return true;
}

void FleetFollower::publishServers(Instant now)
{
    std::map<ServerId, PoolName> members;
    auto servers = context_.directory.usable(now);
    for (auto const &server : servers)
        members.emplace(server.record.id, server.record.pool);
    context_.health.setServers(members);
    context_.reach.setServers(members);
    context_.placement.setServers(std::move(servers), context_.health.ejected());
    nextServerChange_ = context_.directory.nextChange(now);
    ++context_.serversVersion;
}

void FleetFollower::onTick(Instant now)
{
    if (nextServerChange_ && now >= *nextServerChange_)
        publishServers(now);
}

void FleetFollower::onEjectionsChanged()
{
    publishServers(readLocalClock());
}

void FleetFollower::onServerLeaving(Serving::ServerRecord const &server)
{
    auto const now = readLocalClock();
    if (!context_.directory.onLeavingStated(server, now))
        return;
    Observe::log(Observe::Events::NodeServerLeaving, {{"server", server.id.value()}});
    publishServers(now);
}

/// For how long being behind the peer has a harmless reason.
Duration FleetFollower::expectedLag(PeerProgress const &progress) const
{
    if (!isComplete())
        return Duration::zero();
    if (source_ == Serving::ChangeSource::Store)
        return ExpectedWatchLag;
    return progress.dataCentre == context_.settings.dataCentre ? peerLag_ : ExpectedNearLag;
}

void FleetFollower::onPeerProgress(PeerProgress const &progress, Instant now)
{
    auto const ownVersion = context_.routes ? context_.routes->state().version : Serving::StateVersion(0);
    if (behind_ && ownVersion >= behind_->stateVersion && serversRevision_ >= behind_->serversRevision)
        behind_.reset();
    bool const isBehind = progress.stateVersion > ownVersion || progress.serversRevision.value() > serversRevision_;
    if (!isBehind)
        return;
    if (!behind_) {
        behind_ = {.since = now, .stateVersion = progress.stateVersion, .serversRevision = progress.serversRevision.value()};
        std::uniform_int_distribution<Duration::rep> spread(0, MaxPeerLag.count());
        peerLag_ = Duration(spread(context_.random));
    }
    if (now - behind_->since >= expectedLag(progress) && now >= nextPeerCall_)
        requestChanges(progress.peer, now);
}

void FleetFollower::requestChanges(Address const &peer, Instant now)
{
    nextPeerCall_ = now + PeerCallInterval;
    auto const version = context_.routes ? context_.routes->state().version : Serving::StateVersion(0);
    auto const revision = hasServers_ ? serversRevision_ : 0;
    Http::ClientRequest request{
        .server = peer,
        .request = {.method = "GET", .target = "/fleet?state=" + std::to_string(version.value()) + "&since=" + std::to_string(revision)},
        .deadline = now + PeerCallTimeout,
        .connectTimeout = PeerCallTimeout,
    };
    context_.peerClient->fetch(std::move(request), [this](tl::expected<Http::HttpResponse, Http::ExchangeFailure> answer) {
        if (answer && answer->status == 200)
            applyChanges(answer->body);
    });
}

std::string FleetFollower::changesSince(Serving::StateVersion version, std::uint64_t revision) const
{
    bool const hasAllRemovals = revision >= removalsSince_ && revision > 0;
    json::array servers;
    for (auto const &[id, known] : servers_) {
        if (!hasAllRemovals || known.revision > revision)
            servers.push_back(json::array{id.value(), known.revision, known.spec});
    }
    json::array removed;
    if (hasAllRemovals) {
        for (auto const &[removedAt, id] : removals_) {
            if (removedAt > revision)
                removed.push_back(json::array{id.value(), removedAt});
        }
    }
    bool const hasNewerState = context_.routes && context_.routes->state().version > version;
    json::object versions;
    for (auto const &[pool, recorded] : context_.versions.all())
        versions[pool.value()] = Serving::encodeVersions(recorded);
    json::object changes{
        {"versions", std::move(versions)},
        {"state", hasNewerState ? stateSpec_ : std::string()},
        {"revision", serversRevision_},
        {"complete", !hasAllRemovals},
        {"servers", std::move(servers)},
        {"removed", std::move(removed)},
    };
    auto const now = readLocalClock();
    if (registryReturnedAt_ && now - *registryReturnedAt_ < RegistryReturnNotice)
        changes["returned_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - *registryReturnedAt_).count();
    return json::serialize(changes);
}

void FleetFollower::applyChanges(std::string_view text)
try {
    auto const value = json::parse(text);
    auto const &object = value.as_object();
    if (auto const &state = object.at("state").as_string(); !state.empty())
        applyState(std::string(state));
    if (auto const *versions = object.if_contains("versions")) {
        for (auto const &[pool, recorded] : versions->as_object()) {
            if (auto const known = Serving::decodeVersions(recorded.as_string()))
                context_.versions.onRecorded(PoolName(std::string(pool)), *known, readLocalClock());
        }
    }
    auto const revision = object.at("revision").to_number<std::uint64_t>();
    if (revision <= serversRevision_)
        return;
    Observe::log(Observe::Events::NodeLearntFromPeer, {{"revision", std::to_string(revision)}});
    if (auto const *returned = object.if_contains("returned_ms")) {
        registryReturnedAt_ = readLocalClock() - std::chrono::milliseconds(returned->to_number<std::int64_t>());
        context_.directory.onRegistryReturned(*registryReturnedAt_);
    }
    auto const toObject = [](json::array const &fields) {
        return Platform::Object{
            .name = Platform::ObjectName(std::string(fields.at(0).as_string())),
            .version = Platform::ResourceVersion(std::to_string(fields.at(1).to_number<std::uint64_t>())),
            .spec = fields.size() > 2 ? std::string(fields.at(2).as_string()) : std::string(),
        };
    };
    std::vector<Platform::Object> objects;
    for (auto const &entry : object.at("servers").as_array())
        objects.push_back(toObject(entry.as_array()));
    // Peers of the previous version always send the complete list.
    if (!object.contains("complete") || object.at("complete").as_bool())
        return applyServerList(objects, revision);
    // In the order of their revisions, since an id may be removed and registered again.
    std::vector<std::pair<Platform::WatchChange, Platform::Object>> changes;
    for (auto const &entry : object.at("removed").as_array())
        changes.emplace_back(Platform::WatchChange::Deleted, toObject(entry.as_array()));
    for (auto &changed : objects)
        changes.emplace_back(Platform::WatchChange::Modified, std::move(changed));
    std::stable_sort(changes.begin(), changes.end(), [](auto const &left, auto const &right) {
        return revisionNumber(left.second.version) < revisionNumber(right.second.version);
    });
    auto const now = readLocalClock();
    for (auto const &[change, changed] : changes)
        recordServerChange(change, changed, now);
    serversRevision_ = std::max(serversRevision_, revision);
    publishServers(now);
} catch (std::exception const &exception) {
    Observe::log(Observe::Events::NodeRecordRejected, {{"record", "changes from a peer"}, {"error", exception.what()}});
}

Serving::StoreRevision FleetFollower::serversRevision() const
{
    return Serving::StoreRevision(hasServers_ ? serversRevision_ : 0);
}

bool FleetFollower::isComplete() const
{
    return hasServers_ && context_.routes != nullptr;
}

} // namespace Anvilyard::Node
