#pragma once

#include "LibCore/Random.h"
#include "LibFleet/FleetView.h"
#include "LibHttp/HttpClient.h"
#include "LibYield/BatchGate.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Anvilyard::Batch {

struct EngineLoadPollerOptions {
    Http::EventLoop &loop;
    /// Returns the number of this process's items that are running on a server.
    std::function<std::size_t(ServerId const &)> runningOn;
    std::function<void(ServerId const &, Yield::EngineLoad const &)> onLoad;
    RandomSource &random;
    /// Interval between two polls of a server. Shorter than the time after which the gate considers a report stale.
    Duration interval = 700ms;
};

/// Polls the load of the servers whose batch slots belong to this instance. Runs on the event loop's thread.
class EngineLoadPoller
{
public:
    explicit EngineLoadPoller(EngineLoadPollerOptions options);

    void start();
    void setServers(std::vector<Fleet::BackendServer> servers);

private:
    void pollAll();
    void poll(Fleet::BackendServer const &server);

    EngineLoadPollerOptions options_;
    std::unique_ptr<Http::HttpClient> client_;
    std::vector<Fleet::BackendServer> servers_;
    std::unique_ptr<Http::Timer> timer_;
};

} // namespace Anvilyard::Batch
