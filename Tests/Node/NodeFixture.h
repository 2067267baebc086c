#pragma once

#include "Services/Node/NodeProgram.h"
#include "Tests/FakeFleet/FleetStoreServer.h"
#include "Tests/LibHttp/LoopThread.h"
#include "platform/FleetProtocol.h"
#include "platform/FleetStore.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Anvilyard::Tests {

/// Model engine or plain server of the users' platform, with responses scripted by the test.
class FleetServer
{
public:
    using Writer = std::shared_ptr<Http::ResponseWriter>;
    /// Called on the event loop with the number of the request, starting at 1.
    using Script = std::function<void(int number, Http::HttpRequest const &, Writer const &)>;

    FleetServer(LoopThread &thread, Script script)
        : thread_(thread)
        , script_(std::move(script))
    {
        thread_.call([this] {
            server_ =
                std::move(*Http::HttpServer::create(thread_.loop(), {.listen = Address("127.0.0.1:0")}, [this](auto request, auto writer) {
                    {
                        std::lock_guard const guard(mutex_);
                        requests_.push_back(request);
                    }
                    script_(static_cast<int>(requests_.size()), request, writer);
                }));
        });
    }

    ~FleetServer()
    {
        thread_.call([this] { server_.reset(); });
    }

    FleetServer(FleetServer const &) = delete;
    FleetServer &operator=(FleetServer const &) = delete;

    [[nodiscard]] Address address() const
    {
        return server_->address();
    }

    [[nodiscard]] std::vector<Http::HttpRequest> requests() const
    {
        std::lock_guard const guard(mutex_);
        return requests_;
    }

private:
    LoopThread &thread_;
    Script script_;
    std::unique_ptr<Http::HttpServer> server_;
    mutable std::mutex mutex_;
    std::vector<Http::HttpRequest> requests_;
};

inline std::string eventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) + "\n\n";
}

inline std::string eventTexts(std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (auto id = from; id < to; ++id)
        text += eventText(id);
    return text;
}

/// Returns the response headers that a server of the platform sends for the request.
inline Http::Headers signedHeaders(Http::HttpRequest const &request, std::string contentType)
{
    return {{"Content-Type", std::move(contentType)},
            {"Anvilyard-Attempt-Id", std::string(request.headers.find("Anvilyard-Attempt-Id").value_or(""))},
            {"Anvilyard-Response-Signature", "sig"}};
}

/// Responds with the events before `to`, starting after the request's Last-Event-Id.
inline void answerEvents(Http::HttpRequest const &request, FleetServer::Writer const &writer, std::uint64_t to)
{
    auto const last = request.headers.find("Last-Event-Id");
    writer->start({.status = 200, .headers = signedHeaders(request, "text/event-stream")});
    writer->write(eventTexts(last ? std::stoull(std::string(*last)) + 1 : 0, to), nullptr);
    writer->finish();
}

/// Runs nodes with a fake platform, all on one event loop.
class NodeTest : public ::testing::Test
{
protected:
    struct RunningNode {
        std::unique_ptr<Adapter::FleetStore> store;
        std::unique_ptr<Node::NodeProgram> program;
        std::atomic<bool> isStopped = false;
    };

    NodeTest()
    {
        thread_.call([this] {
            store_ = std::make_unique<FleetStoreServer>(thread_.loop());
            client_ = Http::HttpClient::create(thread_.loop(), {});
        });
    }

    ~NodeTest() override
    {
        thread_.call([this] {
            nodes_.clear();
            client_.reset();
            store_.reset();
        });
    }

    NodeTest(NodeTest const &) = delete;
    NodeTest &operator=(NodeTest const &) = delete;

