#include "Agent.h"

#include "LibObserve/Events.h"
#include "LibPeer/PeerError.h"

#include <future>

namespace Anvilyard::Agent {

namespace {

namespace Events = Observe::Events;

constexpr Duration TickInterval = 200ms;
constexpr Duration ExchangeTimeout = 800ms;
/// Timeout of a probe that this agent makes on behalf of another one.
constexpr Duration HelperProbeTimeout = 500ms;
/// Longer than HelperProbeTimeout, since it includes the helper's own probe.
constexpr Duration IndirectProbeTimeout = 900ms;
constexpr Duration StatusInterval = 1s;
/// Time that a planned stop waits for peers to acknowledge that this instance is leaving.
constexpr Duration LeaveTimeout = 1s;

std::string toText(Generation generation)
{
    return std::to_string(generation.value());
}

} // namespace

Result<std::unique_ptr<Agent>> Agent::create(AgentSettings settings, Observe::MetricsRegistry &metrics, Observe::Tracer &tracer)
{
    std::unique_ptr<Agent> agent(new Agent(std::move(settings), metrics, tracer));
    if (auto const outcome = agent->listen(); !outcome)
        return tl::unexpected(outcome.error());
    agent->startNode();
    return agent;
}

Agent::Agent(AgentSettings settings, Observe::MetricsRegistry &metrics, Observe::Tracer &tracer)
    : settings_(std::move(settings))
    , tracer_(tracer)
    , generationGauge_(metrics.gauge("anvilyard_agent_generation_in_force", "Number of the rules generation in force"))
    , instancesGauge_(metrics.gauge("anvilyard_agent_instances_live", "Instances known that are not dead, this one included"))
    , exchangesAnswered_(metrics.counter("anvilyard_agent_exchanges_total", "Exchanges with peers", {{"outcome", "answered"}}))
    , exchangesUnanswered_(metrics.counter("anvilyard_agent_exchanges_total", "Exchanges with peers", {{"outcome", "unanswered"}}))
    , status_(std::make_shared<std::string const>("{}"))
    , store_(Platform::BudgetedObjectStore::createOverHttp({
          .http = {.loop = platformLoop_, .platform = settings_.platform, .callTimeout = settings_.platformCallTimeout},
          .budget = {.processShare = Platform::AgentBudgetShare},
          .metrics = &metrics,
          .liveInstances = [this] { return static_cast<std::size_t>(instancesGauge_.value()); },
      }))
    , list_(Platform::HttpInstanceList::create(
          {.loop = platformLoop_, .platform = settings_.platform, .callTimeout = settings_.platformCallTimeout}))
    , reader_(std::make_unique<PlatformReader>(*store_, *list_, readerHooks()))
    , control_(Control::ControlThread::create())
    , client_(Peer::AgentClient::create({.self = settings_.instance, .sharedKey = settings_.sharedKey, .tracer = &tracer_}))
{
}

Agent::~Agent()
{
    // Without a node, tasks on the control thread do nothing. None of them can then use the server or client destroyed below.
    std::promise<void> nodeDestroyed;
    control_->post([&] {
        node_.reset();
        nodeDestroyed.set_value();
    });
    nodeDestroyed.get_future().wait();
    // Objects that post to the control thread are destroyed before it.
    server_.reset();
    client_.reset();
    platformLoop_.stop();
    if (platformThread_.joinable())
        platformThread_.join();
    if (control_)
        control_->stop();
    control_.reset();
}

Result<std::monostate> Agent::listen()
{
    auto server = Peer::AgentServer::create(serverOptions());
    if (!server)
        return tl::unexpected(server.error());
    server_ = std::move(*server);
    return std::monostate{};
}

void Agent::startNode()
{
    auto random = seedFromSystem();
    auto const now = readClocks();
    Fleet::FleetNodeOptions options{.randomSeed = random()};
    options.self = {
        .id = settings_.instance,
        .dataCentre = settings_.dataCentre,
        // Higher than the incarnation of any previous process with this instance ID, as recorded by other instances.
        .incarnation = Fleet::Incarnation(static_cast<std::uint64_t>(now.wall.time_since_epoch().count())),
        .agentAddress = settings_.advertise.value().empty() ? server_->address() : settings_.advertise,
        .entryPeerAddress = settings_.entryPeer,
        .batchPeerAddress = settings_.batchPeer,
    };
    options.seeds = settings_.peers;
    platformThread_ = std::thread([this] { platformLoop_.run(); });
    control_->post([this, options = std::move(options)]() mutable {
        node_ = std::make_unique<Fleet::FleetNode>(std::move(options));
        tick();
    });
}

Address Agent::address() const
{
    return server_->address();
}

std::string Agent::status() const
{
    return *status_.read();
}

void Agent::leave()
{
    std::promise<void> announced;
    post([&](Fleet::FleetNode &node, CurrentTime now) { return node.leave(now); });
    control_->post([&] { announced.set_value(); });
    announced.get_future().wait();
    std::unique_lock lock(mutex_);
    exchangeEnded_.wait_for(lock, LeaveTimeout, [this] { return openExchanges_ == 0; });
}

Peer::AgentServerOptions Agent::serverOptions()
{
    return {
        .listen = settings_.listen,
        .sharedKey = settings_.sharedKey,
        .tracer = &tracer_,
        .onExchange =
            [this](Fleet::Exchange request, Peer::Responder<Fleet::Exchange> respond) {
                post([request = std::move(request), respond = std::move(respond)](Fleet::FleetNode &node, CurrentTime now) {
                    Fleet::Exchange reply;
                    auto actions = node.onExchange(request, reply, now);
                    respond(std::move(reply));
                    return actions;
                });
            },
        .onProbe =
            [this](Peer::Responder<Peer::ProbeResult> respond) {
                post([respond = std::move(respond)](Fleet::FleetNode &node, CurrentTime) {
                    respond({.reached = true, .incarnation = node.membership().self().incarnation});
                    return Fleet::FleetActions{};
                });
            },
        .onIndirectProbe =
            [this](Address const &target, Peer::Responder<Peer::ProbeResult> respond) {
                client_->probe(target, readLocalClock() + HelperProbeTimeout, [respond = std::move(respond)](auto const &reply) {
                    respond(reply ? *reply : Peer::ProbeResult{});
                });
            },
        .onRaiseJobsMark =
            [this](Peer::Responder<std::uint64_t> respond) {
                post([respond = std::move(respond)](Fleet::FleetNode &node, CurrentTime now) {
                    auto actions = node.onRaiseJobsMark(now);
                    respond(node.jobsMark().value());
                    return actions;
                });
            },
    };
}

PlatformReaderHooks Agent::readerHooks()
{
    return {
        .onRules =
            [this](Fleet::RuleSetUpdate rules) {
                post([this, rules = std::move(rules)](Fleet::FleetNode &node, CurrentTime now) {
                    updatePlatformReachability(PlatformReachability::Available, {});
                    return node.onRulesRead(rules, now);
                });
            },
        .onRulesUnavailable =
            [this](Fleet::RulesReadError rulesAnswer, Error const &error) {
                post([this, rulesAnswer, error](Fleet::FleetNode &node, CurrentTime now) {
                    auto const isReachable = rulesAnswer == Fleet::RulesReadError::Missing;
                    updatePlatformReachability(isReachable ? PlatformReachability::Available : PlatformReachability::Unavailable,
                                               error.toString());
                    return node.onRulesNotRead(rulesAnswer, now);
                });
            },
        .onList =
            [this](Fleet::InstanceListing listing) {
                post([listing = std::move(listing)](Fleet::FleetNode &node, CurrentTime now) { return node.onListRead(listing, now); });
            },
        .onListUnavailable =
            [this](Error const &error) {
                post([this, error](Fleet::FleetNode &node, CurrentTime now) {
                    updatePlatformReachability(PlatformReachability::Unavailable, error.toString());
                    return node.onListNotRead(now);
                });
            },
    };
}

void Agent::tick()
{
    if (!node_)
        return;
    performActions(node_->onTick(readClocks()));
    if (auto const now = readLocalClock(); now >= nextStatus_) {
        nextStatus_ = now + StatusInterval;
        publishStatus();
    }
    control_->postAt(readLocalClock() + TickInterval, [this] { tick(); });
}

void Agent::post(std::function<Fleet::FleetActions(Fleet::FleetNode &, CurrentTime)> event)
{
    control_->post([this, event = std::move(event)] {
        if (node_)
            performActions(event(*node_, readClocks()));
    });
}

void Agent::performActions(Fleet::FleetActions actions)
{
    for (auto &action : actions)
        std::visit([this](auto &typedAction) { perform(typedAction); }, action);
}

void Agent::perform(Fleet::SendExchange &action)
{
    {
        std::lock_guard const guard(mutex_);
        ++openExchanges_;
    }
    auto const sentAt = readLocalClock();
    client_->exchange(action.to,
                      action.message,
                      sentAt + ExchangeTimeout,
                      [this, to = action.to, peer = action.peer, sentAt](auto const &reply) { onExchangeReply(to, peer, sentAt, reply); });
}

void Agent::onExchangeReply(Address const &to, InstanceId const &peer, Instant sentAt, Result<Fleet::Exchange> const &reply)
{
    {
        std::lock_guard const guard(mutex_);
        --openExchanges_;
        exchangeEnded_.notify_all();
    }
    if (reply) {
        exchangesAnswered_.add();
        post([to, message = *reply](Fleet::FleetNode &node, CurrentTime now) { return node.onReply(to, message, now); });
        return;
    }
    exchangesUnanswered_.add();
    auto const keyRejected = reply.error().code == Peer::PeerError::KeyRejected;
    post([this, to, peer, sentAt, keyRejected](Fleet::FleetNode &node, CurrentTime now) {
        if (keyRejected && !wasKeyRejected_)
            Observe::log(Events::PeerKeyRefused, {{"peer", to.value()}});
        wasKeyRejected_ = keyRejected;
        return node.onNoReply(to, peer, sentAt, now);
    });
}

void Agent::perform(Fleet::ProbeThrough &action)
{
    auto const deadline = readLocalClock() + IndirectProbeTimeout;
    client_->probeIndirectly(action.throughAddress, action.targetAddress, deadline, [this, target = action.target](auto const &reply) {
        auto const reachability = reply && reply->reached ? Fleet::Membership::Reach::Reached : Fleet::Membership::Reach::NotReached;
        post([target, reachability](Fleet::FleetNode &node, CurrentTime now) { return node.onIndirectAnswer(target, reachability, now); });
    });
}

void Agent::perform(Fleet::ReadRules &action)
{
    platformLoop_.post([this, generation = action.generation] { reader_->readRules(generation); });
}

void Agent::perform(Fleet::ReadList &)
{
    platformLoop_.post([this] { reader_->readList(); });
}

void Agent::perform(Fleet::ViewChanged &)
{
    generationGauge_.set(static_cast<double>(node_->rules().inForce()->generation.value()));
    instancesGauge_.set(static_cast<double>(node_->membership().liveCount()));
    // An incomplete view would make entry and batch processes discard the view that they kept from before an agent restart.
    if (node_->isReady())
        server_->publish({.view = node_->view(), .rulesText = node_->rules().textInForce()});
    publishStatus();
}

void Agent::perform(Fleet::MemberChanged &action)
{
    auto const &event = action.state == Fleet::MemberState::Alive ? Events::InstanceJoined
        : action.state == Fleet::MemberState::Suspect             ? Events::InstanceSuspected
        : action.state == Fleet::MemberState::Leaving             ? Events::InstanceLeaving
                                                                  : Events::InstanceGone;
    Observe::log(event, {{"instance", action.id.value()}});
}

void Agent::perform(Fleet::RulesOffered &action)
{
    if (action.outcome == Fleet::OfferOutcome::InForce)
        Observe::log(Events::RulesInForce, {{"generation", toText(action.generation)}});
    else if (action.outcome == Fleet::OfferOutcome::Unreadable)
        Observe::log(Events::RulesUnreadable, {{"generation", toText(action.generation)}, {"fault", node_->rules().unreadableReason()}});
    else
        Observe::log(Events::RulesUpdateRefused, {{"generation", toText(action.generation)}});
}

void Agent::updatePlatformReachability(PlatformReachability reachability, std::string const &detail)
{
    if (platformReachability_ == reachability)
        return;
    if (reachability == PlatformReachability::Unavailable)
        Observe::log(Events::PlatformAway, {{"reason", detail}});
    else if (platformReachability_ == PlatformReachability::Unavailable)
        Observe::log(Events::PlatformBack);
    platformReachability_ = reachability;
}

void Agent::publishStatus()
{
    status_.publish(std::make_shared<std::string const>(describeStatus(*node_, platformReachability_, server_->followerCount())));
}

} // namespace Anvilyard::Agent
