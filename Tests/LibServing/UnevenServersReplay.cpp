#include "Tests/LibServing/UnevenServersReplay.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

namespace Anvilyard::Testing {

namespace {

using namespace Serving;

constexpr std::uint32_t Slots = 8;
constexpr double MeanWorkMs = 600;
constexpr double PromptMs = 40;
constexpr double TargetMs = 300;
constexpr double EventMs = 3;
constexpr double PermanentSpeed = 0.55;
constexpr double Slowdown = 2.5;
constexpr double SlowMs = 600;
constexpr double SlowShare = 0.15;
/// Waits vary, so a request that is expected to be on time only just is late half of the time.
constexpr double OracleTargetMs = 150;
constexpr auto WarmUpMs = 5000;

struct Run {
    std::size_t chooser = 0;
    double arrivedMs = 0;
    bool isMeasured = false;
    double startedMs = -1;
    double work = 0;
    double left = 0;
    bool hasEvents = false;
    double eventsFromMs = 0;
};

struct Server {
    ServerRecord record;
    double permanentSpeed = 1;
    bool isSlowed = false;
    std::deque<Run> runs;

    [[nodiscard]] double speed() const
    {
        return permanentSpeed / (isSlowed ? Slowdown : 1);
    }
};

/// One instance. `reported` are its requests as other instances know them.
struct Chooser {
    explicit Chooser(std::size_t number)
        : placement({.instance = InstanceId("i-" + std::to_string(number)), .dataCentre = DataCentreId("dc")})
        , peers({.self = InstanceId("i-" + std::to_string(number))})
    {
    }

    OnlinePlacement placement;
    PeerTable peers;
    LoadTracker load;
    std::vector<std::uint32_t> reported;
    std::uint64_t reports = 0;
};

struct Change {
    double atMs = 0;
    std::size_t chooser = 0;
    std::size_t server = 0;
    int difference = 0;
};

class Replay
{
public:
    explicit Replay(UnevenServersOptions const &options)
        : options_(options)
        , random_(options.seed)
        , reported_(options.servers)
    {
        std::vector<UsableServer> usable;
        double speeds = 0;
        for (std::size_t number = 0; number < options.servers; ++number) {
            auto const id = "s-" + std::to_string(number);
            ServerRecord const record{
                .id = ServerId(id), .pool = PoolName("p"), .address = Address(id), .dataCentre = DataCentreId("dc"), .slots = Slots};
            servers_.push_back({.record = record, .permanentSpeed = number % 4 == 0 ? PermanentSpeed : 1});
            usable.push_back({.record = record});
            speeds += servers_.back().permanentSpeed * (1 - SlowShare + SlowShare / Slowdown);
        }
        requestsPerMs_ = options.load * speeds * Slots / MeanWorkMs;
        for (std::size_t number = 0; number < options.choosers; ++number) {
            choosers_.push_back(std::make_unique<Chooser>(number));
            choosers_.back()->placement.setServers(usable, {});
            choosers_.back()->reported.resize(options.servers);
        }
    }

    UnevenServersResult run()
    {
        auto const endMs = std::chrono::duration<double, std::milli>(options_.duration).count() + WarmUpMs;
        for (; nowMs_ < endMs; ++nowMs_) {
            for (std::size_t server = 0; server < servers_.size(); ++server)
                advance(server);
            std::poisson_distribution<int> arrivals(requestsPerMs_);
            for (auto left = arrivals(random_); left > 0; --left)
                arrive();
            if (isMeasuring() && static_cast<int>(nowMs_) % 50 == 0)
                sample();
        }
        return result();
    }

private:
    [[nodiscard]] Instant now() const
    {
        return Instant(1h) + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(nowMs_));
    }

    [[nodiscard]] bool isMeasuring() const
    {
        return nowMs_ >= WarmUpMs;
    }

    double draw()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    void advance(std::size_t number)
    {
        auto &server = servers_[number];
        auto const usualMs = SlowMs * (1 - SlowShare) / SlowShare;
        if (draw() < 1 / (server.isSlowed ? SlowMs : usualMs))
            server.isSlowed = !server.isSlowed;
        for (std::size_t slot = 0; slot < std::min<std::size_t>(Slots, server.runs.size()); ++slot)
            advance(number, server.runs[slot]);
        std::erase_if(server.runs, [](Run const &run) { return run.startedMs >= 0 && run.left <= 0; });
    }

    void advance(std::size_t number, Run &run)
    {
        auto const &server = servers_[number];
        auto &chooser = *choosers_[run.chooser];
        if (run.startedMs < 0) {
            run.startedMs = nowMs_;
            if (run.isMeasured)
                waitsMs_.push_back(nowMs_ - run.arrivedMs);
        }
        run.left -= server.speed();
        if (!run.hasEvents && run.work - run.left >= PromptMs) {
            run.hasEvents = true;
            run.eventsFromMs = nowMs_;
            if (run.isMeasured)
                ++(nowMs_ - run.arrivedMs <= TargetMs ? onTime_ : late_);
            if (options_.choice == UnevenServersOptions::Choice::WithPace) {
                auto const requests = static_cast<double>(server.runs.size());
                auto const running = std::min<double>(Slots, requests);
                auto const stated = options_.statesPermanentSpeed ? 1 / server.speed() : server.isSlowed ? Slowdown : 1;
                chooser.placement.onLoadStated(
                    server.record, {.running = running, .waiting = requests - running, .slots = Slots, .slowness = stated}, now());
            }
        }
        if (run.left > 0)
            return;
        chooser.placement.onRunFinished(PoolName("p"), std::chrono::microseconds(static_cast<int>((nowMs_ - run.arrivedMs) * 1000)));
        chooser.placement.onEvents(server.record,
                                   {.events = static_cast<std::size_t>((run.work - PromptMs) / EventMs),
                                    .time = std::chrono::microseconds(static_cast<int>((nowMs_ - run.eventsFromMs) * 1000))},
                                   now());
        chooser.load.onFinished(server.record.id, WorkClass::Online);
        chooser.placement.onFinished(server.record);
        changes_.push_back({nowMs_, run.chooser, number, -1});
    }

