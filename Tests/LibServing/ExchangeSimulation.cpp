#include "Tests/LibServing/ExchangeSimulation.h"

#include <algorithm>
#include <tuple>

namespace Anvilyard::Tests {

using namespace Serving;

namespace {

constexpr Duration Step = 10ms;
constexpr std::size_t StepsPerTick = 5;
constexpr Duration Latency = 1ms;
constexpr Duration StartSpread = 300ms;
constexpr std::size_t InstancesPerServer = 2;

Address addressOf(std::size_t index)
{
    return Address("10.0.0.1:" + std::to_string(index + 1));
}

} // namespace

bool ExchangeSimulation::Delivery::operator>(Delivery const &other) const
{
    return std::tie(at, order) > std::tie(other.at, other.order);
}

ExchangeSimulation::ExchangeSimulation(ExchangeSimulationOptions options)
    : options_(options)
    , random_(options.seed)
{
    for (std::size_t index = 0; index < options_.instances; ++index) {
        Instance instance{
            .id = InstanceId("i" + std::to_string(index)),
            .role = (index / options_.dataCentres) % options_.instancesPerRunner == 0 ? InstanceRole::Runner : InstanceRole::Entry,
            .dataCentre = DataCentreId("dc" + std::to_string(index % options_.dataCentres)),
            .startsAt = now_ + Duration(std::uniform_int_distribution<Duration::rep>(0, Duration(StartSpread).count())(random_)),
        };
        byAddress_[addressOf(index)] = index;
        instances_.push_back(std::move(instance));
    }
    for (std::size_t index = 0; index < options_.instances / InstancesPerServer; ++index)
        servers_.emplace_back("s" + std::to_string(index));
}

void ExchangeSimulation::start(Instance &instance)
{
    instance.peers =
        std::make_unique<PeerTable>(PeerTableOptions{.self = instance.id, .ownRole = instance.role, .dataCentre = instance.dataCentre});
    instance.exchange = std::make_unique<PeerExchange>(
        PeerExchangeOptions{.self = instance.id, .role = instance.role, .dataCentre = instance.dataCentre}, *instance.peers, now_);
    instance.peers->setOwnStage(InstanceStage::Serving, now_);
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        auto const &other = instances_[index];
        if (other.peers && &other != &instance)
            instance.exchange->addInstance(
                {.id = other.id, .address = addressOf(index), .role = other.role, .dataCentre = other.dataCentre});
    }
    instance.exchange->onInstancesListed();
}

void ExchangeSimulation::tick(std::size_t index)
{
    auto &instance = instances_[index];
    instance.peers->onTick(now_);
    auto const due =
        instance.exchange->takeDue({.startedAt = instance.statedStart,
                                    .stage = instance.stage,
                                    .store = isStoreLost_ && isStoreLost_(instance) ? StoreReachability::Lost : StoreReachability::Reached,
                                    .address = addressOf(index),
                                    .inFlight = instance.inFlight,
                                    .changes = instance.changes,
                                    .prompts = instance.prompts,
                                    .limits = instance.limits},
                                   now_);
    for (auto const &[receivers, report] : due.reports) {
        auto const message = std::make_shared<Message const>(report);
        for (auto const &receiver : receivers)
            send(index, receiver, message, std::nullopt);
    }
    for (auto const &[receivers, summary] : due.summaries) {
        auto const message = std::make_shared<Message const>(summary);
        for (auto const &[address, included] : receivers)
            send(index, address, message, included);
    }
    if (due.promptEvidence) {
        auto const message = std::make_shared<Message const>(due.promptEvidence->evidence);
        for (auto const &receiver : due.promptEvidence->receivers)
            send(index, receiver, message, std::nullopt);
    }
    if (due.serverLimits) {
        auto const message = std::make_shared<Message const>(due.serverLimits->limits);
        for (auto const &receiver : due.serverLimits->receivers)
            send(index, receiver, message, std::nullopt);
    }
}

void ExchangeSimulation::send(std::size_t from,
                              Address const &to,
                              std::shared_ptr<Message const> const &message,
                              std::optional<ReportPosition> included)
{
    if (std::bernoulli_distribution(options_.lossShare)(random_))
        return;
    network_.push(
        {.at = now_ + Latency, .order = ++lastOrder_, .from = from, .to = byAddress_.at(to), .message = message, .included = included});
}

