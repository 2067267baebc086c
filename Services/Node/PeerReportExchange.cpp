#include "Services/Node/PeerReportExchange.h"

#include "LibObserve/Events.h"
#include "LibServing/LimitMessages.h"
#include "LibServing/ServerLimitNews.h"

#include <boost/json.hpp>

namespace Anvilyard::Node {

namespace json = boost::json;

namespace {

Platform::Kind const instanceKind("instances");
constexpr Duration RegistrationRetryDelay = 500ms;
constexpr Duration MinCustomerTokensInterval = 150ms;
/// Repeats make up for lost reports.
constexpr Duration MaxCustomerTokensInterval = 1s;
constexpr std::string_view EntryRole = "entry";
constexpr std::string_view RunnerRole = "runner";

std::string encodeRegistration(NodeSettings const &settings)
{
    return json::serialize(json::object{
        {"address", settings.peers.value()},
        {"role", settings.role == Serving::InstanceRole::Runner ? RunnerRole : EntryRole},
        {"dc", settings.dataCentre.value()},
    });
}

/// Returns the string member, or an empty string if there is none. Registrations of the previous version have only an address.
std::string readString(json::object const *fields, std::string_view key)
{
    auto const *value = fields ? fields->if_contains(key) : nullptr;
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

PeerReportExchange::PeerReportExchange(NodeContext &context, FleetFollower &fleet, std::function<void()> onLoadChanged)
    : context_(context)
    , fleet_(fleet)
    , onLoadChanged_(std::move(onLoadChanged))
    , instanceFollower_({
          .loop = context.loop,
          .store = context.store,
          .kind = instanceKind,
          .random = context.random,
          .extent = StoreFollowerOptions::Extent::ListOnce,
          .hooks =
              {
                  .onListed =
                      [this](std::vector<Platform::Object> const &objects, Platform::ResourceVersion const &) {
                          for (auto const &object : objects)
                              addInstance(object);
                          exchange_.onInstancesListed();
                      },
              },
      })
    , exchange_({.self = context.settings.instance, .role = context.settings.role, .dataCentre = context.settings.dataCentre},
                context.peers,
                readLocalClock())
{
}

Result<std::monostate> PeerReportExchange::start()
{
    context_.otherEntries = [this] { return exchange_.otherEntries(); };
    startedAt_ = readClocks().wall.time_since_epoch().count();
    auto socket = DatagramSocket::open(context_.loop, context_.settings.peers, [this](std::string_view content) { onDatagram(content); });
    if (!socket)
        return tl::unexpected(socket.error());
    socket_ = std::move(*socket);
    registerSelf();
    return std::monostate{};
}

/// Creates this instance's registration, or replaces the one of an earlier process at another address, and then lists the other
/// registrations. If two instances start at the same time, the one that registers last finds the other and announces itself by its
/// reports. Registrations are therefore not watched.
void PeerReportExchange::registerSelf()
{
    Platform::ObjectName const name(context_.settings.instance.value());
    auto const retry = [this](Error const &error) {
        Observe::log(Observe::Events::NodeRegistrationFailed, {{"error", error.toString()}});
        registerTimer_ = context_.loop.at(readLocalClock() + RegistrationRetryDelay, [this] { registerSelf(); });
    };
    auto const replace = [this, name, retry] {
        Platform::Object object{.name = name, .spec = encodeRegistration(context_.settings)};
        context_.store.update(Platform::CallClass::Lease, instanceKind, std::move(object), [this, retry](Result<Platform::Object> updated) {
            if (!updated)
                return retry(updated.error());
            instanceFollower_.start();
        });
    };
    context_.store.create(Platform::CallClass::Lease,
                          instanceKind,
                          name,
                          encodeRegistration(context_.settings),
                          [this, retry, replace](Result<Platform::Object> created) {
                              if (created)
                                  return instanceFollower_.start();
                              if (created.error().code == Platform::PlatformError::AlreadyExists)
                                  return replace();
                              retry(created.error());
                          });
}

void PeerReportExchange::addInstance(Platform::Object const &object)
{
    boost::system::error_code error;
    auto const value = json::parse(object.spec, error);
    auto const *fields = error ? nullptr : value.if_object();
    Serving::InstanceRegistration registration{
        .id = InstanceId(object.name.value()),
        .address = Address(readString(fields, "address")),
        .dataCentre = DataCentreId(readString(fields, "dc")),
    };
    if (registration.address.value().empty()) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", object.name.value()}, {"error", "no address"}});
        return;
    }
    if (auto const role = readString(fields, "role"); !role.empty())
        registration.role = role == RunnerRole ? Serving::InstanceRole::Runner : Serving::InstanceRole::Entry;
    exchange_.addInstance(registration);
}

void PeerReportExchange::onDatagram(std::string_view content)
{
    auto const reject = [](char const *record, Error const &error) {
        Observe::log(Observe::Events::NodeRecordRejected, {{"record", record}, {"error", error.toString()}});
    };
    if (Serving::isLoadSummary(content)) {
        auto summary = Serving::decodeLoadSummary(content);
        return summary ? onSummary(std::move(*summary)) : reject("load summary of a peer", summary.error());
    }
    if (Serving::isPromptEvidence(content)) {
        auto const evidence = Serving::decodePromptEvidence(content);
        return evidence ? context_.prompts.merge(*evidence) : reject("prompt evidence of a peer", evidence.error());
    }
    if (Serving::isStreamBegin(content)) {
        auto begun = Serving::decodeStreamBegin(content);
        return begun ? context_.origins.onBegun(begun->first, std::move(begun->second), readLocalClock())
                     : reject("begin of a stream of a peer", begun.error());
    }
    if (Serving::isServerLimits(content)) {
        auto const now = readLocalClock();
        auto const limits = Serving::decodeServerLimits(content, now);
        return limits ? context_.limits.merge(*limits, now) : reject("server limits of a peer", limits.error());
    }
    if (Serving::isLimitReport(content) || Serving::isLimitReply(content))
        return context_.onLimitDatagram(content);
    if (Serving::isCustomerTokens(content)) {
        auto tokens = Serving::decodeCustomerTokens(content);
        return tokens ? context_.customerTokens.onReport(std::move(*tokens), readLocalClock())
                      : reject("tokens of customers of a peer", tokens.error());
    }
    auto report = Serving::decodePeerReport(content);
    return report ? onReport(std::move(*report)) : reject("report of a peer", report.error());
}

void PeerReportExchange::onReport(Serving::PeerReport report)
{
    using Acceptance = Serving::PeerExchange::Acceptance;
    auto const now = readLocalClock();
    PeerProgress const progress{
        .peer = report.address,
        .dataCentre = report.dataCentre,
        .stateVersion = report.stateVersion,
        .serversRevision = report.serversRevision,
    };
    auto const sender = report.sender;
    auto const acceptance = exchange_.onReport(std::move(report), now);
    if (acceptance == Acceptance::Ignored)
        return;
    if (acceptance == Acceptance::AcceptedFromNewPeer)
        Observe::log(Observe::Events::NodePeerHeard, {{"peer", sender.value()}});
    if (context_.settings.role == Serving::InstanceRole::Runner)
        onLoadChanged_();
    fleet_.onPeerProgress(progress, now);
}

void PeerReportExchange::onSummary(Serving::LoadSummary summary)
{
    auto const now = readLocalClock();
    auto const relay = context_.peers.addressOf(summary.relay);
    PeerProgress progress{
        .dataCentre = summary.dataCentre,
        .stateVersion = summary.stateVersion,
        .serversRevision = summary.serversRevision,
    };
    if (exchange_.onSummary(std::move(summary), now) == Serving::PeerExchange::Acceptance::Ignored)
        return;
    if (context_.settings.role == Serving::InstanceRole::Runner)
        onLoadChanged_();
    // A relay without a known address has sent no report yet. Its first report contains the versions again.
    if (relay) {
        progress.peer = *relay;
        fleet_.onPeerProgress(progress, now);
    }
}

void PeerReportExchange::onTick(Instant now)
{
    context_.peers.onTick(now);
    context_.fleetSize = exchange_.fleetSize();
    context_.loadAge = {.near = exchange_.nearLoadAge(), .far = exchange_.farLoadAge()};
    auto const due = exchange_.takeDue(
        {
            .startedAt = startedAt_,
            .stage = stage_,
            .store = storeReachability_,
            .address = context_.settings.peers,
            .stateVersion = context_.routes ? context_.routes->state().version : Serving::StateVersion(0),
            .serversRevision = fleet_.serversRevision(),
            .waitingTokens = waitingTokens_,
            .inFlight = context_.load.all(),
            .changes = context_.load.changes() + waitingTokensChanges_,
            .prompts = context_.prompts.quarantine(),
            .limits = context_.limits.allowances().limits(),
        },
        now);
    for (auto const &[receivers, report] : due.reports) {
        auto const content = Serving::encodePeerReport(report);
        for (auto const &receiver : receivers)
            socket_->send(receiver, content);
    }
    for (auto const &[receivers, summary] : due.summaries) {
        auto const content = Serving::encodeLoadSummary(summary);
        for (auto const &[address, included] : receivers)
            socket_->send(address, included ? Serving::addIncludedReport(content, *included) : content);
    }
    if (due.promptEvidence) {
        auto const content = Serving::encodePromptEvidence(due.promptEvidence->evidence);
        for (auto const &receiver : due.promptEvidence->receivers)
            socket_->send(receiver, content);
    }
    if (due.serverLimits) {
        auto const content = Serving::encodeServerLimits(due.serverLimits->limits, now);
        for (auto const &receiver : due.serverLimits->receivers)
            socket_->send(receiver, content);
    }
    sendCustomerTokens(now);
    fleet_.setChangeSource(exchange_.changeSource(now));
    fleet_.setWatchHold(exchange_.watchHold());
}

/// With 75 customers a report takes some two kilobytes. Until it arrives, new tokens count for every customer at the receiver.
void PeerReportExchange::sendCustomerTokens(Instant now)
{
    auto const interval = areCustomerTokensSent_ ? MaxCustomerTokensInterval : MinCustomerTokensInterval;
    bool const isUnused = customerTokens_.empty() && areCustomerTokensSent_;
    if (isUnused || (customerTokensSentAt_ != Instant::min() && now - customerTokensSentAt_ < interval))
        return;
    customerTokensSentAt_ = now;
    areCustomerTokensSent_ = true;
    Serving::CustomerTokensReport const common{
        .sender = context_.settings.instance, .startedAt = startedAt_, .number = ++customerTokensNumber_, .recentJobs = recentJobs_};
    for (auto const &report : Serving::splitCustomerTokens(customerTokens_, common)) {
        auto const content = Serving::encodeCustomerTokens(report);
        for (auto const &runner : context_.peers.runners()) {
            auto const address = runner == context_.settings.instance ? std::nullopt : context_.peers.addressOf(runner);
            if (address)
                socket_->send(*address, content);
        }
    }
}

void PeerReportExchange::send(Address const &to, std::string const &content)
{
    socket_->send(to, content);
}

bool PeerReportExchange::areRunnersKnown(Instant now) const
{
    return exchange_.areRunnersKnown(now);
}

void PeerReportExchange::setStage(Serving::InstanceStage stage)
{
    stage_ = stage;
    exchange_.scheduleAllNow();
    auto const now = readLocalClock();
    context_.peers.setOwnStage(stage, now);
    onTick(now);
}

void PeerReportExchange::setStoreReachability(Serving::StoreReachability reachability)
{
    if (std::exchange(storeReachability_, reachability) == reachability)
        return;
    Observe::log(Observe::Events::NodeStoreReachChanged,
                 {{"store", reachability == Serving::StoreReachability::Reached ? "reached" : "lost"}});
    exchange_.scheduleAllNow();
    context_.peers.setOwnStoreReachability(reachability, readLocalClock());
}

void PeerReportExchange::setWaitingTokens(std::uint64_t tokens)
{
    if (std::exchange(waitingTokens_, tokens) != tokens)
        ++waitingTokensChanges_;
}

void PeerReportExchange::setCustomerTokens(Serving::TokensByCustomer tokens, std::vector<JobId> recentJobs)
{
    recentJobs_ = std::move(recentJobs);
    if (customerTokens_ == tokens)
        return;
    customerTokens_ = std::move(tokens);
    areCustomerTokensSent_ = false;
}

} // namespace Anvilyard::Node
