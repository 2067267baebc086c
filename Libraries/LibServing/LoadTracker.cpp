#include "LibServing/LoadTracker.h"

namespace Anvilyard::Serving {

namespace {

std::uint32_t &countOf(InFlight &inFlight, WorkClass workClass)
{
    return workClass == WorkClass::Online ? inFlight.online : inFlight.batch;
}

} // namespace

void LoadTracker::onChange(std::function<void()> callback)
{
    callback_ = std::move(callback);
}

void LoadTracker::onStarted(ServerId const &server, WorkClass workClass)
{
    ++countOf(inFlight_[server], workClass);
    recordChange();
}

void LoadTracker::recordChange()
{
    ++changes_;
    if (callback_)
        callback_();
}

void LoadTracker::onFinished(ServerId const &server, WorkClass workClass)
{
    auto const found = inFlight_.find(server);
    if (found == inFlight_.end())
        return;
    if (auto &count = countOf(found->second, workClass); count > 0)
        --count;
    if (found->second == InFlight{})
        inFlight_.erase(found);
    recordChange();
}

void LoadTracker::onFailed(ServerId const &server, WorkClass workClass, Instant until)
{
    onStarted(server, workClass);
    failed_.emplace(until, FailedRequest{.server = server, .workClass = workClass});
}

void LoadTracker::onTick(Instant now)
{
    while (!failed_.empty() && failed_.begin()->first <= now) {
        auto const failed = failed_.extract(failed_.begin()).mapped();
        onFinished(failed.server, failed.workClass);
    }
}

InFlight LoadTracker::at(ServerId const &server) const
{
    auto const found = inFlight_.find(server);
    return found == inFlight_.end() ? InFlight{} : found->second;
}

std::map<ServerId, InFlight> const &LoadTracker::all() const
{
    return inFlight_;
}

std::uint64_t LoadTracker::changes() const
{
    return changes_;
}

} // namespace Anvilyard::Serving
