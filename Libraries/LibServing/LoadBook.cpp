#include "LibServing/LoadBook.h"

namespace Anvilyard::Serving {

namespace {

std::uint32_t &countOf(InFlight &inFlight, WorkClass workClass)
{
    return workClass == WorkClass::Online ? inFlight.online : inFlight.batch;
}

} // namespace

void LoadBook::onChange(std::function<void()> callback)
{
    callback_ = std::move(callback);
}

void LoadBook::onStarted(ServerId const &server, WorkClass workClass)
{
    ++countOf(inFlight_[server], workClass);
    noteChange();
}

void LoadBook::noteChange()
{
    ++changes_;
    if (callback_)
        callback_();
}

void LoadBook::onFinished(ServerId const &server, WorkClass workClass)
{
    auto const found = inFlight_.find(server);
    if (found == inFlight_.end())
        return;
    if (auto &count = countOf(found->second, workClass); count > 0)
        --count;
    if (found->second == InFlight{})
        inFlight_.erase(found);
    noteChange();
}

InFlight LoadBook::at(ServerId const &server) const
{
    auto const found = inFlight_.find(server);
    return found == inFlight_.end() ? InFlight{} : found->second;
}

std::map<ServerId, InFlight> const &LoadBook::all() const
{
    return inFlight_;
}

std::uint64_t LoadBook::changes() const
{
    return changes_;
}

} // namespace Anvilyard::Serving