void ExchangeSimulation::deliver(Delivery const &delivery)
{
    auto &to = instances_[delivery.to];
    if (!to.isAlive || !to.peers || (isCut_ && isCut_(instances_[delivery.from], to)))
        return;
    ++to.received;
    if (auto const *report = std::get_if<PeerReport>(delivery.message.get())) {
        to.exchange->onReport(*report, now_);
        return;
    }
    if (auto const *evidence = std::get_if<PromptEvidence>(delivery.message.get())) {
        to.prompts.merge(*evidence, wallTime());
        return;
    }
    if (auto const *limits = std::get_if<std::vector<ServerLimit>>(delivery.message.get())) {
        to.limits.merge(*limits, now_);
        return;
    }
    auto summary = std::get<LoadSummary>(*delivery.message);
    summary.included = delivery.included;
    to.exchange->onSummary(std::move(summary), now_);
}

void ExchangeSimulation::changeLoad(Instance &instance)
{
    auto const &server = servers_[std::uniform_int_distribution<std::size_t>(0, servers_.size() - 1)(random_)];
    auto &count = instance.inFlight[server].online;
    count = count > 0 ? count - 1 : 1;
    if (count == 0)
        instance.inFlight.erase(server);
    ++instance.changes;
}

void ExchangeSimulation::run(Duration time, double changesPerSecond)
{
    auto const end = now_ + time;
    auto const changeShare = changesPerSecond * std::chrono::duration<double>(Step).count();
    for (std::size_t step = 0; now_ < end; ++step, now_ += Step) {
        while (!network_.empty() && network_.top().at <= now_) {
            auto const delivery = network_.top();
            network_.pop();
            deliver(delivery);
        }
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            auto &instance = instances_[index];
            if (!instance.isAlive || now_ < instance.startsAt)
                continue;
            if (!instance.peers)
                start(instance);
            bool const isChanged = instance.role == InstanceRole::Entry && std::bernoulli_distribution(changeShare)(random_);
            if (isChanged)
                changeLoad(instance);
            if (isChanged || step % StepsPerTick == index % StepsPerTick)
                tick(index);
        }
    }
}

void ExchangeSimulation::kill(Instance &instance)
{
    instance.isAlive = false;
}

void ExchangeSimulation::beginStop(Instance &instance)
{
    instance.stage = InstanceStage::Leaving;
    instance.peers->setOwnStage(instance.stage, now_);
    instance.exchange->scheduleAllNow();
}

void ExchangeSimulation::restart(Instance &instance)
{
    instance.peers.reset();
    instance.exchange.reset();
    instance.inFlight.clear();
    instance.limits = ServerLimitTable(ServerLimitTableOptions{});
    instance.prompts = PromptQuarantine(PromptQuarantineOptions{});
    instance.startsAt = now_;
    ++instance.statedStart;
    instance.stage = InstanceStage::Serving;
    instance.isAlive = true;
}

WallInstant ExchangeSimulation::wallTime() const
{
    return WallInstant(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()));
}

Instant ExchangeSimulation::now() const
{
    return now_;
}

void ExchangeSimulation::setCut(std::function<bool(Instance const &from, Instance const &to)> isCut)
{
    isCut_ = std::move(isCut);
}

void ExchangeSimulation::setLostStore(std::function<bool(Instance const &)> isLost)
{
    isStoreLost_ = std::move(isLost);
    for (auto &instance : instances_) {
        auto const store = isStoreLost_(instance) ? StoreReachability::Lost : StoreReachability::Reached;
        if (instance.role == InstanceRole::Runner)
            instance.peers->setOwnStoreReachability(store, now_);
        instance.exchange->scheduleAllNow();
    }
}

std::vector<ExchangeSimulation::Instance> &ExchangeSimulation::instances()
{
    return instances_;
}

std::vector<ExchangeSimulation::Instance> const &ExchangeSimulation::instances() const
{
    return instances_;
}

ExchangeSimulation::Instance &ExchangeSimulation::find(InstanceId const &id)
{
    return *std::find_if(instances_.begin(), instances_.end(), [&](Instance const &instance) { return instance.id == id; });
}

InFlight ExchangeSimulation::actualAt(ServerId const &server) const
{
    InFlight sum;
    for (auto const &instance : instances_) {
        auto const found = instance.inFlight.find(server);
        if (instance.isAlive && found != instance.inFlight.end())
            sum.online += found->second.online;
    }
    return sum;
}

std::vector<ServerId> const &ExchangeSimulation::servers() const
{
    return servers_;
}

} // namespace Anvilyard::Tests