    void arrive()
    {
        if (isMeasuring())
            ++offered_;
        auto const number = static_cast<std::size_t>(draw() * static_cast<double>(choosers_.size()));
        auto const server = options_.choice == UnevenServersOptions::Choice::Oracle ? chooseByOracle() : choose(*choosers_[number]);
        if (!server) {
            if (isMeasuring())
                ++refused_;
            return;
        }
        auto const work = PromptMs + std::exponential_distribution<double>(1 / (MeanWorkMs - PromptMs))(random_);
        auto const &record = servers_[*server].record;
        servers_[*server].runs.push_back({.chooser = number, .arrivedMs = nowMs_, .isMeasured = isMeasuring(), .work = work, .left = work});
        choosers_[number]->load.onStarted(record.id, WorkClass::Online);
        choosers_[number]->placement.onStarted(record, nullptr);
        changes_.push_back({nowMs_, number, *server, 1});
    }

    std::optional<std::size_t> choose(Chooser &chooser)
    {
        auto const ageMs = std::chrono::duration<double, std::milli>(options_.loadAge).count();
        for (; !changes_.empty() && changes_.front().atMs + ageMs <= nowMs_; changes_.pop_front()) {
            auto const &change = changes_.front();
            reported_[change.server] += static_cast<std::uint32_t>(change.difference);
            choosers_[change.chooser]->reported[change.server] += static_cast<std::uint32_t>(change.difference);
        }
        PeerReport report{.sender = InstanceId("others"), .startedAt = 1, .number = ++chooser.reports};
        for (std::size_t server = 0; server < servers_.size(); ++server)
            report.inFlight[servers_[server].record.id].online = reported_[server] - chooser.reported[server];
        chooser.peers.onReport(std::move(report), now());
        auto const placement = chooser.placement.place({.pool = PoolName("p"),
                                                        .latencyTarget = std::chrono::milliseconds(static_cast<int>(TargetMs)),
                                                        .loadAge = {.near = options_.loadAge, .far = options_.loadAge}},
                                                       chooser.load,
                                                       chooser.peers,
                                                       now(),
                                                       random_);
        if (placement.outcome != Placement::Outcome::Chosen)
            return std::nullopt;
        return static_cast<std::size_t>(std::stoul(placement.server.id.value().substr(2)));
    }

    /// Refuses what would be late.
    std::optional<std::size_t> chooseByOracle()
    {
        std::optional<std::size_t> best;
        double bestMs = OracleTargetMs;
        for (std::size_t number = 0; number < servers_.size(); ++number) {
            auto const &server = servers_[number];
            auto const waiting = std::max(0.0, static_cast<double>(server.runs.size()) + 1 - Slots);
            auto const ms = (waiting * MeanWorkMs / Slots + PromptMs) / server.speed() + static_cast<double>(server.runs.size()) / Slots;
            if (ms < bestMs) {
                bestMs = ms;
                best = number;
            }
        }
        return best;
    }

    void sample()
    {
        double sum = 0;
        double squares = 0;
        for (auto const &server : servers_) {
            auto const requests = static_cast<double>(server.runs.size());
            sum += requests;
            squares += requests * requests;
        }
        auto const count = static_cast<double>(servers_.size());
        variances_ += squares / count - sum * sum / count / count;
        ++samples_;
    }

    UnevenServersResult result()
    {
        auto const offered = std::max(1.0, offered_);
        auto const p99 = waitsMs_.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(waitsMs_.size()) * 0.99);
        std::nth_element(waitsMs_.begin(), p99, waitsMs_.end());
        return {.loadVariance = variances_ / std::max(1.0, samples_),
                .p99WaitSeconds = p99 == waitsMs_.end() ? 0 : *p99 / 1000,
                .onTime = onTime_ / offered,
                .late = late_ / offered,
                .refused = refused_ / offered};
    }

    UnevenServersOptions options_;
    RandomSource random_;
    double nowMs_ = 0;
    double requestsPerMs_ = 0;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<Chooser>> choosers_;
    /// Changes that are not reported yet.
    std::deque<Change> changes_;
    std::vector<std::uint32_t> reported_;
    std::vector<double> waitsMs_;
    double offered_ = 0;
    double onTime_ = 0;
    double late_ = 0;
    double refused_ = 0;
    double variances_ = 0;
    double samples_ = 0;
};

} // namespace

UnevenServersResult replayUnevenServers(UnevenServersOptions const &options)
{
    return Replay(options).run();
}

} // namespace Anvilyard::Testing
