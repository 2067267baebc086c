#include "OverloadReplay.h"

#include <algorithm>
#include <limits>

namespace Anvilyard::Serving {

namespace {

constexpr Instant Start{std::chrono::hours(1)};
constexpr std::size_t Servers = 90;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t Entries = 55;
constexpr Duration Target = 300ms;
constexpr Duration CallerTime = 5s;
constexpr Duration Length = 20s;
constexpr Duration ReportInterval = 100ms;
/// Prompt processing and the network, from the start of a run to its first event.
constexpr Duration FirstEventDelay = 40ms;
/// From the start of an online request until an item has left its slot.
constexpr Duration CutDelay = 20ms;
constexpr double LargeShare = 0.1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

ServerRecord recordOf(std::size_t server)
{
    return {.id = ServerId(std::to_string(server)),
            .pool = PoolName("p"),
            .address = Address("127.0.0.1:1"),
            .dataCentre = DataCentreId("dc"),
            .slots = Slots};
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double ReplayCount::shareOnTime() const
{
    return callers == 0 ? 1 : static_cast<double>(onTime + onTimeAfterRetry) / static_cast<double>(callers);
}

double ReplayCount::value() const
{
    auto const sum = 1.1 * static_cast<double>(onTime) + 0.17 * static_cast<double>(late) + 0.635 * static_cast<double>(onTimeAfterRetry);
    return callers == 0 ? 0 : sum / static_cast<double>(callers);
}

ReplayCount &ReplayCount::operator+=(ReplayCount const &other)
{
    callers += other.callers;
    onTime += other.onTime;
    late += other.late;
    onTimeAfterRetry += other.onTimeAfterRetry;
    return *this;
}

OverloadReplay::OverloadReplay(ReplayLoad load, Decision decision)
    : load_(std::move(load))
    , decision_(decision)
    , servers_(Servers)
{
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        OnlinePlacementOptions const options{
            .instance = InstanceId(std::to_string(entry)), .dataCentre = DataCentreId("dc"), .initialMeanRun = load_.meanRun};
        entries_.push_back({.admission = FairAdmission(), .placement = OnlinePlacement(options)});
    }
    setServers();
    double sum = 0;
    for (std::size_t customer = 0; customer < Customers; ++customer)
        sum += usualShare_.emplace_back(1.0 / static_cast<double>(customer + 1));
    for (auto &share : usualShare_)
        share /= sum;
    result_.byCustomer.resize(Customers);
}

ReplayResult OverloadReplay::run()
{
    auto nextReport = Start;
    for (auto now = Start; now < Start + Length; now += ReportInterval)
        addArrivals(now - Start);
    while (!arrivals_.empty()) {
        auto const arrival = arrivals_.top();
        arrivals_.pop();
        for (; nextReport <= arrival.at; nextReport += ReportInterval) {
            loseServers(nextReport);
            takeReports(nextReport);
            startItems(nextReport);
        }
        handle(arrival);
    }
    return result_;
}

Urgency OverloadReplay::urgencyOfCustomer(std::size_t customer)
{
    // Large and small customers have each urgency.
    constexpr std::array Urgencies{Urgency::Normal, Urgency::High, Urgency::Highest, Urgency::Highest, Urgency::High, Urgency::Normal};
    return Urgencies.at(customer % Urgencies.size());
}

double OverloadReplay::uniform()
{
    return std::uniform_real_distribution<double>()(random_);
}

void OverloadReplay::addArrivals(Duration since)
{
    auto const perSecond = load_.mean * Servers * Slots / toSeconds(load_.meanRun) * load_.factor(since);
    for (std::size_t customer = 0; customer < Customers; ++customer) {
        auto const flood = customer == Flooding ? load_.floodFactor(since) : 1;
        std::poisson_distribution<int> arrivals(perSecond * usualShare_[customer] * flood * toSeconds(ReportInterval));
        for (int left = arrivals(arrivalRandom_); left > 0; --left)
            addNewArrival(Start + since, customer);
    }
}

void OverloadReplay::addNewArrival(Instant at, std::size_t customer)
{
    std::uniform_real_distribution<double> distribution;
    at += toDuration(distribution(arrivalRandom_) * toSeconds(ReportInterval));
    bool const isLarge = distribution(arrivalRandom_) < LargeShare;
    arrivals_.push({.at = at, .caller = {.customer = customer, .isLarge = isLarge, .deadline = at + CallerTime}});
}

void OverloadReplay::takeReports(Instant now)
{
    PeerReport report{.sender = InstanceId("all"), .startedAt = 1, .number = ++reports_};
    for (std::size_t index = 0; index < Servers; ++index) {
        auto &server = servers_[index];
        std::erase_if(server.ends, [now](Instant end) { return end <= now; });
        result_.itemsDone += std::erase_if(server.items, [now](Instant end) { return end <= now; });
        report.inFlight[recordOf(index).id] = {.online = static_cast<std::uint32_t>(server.ends.size()),
                                               .batch = static_cast<std::uint32_t>(server.items.size())};
    }
    peers_.onReport(std::move(report), now);
    for (auto &entry : entries_)
        entry.sent = {};
    while (!finishes_.empty() && finishes_.top().at <= now) {
        auto const finish = finishes_.top();
        finishes_.pop();
        auto &entry = entries_[finish.entry];
        entry.placement.onFinished(recordOf(finish.server));
        if (decision_ == Decision::Fair)
            entry.admission.onFinished(CustomerId(std::to_string(finish.customer)), finish.weight);
    }
}

void OverloadReplay::loseServers(Instant now)
{
    auto const lost = static_cast<std::size_t>(load_.lost(now - Start) * Servers);
    bool isChanged = false;
    for (std::size_t index = 0; index < Servers; ++index) {
        auto &server = servers_[index];
        if (std::exchange(server.isLost, index < lost) == server.isLost)
            continue;
        isChanged = true;
        server.ends.clear();
        server.items.clear();
    }
    if (isChanged)
        setServers();
}

/// Lost servers are known as such at once.
void OverloadReplay::setServers()
{
    std::vector<UsableServer> usable;
    for (std::size_t index = 0; index < Servers; ++index) {
        if (!servers_[index].isLost)
            usable.push_back({.record = recordOf(index)});
    }
    for (auto &entry : entries_)
        entry.placement.setServers(usable, {});
}

/// Items start one at a time at each server, in slots that are free but for one.
void OverloadReplay::startItems(Instant now)
{
    if (load_.batchItems > 0 && now >= Start + 6s) {
        waitingItems_ += load_.batchItems;
        load_.batchItems = 0;
    }
    for (auto &server : servers_) {
        if (waitingItems_ == 0 || server.isLost || server.ends.size() + server.items.size() + 1 >= Slots)
            continue;
        --waitingItems_;
        server.items.push_back(now + load_.meanRun * 4);
    }
}

void OverloadReplay::handle(Arrival const &arrival)
{
    auto const entryIndex = std::uniform_int_distribution<std::size_t>(0, Entries - 1)(random_);
    auto &entry = entries_[entryIndex];
    PlacementRequest const request{
        .pool = PoolName("p"), .latencyTarget = Target, .loadAge = {.near = ReportInterval / 2, .far = ReportInterval / 2}};
    auto const placement = entry.placement.place(request, entry.sent, peers_, arrival.at, random_);
    if (decision_ == Decision::Fair) {
        auto const verdict = entry.admission.decide({.customer = CustomerId(std::to_string(arrival.caller.customer)),
                                                     .urgency = urgencyOfCustomer(arrival.caller.customer),
                                                     .work = WorkSize(arrival.caller.isLarge ? 3'000 : 1'000),
                                                     .shortestWait = placement.shortestWait,
                                                     .latencyTarget = Target,
                                                     .occupancy = placement.occupancy,
                                                     .meanRun = load_.meanRun},
                                                    arrival.at,
                                                    random_);
        if (verdict.outcome != FairAdmissionVerdict::Outcome::Admitted)
            return refuse(arrival, verdict.retryAfter);
    }
    if (placement.outcome != Placement::Outcome::Chosen)
        return refuse(arrival, placement.retryAfter);
    send(entryIndex, std::stoul(placement.server.id.value()), arrival);
}

void OverloadReplay::send(std::size_t entryIndex, std::size_t serverIndex, Arrival const &arrival)
{
    auto const now = arrival.at;
    auto const &caller = arrival.caller;
    auto &entry = entries_[entryIndex];
    auto &server = servers_[serverIndex];
    entry.sent.onStarted(recordOf(serverIndex).id, WorkClass::Online);
    entry.placement.onStarted(recordOf(serverIndex), nullptr);
    std::erase_if(server.ends, [now](Instant end) { return end <= now; });
    result_.itemsDone += std::erase_if(server.items, [now](Instant end) { return end <= now; });
    std::sort(server.ends.begin(), server.ends.end());
    auto start = server.ends.size() < Slots ? now : server.ends[server.ends.size() - Slots];
    if (server.ends.size() + server.items.size() >= Slots && !server.items.empty()) {
        server.items.pop_back();
        ++waitingItems_;
        ++result_.itemsCut;
        start += CutDelay;
    }
    // Large requests run for twice the time of the others, or a little less.
    auto const run = (caller.isLarge ? 1.8 : 0.91) * toSeconds(load_.meanRun) * (0.5 + uniform());
    auto const end = start + toDuration(run);
    server.ends.push_back(end);
    auto const weight = decision_ == Decision::Fair
        ? entry.admission.onStarted(CustomerId(std::to_string(caller.customer)), WorkSize(caller.isLarge ? 3'000 : 1'000))
        : RequestWeight(0);
    finishes_.push({.at = end, .entry = entryIndex, .server = serverIndex, .customer = caller.customer, .weight = weight});
    bool const isOnTime = start - now + FirstEventDelay <= Target;
    count(caller, {.callers = 1, .onTime = isOnTime && !caller.isRetry, .late = !isOnTime, .onTimeAfterRetry = isOnTime && caller.isRetry});
}

void OverloadReplay::refuse(Arrival const &arrival, Duration retryAfter)
{
    auto caller = arrival.caller;
    if (std::exchange(caller.isRetry, true))
        return count(caller, {.callers = 1});
    arrivals_.push({.at = arrival.at + std::min(retryAfter, (caller.deadline - arrival.at) / 3), .caller = caller});
}

void OverloadReplay::count(Caller const &caller, ReplayCount const &counted)
{
    result_.byCustomer[caller.customer] += counted;
    result_.byUrgency[static_cast<std::size_t>(urgencyOfCustomer(caller.customer))] += counted;
    result_.all += counted;
    if (caller.isLarge)
        result_.largest += counted;
}

} // namespace Anvilyard::Serving
