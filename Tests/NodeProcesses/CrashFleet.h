#pragma once

#include "LibHttp/HttpClient.h"
#include "Tests/FakeFleet/FleetStoreServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "Tests/NodeProcesses/ModelServer.h"
#include "Tests/NodeProcesses/NodeProcess.h"

#include <future>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Anvilyard::Tests {

/// Node processes, the store and model servers that crash on requests whose prompts hold certain parts. A crashed server is started again
/// under a new id.
class CrashFleet
{
public:
    using Answer = tl::expected<Http::HttpResponse, Http::ExchangeFailure>;
    /// Ids of the parts of a prompt, without the last one, which belongs to the request itself.
    using Parts = std::vector<std::string>;

    CrashFleet();
    ~CrashFleet();
    CrashFleet(CrashFleet const &) = delete;
    CrashFleet &operator=(CrashFleet const &) = delete;

    void startServers(std::size_t count);
    /// Starts a node process without waiting until it is ready.
    NodeProcess &startNode(std::string const &name, Serving::InstanceRole role = Serving::InstanceRole::Entry);
    void waitUntilReady(NodeProcess const &entry);
    /// Waits until no server is down.
    void waitUntilServersAreUp();
    /// Polls until the condition holds and throws after a time that is far beyond any of the platform's. The condition is called on the
    /// event loop.
    void waitUntil(std::string const &description, std::function<bool()> const &condition);
    void waitUntil(Instant time);

    /// Makes servers crash on prompts that hold the part.
    void addCrashingPart(std::string const &part);
    /// Sets what servers do with other requests that are started later.
    void setBehaviour(ModelServer::Behaviour behaviour);

    /// Returns a request of the streaming route, with a prompt of these parts and one of its own.
    [[nodiscard]] Http::HttpRequest requestOf(Parts const &parts);
    /// Headers of a request with a prompt of these parts and one of its own.
    [[nodiscard]] Http::Headers promptHeaders(Parts const &parts);
    std::future<Answer> send(NodeProcess const &entry, Http::HttpRequest request);

    /// When requests whose prompts hold the part reached servers.
    [[nodiscard]] std::vector<Instant> arrivals(std::string const &part);
    /// When servers crashed on requests whose prompts hold the part.
    [[nodiscard]] std::vector<Instant> crashes(std::string const &part);

private:
    std::future<Answer> sendTo(Address const &server, Http::HttpRequest request);
    void startServer(Address const &address);
    void onRun(ModelServer &server, std::shared_ptr<ModelServer::Run> const &run);
    void onCrashed(std::string const &id);

    std::filesystem::path folder_;
    LoopThread thread_;
    std::unique_ptr<FleetStoreServer> store_;
    std::shared_ptr<Http::HttpClient> client_;
    std::size_t serverCount_ = 0;
    /// By id. Crashed servers stay, because callbacks of their connections may refer to them.
    std::map<std::string, std::unique_ptr<ModelServer>> servers_;
    std::vector<std::unique_ptr<Http::Timer>> restarts_;
    ModelServer::Behaviour behaviour_;
    std::set<std::string> crashingParts_;
    std::map<std::string, std::vector<Instant>> arrivals_;
    std::map<std::string, std::vector<Instant>> crashes_;
    std::map<std::string, std::unique_ptr<NodeProcess>> nodes_;
    std::size_t requests_ = 0;
};

} // namespace Anvilyard::Tests
