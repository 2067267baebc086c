#include "Services/Entry/PoolChoosers.h"

namespace Anvilyard::Entry {

PoolChoosers::PoolChoosers(Routing::ChooserOptions options)
    : options_(std::move(options))
{
}

void PoolChoosers::update(std::shared_ptr<EntryView const> const &view)
{
    if (view == view_)
        return;
    // Ejections change far more often than the servers, so the servers are set only for a new fleet view.
    bool const isSameFleet = view_ && view_->fleetPointer() == view->fleetPointer();
    view_ = view;
    for (auto const &[pool, servers] : view->pools()) {
        auto &chooser = choosers_.try_emplace(pool, options_).first->second;
        if (!isSameFleet)
            chooser.setServers(servers);
        chooser.setEjected(view->ejected());
    }
    if (!isSameFleet)
        std::erase_if(choosers_, [&](auto const &entry) { return !view->pools().contains(entry.first); });
}

Routing::ServerChooser *PoolChoosers::find(PoolName const &pool)
{
    auto const found = choosers_.find(pool);
    return found == choosers_.end() ? nullptr : &found->second;
}

std::map<PoolName, Routing::ServerChooser> &PoolChoosers::all()
{
    return choosers_;
}

} // namespace Anvilyard::Entry
