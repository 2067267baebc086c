#pragma once

#include "LibServing/PeerReport.h"

#include <map>

namespace Anvilyard::Serving {

enum class WorkClass {
    Online,
    Batch,
};

/// Requests that this instance has at each server now; exact. Pure.
class LoadBook
{
public:
    void onStarted(ServerId const &server, WorkClass workClass);
    void onFinished(ServerId const &server, WorkClass workClass);

    [[nodiscard]] InFlight at(ServerId const &server) const;
    [[nodiscard]] std::map<ServerId, InFlight> const &all() const;
    /// Changes with each start and finish.
    [[nodiscard]] std::uint64_t changes() const;

private:
    std::map<ServerId, InFlight> inFlight_;
    std::uint64_t changes_ = 0;
};

} // namespace Anvilyard::Serving
