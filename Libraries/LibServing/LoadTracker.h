#pragma once

#include "LibServing/PeerReport.h"

#include <functional>
#include <map>

namespace Anvilyard::Serving {

enum class WorkClass {
    Online,
    Batch,
};

/// Counts the requests of this instance in flight at each server. Performs no I/O.
class LoadTracker
{
public:
    /// Sets the callback invoked after each start and finish.
    void onChange(std::function<void()> callback);
    void onStarted(ServerId const &server, WorkClass workClass);
    void onFinished(ServerId const &server, WorkClass workClass);
    /// Records that the server answered a request with an error. Besides onFinished(), which is called as well, one request counts as in
    /// flight until `until`. A server that fails its requests at once has few in flight, so that all instances would choose it before the
    /// servers that run theirs.
    void onFailed(ServerId const &server, WorkClass workClass, Instant until);
    /// Ends the time for which failed requests count.
    void onTick(Instant now);

    [[nodiscard]] InFlight at(ServerId const &server) const;
    [[nodiscard]] std::map<ServerId, InFlight> const &all() const;
    /// Number of changes so far; increases with each start and finish.
    [[nodiscard]] std::uint64_t changes() const;

private:
    void recordChange();

    struct FailedRequest {
        ServerId server;
        WorkClass workClass = WorkClass::Online;
    };

    std::map<ServerId, InFlight> inFlight_;
    /// Failed requests that still count, by the end of that time.
    std::multimap<Instant, FailedRequest> failed_;
    std::uint64_t changes_ = 0;
    std::function<void()> callback_;
};

} // namespace Anvilyard::Serving
