#pragma once

#include "LibCore/Random.h"
#include "LibServing/PeerExchange.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <variant>
#include <vector>

namespace Anvilyard::Tests {

struct ExchangeSimulationOptions {
    std::size_t instances = 300;
    std::size_t dataCentres = 5;
    /// One of this many instances is a runner.
    std::size_t instancesPerRunner = 6;
    double lossShare = 0;
    std::uint64_t seed = 1;
};

/// A fleet of instances that exchange reports and load summaries over a simulated network, in simulated time. All instances start within
/// 300 ms; each one knows those that registered before it, as on the platform.
class ExchangeSimulation
{
public:
    struct Instance {
        InstanceId id;
        Serving::InstanceRole role = Serving::InstanceRole::Entry;
        DataCentreId dataCentre;
        std::unique_ptr<Serving::PeerTable> peers;
        std::unique_ptr<Serving::PeerExchange> exchange;
        Serving::LoadByServer inFlight;
        std::uint64_t changes = 0;
        Serving::ServerLimitTable limits{Serving::ServerLimitTableOptions{}};
        Serving::PromptQuarantine prompts{Serving::PromptQuarantineOptions{}};
        Instant startsAt;
        /// Start time that its reports state.
        std::int64_t statedStart = 1;
        bool isAlive = true;
        Serving::InstanceStage stage = Serving::InstanceStage::Serving;
        std::uint64_t received = 0;
    };

    explicit ExchangeSimulation(ExchangeSimulationOptions options);

    /// Runs for a time in which each entry starts or ends `changesPerSecond` requests a second.
    void run(Duration time, double changesPerSecond);
    void kill(Instance &instance);
    /// Lets the instance report that it is leaving. Its process runs on until kill().
    void beginStop(Instance &instance);
    /// Ends the instance's process and starts another one, which knows nothing.
    void restart(Instance &instance);
    /// Sets which messages the network drops.
    void setCut(std::function<bool(Instance const &from, Instance const &to)> isCut);

    /// Sets which instances do not reach the platform's store.
    void setLostStore(std::function<bool(Instance const &)> isLost);

    [[nodiscard]] std::vector<Instance> &instances();
    [[nodiscard]] std::vector<Instance> const &instances() const;
    [[nodiscard]] Instance &find(InstanceId const &id);
    /// Requests of all live instances at a server.
    [[nodiscard]] Serving::InFlight actualAt(ServerId const &server) const;
    [[nodiscard]] std::vector<ServerId> const &servers() const;
    [[nodiscard]] WallInstant wallTime() const;
    [[nodiscard]] Instant now() const;

private:
    using Message = std::variant<Serving::PeerReport, Serving::LoadSummary, Serving::PromptEvidence, std::vector<Serving::ServerLimit>>;

    struct Delivery {
        Instant at;
        std::uint64_t order = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<Message const> message;
        std::optional<Serving::ReportPosition> included;

        bool operator>(Delivery const &other) const;
    };

    void start(Instance &instance);
    void tick(std::size_t index);
    void send(std::size_t from,
              Address const &to,
              std::shared_ptr<Message const> const &message,
              std::optional<Serving::ReportPosition> included);
    void deliver(Delivery const &delivery);
    void changeLoad(Instance &instance);

    ExchangeSimulationOptions options_;
    RandomSource random_;
    Instant now_{std::chrono::hours(1)};
    std::vector<Instance> instances_;
    std::map<Address, std::size_t> byAddress_;
    std::vector<ServerId> servers_;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network_;
    std::uint64_t lastOrder_ = 0;
    std::function<bool(Instance const &, Instance const &)> isCut_;
    std::function<bool(Instance const &)> isStoreLost_;
};

} // namespace Anvilyard::Tests
