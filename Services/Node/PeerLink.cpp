#include "Services/Node/PeerLink.h"

#include "LibObserve/Events.h"

#include <boost/json.hpp>

namespace Anvilyard::Node {

namespace json = boost::json;

namespace {

Platform::Kind const instanceKind("instances");
/// Longest time between two reports: a peer that misses five in a row is taken for gone.
constexpr Duration ReportInterval = 250ms;
constexpr Duration RegisterPause = 500ms;

std::string encodeRegistration(NodeSettings const &settings)
{
    return json::serialize(json::object{{"address", settings.peers.value()}});
}

} // namespace

PeerLink::PeerLink(NodeContext &context, FleetFollower &fleet, std::function<void()> onLoadNews)
    : context_(context)
    , fleet_(fleet)
    , onLoadNews_(std::move(onLoadNews))
    , instanceFollower_({
          .loop = context.loop,
          .store = context.store,
          .kind = instanceKind,
          .random = context.random,
          .hooks = {
              .onListed =
                  [this](std::vector<Platform::Object> const &objects, Platform::ResourceVersion const &) {
                      for (auto const &object : objects)
                          takeInstance(Platform::WatchChange::Added, object);
                  },
              .onChange = [this](Platform::WatchChange change, Platform::Object const &object) { takeInstance(change, object); },
          },
      })
{
}

Result<std::monostate> PeerLink::start()
{
    startedAt_ = readClocks().wall.time_since_epoch().count();
    auto socket = DatagramSocket::open(context_.loop, context_.settings.peers, [this](std::string_view content) { onDatagram(content); });
    if (!socket)
        return tl::unexpected(socket.error());
    socket_ = std::move(*socket);
    registerSelf();
    instanceFollower_.start();
    return std::monostate{};
}

/// Creates this instance's registration, or replaces one of an earlier life at another address.
void PeerLink::registerSelf()
{
    Platform::ObjectName const name(context_.settings.instance.value());
    auto const retry = [this](Error const &error) {
        Observe::log(Observe::Events::NodeRegistrationFailed, {{"error", error.toString()}});
        registerTimer_ = context_.loop.at(readLocalClock() + RegisterPause, [this] { registerSelf(); });
    };
    auto const replace = [this, name, retry] {
        Platform::Object object{.name = name, .spec = encodeRegistration(context_.settings)};
        context_.store.update(Platform::CallClass::Lease, instanceKind, std::move(object), [retry](Result<Platform::Object> updated) {
            if (!updated)
                retry(updated.error());
        });
    };
    context_.store.create(Platform::CallClass::Lease,
                          instanceKind,
                          name,
                          encodeRegistration(context_.settings),
                          [retry, replace](Result<Platform::Object> created) {
                              if (created)
                                  return;
                              if (created.error().code == Platform::PlatformError::AlreadyExists)
                                  return replace();
                              retry(created.error());
                          });
}

void PeerLink::takeInstance(Platform::WatchChange change, Platform::Object const &object)
{
    InstanceId const id(object.name.value());
    if (id == context_.settings.instance)
        return;
    if (change == Platform::WatchChange::Deleted) {
        addresses_.erase(id);
        return;
    }
    boost::system::error_code error;
    auto const value = json::parse(object.spec, error);
    auto const *fields = error ? nullptr : value.if_object();
    auto const *address = fields ? fields->if_contains("address") : nullptr;
    if (!address || !address->is_string()) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", id.value()}, {"error", "no address"}});
        return;
    }
    addresses_[id] = Address(std::string(address->get_string()));
    mustReport_ = true;
}

void PeerLink::onDatagram(std::string_view content)
{
    auto report = Serving::decodePeerReport(content);
    if (!report) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", "report of a peer"}, {"error", report.error().toString()}});
        return;
    }
    if (report->sender == context_.settings.instance)
        return;
    auto const now = readLocalClock();
    addresses_[report->sender] = report->address;
    auto const sender = report->sender;
    if (!context_.peers.find(sender)) {
        Observe::log(Observe::Events::NodePeerHeard, {{"peer", sender.value()}});
        // It may not know of us yet.
        mustReport_ = true;
    }
    if (!context_.peers.onReport(std::move(*report), now))
        return;
    if (context_.settings.role == Serving::InstanceRole::Runner)
        onLoadNews_();
    fleet_.onPeerAhead(*context_.peers.find(sender), now);
}

void PeerLink::onTick(Instant now)
{
    context_.peers.onTick(now);
    bool const isDue = mustReport_ || context_.load.changes() != reportedLoad_ || now - reportedAt_ >= ReportInterval;
    if (isDue)
        sendReport(now);
}

void PeerLink::sendReport(Instant now)
{
    mustReport_ = false;
    reportedLoad_ = context_.load.changes();
    reportedAt_ = now;
    auto const content = Serving::encodePeerReport({
        .sender = context_.settings.instance,
        .startedAt = startedAt_,
        .number = ++reports_,
        .role = context_.settings.role,
        .stage = stage_,
        .store = store_,
        .dataCentre = context_.settings.dataCentre,
        .address = context_.settings.peers,
        .stateVersion = context_.routes ? context_.routes->state().version : Serving::StateVersion(0),
        .serversRevision = fleet_.serversRevision(),
        .runnersSeen = context_.peers.runnersSeen(),
        .runnersHeard = context_.peers.runnersHeard(),
        .inFlight = context_.load.all(),
        .waitingTokens = waitingTokens_,
    });
    for (auto const &[id, address] : addresses_)
        socket_->send(address, content);
}

void PeerLink::setStage(Serving::InstanceStage stage)
{
    stage_ = stage;
    mustReport_ = true;
    auto const now = readLocalClock();
    context_.peers.setOwnStage(stage, now);
    onTick(now);
}

void PeerLink::setStore(Serving::StoreReach reach)
{
    if (std::exchange(store_, reach) == reach)
        return;
    Observe::log(Observe::Events::NodeStoreReachChanged, {{"store", reach == Serving::StoreReach::Reached ? "reached" : "lost"}});
    mustReport_ = true;
    context_.peers.setOwnStore(reach, readLocalClock());
}

void PeerLink::setWaitingTokens(std::uint64_t tokens)
{
    mustReport_ = mustReport_ || tokens != waitingTokens_;
    waitingTokens_ = tokens;
}

} // namespace Anvilyard::Node
