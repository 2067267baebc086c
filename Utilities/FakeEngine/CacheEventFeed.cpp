#include "Utilities/FakeEngine/CacheEventFeed.h"

#include <boost/json.hpp>
#include <cstdio>
#include <random>

namespace Anvilyard::FakeEngine {

namespace {

boost::json::array toHex(std::vector<std::uint64_t> const &hashes)
{
    boost::json::array list;
    for (auto const hash : hashes) {
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016lx", static_cast<unsigned long>(hash));
        list.emplace_back(text.data());
    }
    return list;
}

} // namespace

CacheEventFeed::CacheEventFeed(Http::EventLoop &loop, FaultSwitches const &faults)
    : loop_(loop)
    , faults_(faults)
{
}

void CacheEventFeed::subscribe(std::shared_ptr<Http::ResponseWriter> writer)
{
    writer->start({.status = 200, .headers = {{"Content-Type", "text/event-stream"}}});
    writer->write(": cache events\n\n", nullptr);
    writer->onCallerGone([this, raw = writer.get()] { std::erase_if(subscribers_, [raw](auto const &one) { return one.get() == raw; }); });
    subscribers_.push_back(std::move(writer));
}

void CacheEventFeed::publish(CacheChange const &change)
{
    auto const sequence = ++sequence_;
    if (subscribers_.empty() || std::bernoulli_distribution(faults_.cacheEventGaps)(random_))
        return;
    boost::json::object event{{"sequence", sequence}, {"stored", toHex(change.stored)}, {"removed", toHex(change.removed)}};
    delayedEvents_.push_back({.event = "data: " + boost::json::serialize(event) + "\n\n", .due = readLocalClock() + faults_.cacheEventLag});
    if (!timer_)
        schedule();
}

void CacheEventFeed::close()
{
    for (auto const &subscriber : subscribers_)
        subscriber->finish();
    subscribers_.clear();
}

void CacheEventFeed::schedule()
{
    timer_ = delayedEvents_.empty() ? nullptr : loop_.at(delayedEvents_.front().due, [this] { sendDue(); });
}

void CacheEventFeed::sendDue()
{
    auto const now = readLocalClock();
    while (!delayedEvents_.empty() && delayedEvents_.front().due <= now) {
        for (auto const &subscriber : subscribers_)
            subscriber->write(delayedEvents_.front().event, nullptr);
        delayedEvents_.pop_front();
    }
    schedule();
}

} // namespace Anvilyard::FakeEngine
