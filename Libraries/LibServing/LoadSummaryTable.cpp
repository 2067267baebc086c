#include "LibServing/LoadSummaryTable.h"

#include <algorithm>

namespace Anvilyard::Serving {

namespace {

InFlight at(LoadByServer const &load, ServerId const &server)
{
    auto const found = load.find(server);
    return found == load.end() ? InFlight{} : found->second;
}

std::uint32_t subtract(std::uint32_t from, std::uint32_t count)
{
    return from - std::min(from, count);
}

} // namespace

LoadSummaryTable::LoadSummaryTable(LoadSummaryTableOptions options)
    : options_(std::move(options))
{
}

void LoadSummaryTable::onOwnReport(ReportPosition const &position, LoadByServer load)
{
    ownReports_.emplace_back(position, std::move(load));
    while (ownReports_.size() > options_.maxOwnReports)
        ownReports_.pop_front();
}

bool LoadSummaryTable::onSummary(LoadSummary summary, Instant now)
{
    auto const [last, isFirst] = lastOfRelay_.try_emplace(summary.relay);
    if (!isFirst && summary.position <= last->second.position)
        return false;
    last->second = {.position = summary.position, .at = now};
    if (summary.dataCentre == options_.dataCentre)
        onNear(std::move(summary), now);
    else
        onFar(std::move(summary), now);
    return true;
}

void LoadSummaryTable::onNear(LoadSummary summary, Instant now)
{
    near_ = std::move(summary.near);
    nearAt_ = now;
    if (summary.far) {
        relayedFar_ = std::move(*summary.far);
        relayedFarAt_ = now;
    }
    if (!summary.included)
        return;
    auto const own =
        std::find_if(ownReports_.begin(), ownReports_.end(), [&](auto const &report) { return report.first == *summary.included; });
    if (own == ownReports_.end())
        return;
    for (auto const &[server, count] : own->second) {
        auto const found = near_.find(server);
        if (found == near_.end())
            continue;
        found->second.online = subtract(found->second.online, count.online);
        found->second.batch = subtract(found->second.batch, count.batch);
    }
}

void LoadSummaryTable::onFar(LoadSummary summary, Instant now)
{
    farByDataCentre_[summary.dataCentre] = {.load = std::move(summary.near), .at = now};
    sumFar();
}

void LoadSummaryTable::sumFar()
{
    farFromRelays_.clear();
    for (auto const &[dataCentre, summary] : farByDataCentre_) {
        for (auto const &[server, count] : summary.load) {
            auto &sum = farFromRelays_[server];
            sum.online += count.online;
            sum.batch += count.batch;
        }
    }
}

void LoadSummaryTable::onTick(Instant now)
{
    if (nearAt_ && now - *nearAt_ >= options_.summaryTimeout)
        nearAt_.reset();
    if (relayedFarAt_ && now - *relayedFarAt_ >= options_.summaryTimeout) {
        relayedFarAt_.reset();
        relayedFar_.clear();
    }
    auto const dropped =
        std::erase_if(farByDataCentre_, [&](auto const &entry) { return now - entry.second.at >= options_.summaryTimeout; });
    if (dropped > 0)
        sumFar();
    std::erase_if(lastOfRelay_, [&](auto const &entry) { return now - entry.second.at >= options_.summaryTimeout; });
}

std::optional<Instant> LoadSummaryTable::lastNearAt() const
{
    return nearAt_;
}

bool LoadSummaryTable::hasNear() const
{
    return nearAt_.has_value();
}

InFlight LoadSummaryTable::nearAt(ServerId const &server) const
{
    return at(near_, server);
}

bool LoadSummaryTable::hasFar() const
{
    return relayedFarAt_.has_value() || !farByDataCentre_.empty();
}

InFlight LoadSummaryTable::farAt(ServerId const &server) const
{
    return at(farFromRelays_.empty() ? relayedFar_ : farFromRelays_, server);
}

LoadByServer const &LoadSummaryTable::farFromRelays() const
{
    return farFromRelays_;
}

} // namespace Anvilyard::Serving