    /// Routes "/s/" (resumable streams), "/o/" (streams that are not resumable), "/i/" (idempotent), "/b/" (batch), "/u/" (at most
    /// once), all to the pool "p".
    void putState(std::uint64_t version,
                  std::string const &extraRoutes = "",
                  std::uint64_t maxWaitingTokens = 100'000,
                  std::string const &extraServices = "")
    {
        auto const route = [](std::string const &name, std::string const &kind, std::string const &rest) {
            return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name + R"(/","kind":")" + kind
                + R"(","timeoutMs":3000,"sloMs":1000,"priority":0,"service":"p",)" + rest + "}";
        };
        auto const state = R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
            + route("s", "streaming", R"("attempts":2,"resumable":true,"gapAimMs":2000)") + ","
            + route("o", "streaming", R"("attempts":1,"resumable":false,"gapAimMs":2000)") + ","
            + route("i", "idempotent", R"("attempts":2)") + "," + route("u", "non_idempotent", R"("attempts":2)") + ","
            + route("b", "batch", R"("attempts":3,"completionTargetMs":18000,"queueTtlS":60,"cap":)" + std::to_string(maxWaitingTokens))
            + extraRoutes + R"(],"services":[{"name":"p","healthPath":"/healthz","maxConns":100})" + extraServices + "],"
            + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000})"
            + (customers_.empty() ? "" : R"(,"tenants":)" + customers_) + "}";
        thread_.call([&] { store_->put("config", "main", state); });
    }

    void putServer(std::string const &id,
                   Address const &address,
                   std::string const &state = "ready",
                   int slots = 8,
                   std::string const &dataCentre = "dc",
                   std::string const &version = "",
                   std::string const &service = "p")
    {
        auto const spec = R"({"service":")" + service + R"(","address":")" + address.value() + R"(","zone":")" + dataCentre
            + R"(","slots":)" + std::to_string(slots) + R"(,"state":")" + state + R"(","version":")" + version + R"(","born":1})";
        thread_.call([&] { store_->put("servers", id, spec); });
    }

    Node::NodeProgram &startNode(std::string const &name, Serving::InstanceRole role = Serving::InstanceRole::Entry)
    {
        auto &node = nodes_[name];
        thread_.call([&] {
            node.store = Adapter::FleetStore::create({.loop = thread_.loop(),
                                                      .platform = store_->address(),
                                                      .callTimeout = 400ms,
                                                      .watchHoldTime = watchHoldTime_,
                                                      .pacingByKind = watchPacing_});
            Address const any("127.0.0.1:0");
            node.program = std::make_unique<Node::NodeProgram>(Node::NodeProgramOptions{
                .loop = thread_.loop(),
                .settings = {.instance = InstanceId(name),
                             .dataCentre = DataCentreId("dc"),
                             .role = role,
                             .callers = any,
                             .readiness = any,
                             .peers = any,
                             .metrics = any},
                .protocol = protocol_,
                .store = *node.store,
                .statuses = *node.store,
                .maxRequestHold = maxRequestHold_,
                .ownerCheck = ownerCheck_,
                .onStopped = [&node] { node.isStopped = true; },
            });
            auto const started = node.program->start();
            ASSERT_TRUE(started) << started.error().toString();
        });
        return *node.program;
    }

    bool stopped(std::string const &name)
    {
        return nodes_.at(name).isStopped;
    }

    void killNode(std::string const &name)
    {
        thread_.call([&] {
            nodes_.at(name).program.reset();
            nodes_.at(name).store.reset();
        });
        nodes_.erase(name);
    }

    /// Polls until the condition holds. If it never does, the test fails by its time limit.
    void waitUntil(std::function<bool()> const &condition)
    {
        while (!thread_.call(condition)) {
            std::promise<void> passed;
            auto const timer = thread_.call([&] { return thread_.loop().at(readLocalClock() + 10ms, [&] { passed.set_value(); }); });
            passed.get_future().wait();
            thread_.call([&] { timer->cancel(); });
        }
    }

    void waitFor(Duration time)
    {
        waitUntil([until = readLocalClock() + time] { return readLocalClock() >= until; });
    }

    void waitUntilReady(Node::NodeProgram &node)
    {
        waitUntil([&] { return node.isReady(); });
    }

    Http::HttpRequest requestOf(std::string target, std::string id)
    {
        return {.method = "POST",
                .target = std::move(target),
                .headers = {{"Host", "h.example"}, {"Anvilyard-Attempt-Id", std::move(id)}, {"Anvilyard-Deadline-Ms", "3000"}},
                .body = "hello"};
    }

    using Answer = tl::expected<Http::HttpResponse, Http::ExchangeFailure>;

    std::future<Answer> sendTo(Node::NodeProgram &node, Http::HttpRequest request)
    {
        return sendTo(thread_.call([&] { return node.callerAddress(); }), std::move(request));
    }

    std::future<Answer> sendTo(Address const &server, Http::HttpRequest request)
    {
        auto promise = std::make_shared<std::promise<Answer>>();
        thread_.call([&] {
            client_->fetch({.server = server,
                            .request = std::move(request),
                            .deadline = readLocalClock() + 20s,
                            .connection = Http::ClientRequest::Connection::FreshOnly},
                           [promise](Answer answer) { promise->set_value(std::move(answer)); });
        });
        return promise->get_future();
    }

    Answer ask(Node::NodeProgram &node, Http::HttpRequest request)
    {
        return sendTo(node, std::move(request)).get();
    }

    std::string metricsOf(Node::NodeProgram &node)
    {
        auto const address = thread_.call([&] { return node.metricsAddress(); });
        auto const answer = sendTo(address, {.method = "GET", .target = "/metrics", .headers = {{"Host", address.value()}}}).get();
        return answer ? answer->body : answer.error().error.toString();
    }

    Adapter::FleetProtocol const protocol_;
    LoopThread thread_;
    std::unique_ptr<FleetStoreServer> store_;
    std::shared_ptr<Http::HttpClient> client_;
    std::map<std::string, RunningNode> nodes_;
    /// Of nodes that are started later.
    Duration maxRequestHold_ = 60ms;
    /// Customers of desired states that are put later, as a JSON array; empty for a desired state without customers.
    std::string customers_;
    Jobs::OwnerCheckOptions ownerCheck_;
    /// How long the store may hold the watch calls of nodes that are started later.
    std::chrono::milliseconds watchHoldTime_ = 28s;
    /// Pacing of the watches of nodes that are started later.
    std::map<Platform::Kind, Platform::WatchPacingOptions> watchPacing_;
};

} // namespace Anvilyard::Tests
