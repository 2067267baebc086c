#pragma once

#include "LibRouting/ServerChooser.h"
#include "Services/Entry/EntryView.h"

#include <map>
#include <memory>

namespace Anvilyard::Entry {

/// The server chooser of each pool on one traffic thread, updated with the view in force.
class PoolChoosers
{
public:
    explicit PoolChoosers(Routing::ChooserOptions options);

    /// Does nothing if the view is unchanged.
    void update(std::shared_ptr<EntryView const> const &view);
    [[nodiscard]] Routing::ServerChooser *find(PoolName const &pool);
    [[nodiscard]] std::map<PoolName, Routing::ServerChooser> &all();

private:
    Routing::ChooserOptions options_;
    std::shared_ptr<EntryView const> view_;
    std::map<PoolName, Routing::ServerChooser> choosers_;
};

} // namespace Anvilyard::Entry
