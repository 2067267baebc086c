#pragma once

#include "LibHttp/HttpServer.h"
#include "LibObserve/Tracing.h"
#include "Services/Entry/Filter.h"
#include "Services/Entry/ThreadContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace Anvilyard::Entry {

/// Handlers of batch requests on one traffic thread. Without them batch requests are refused.
struct JobsHandlers {
    std::function<bool(std::string_view path)> handles;
    std::function<void(CustomerId, Http::HttpRequest, std::shared_ptr<Http::ResponseWriter>)> handle;
    std::function<std::optional<Http::BodySink>(CustomerId, Http::HttpRequest const &, std::shared_ptr<Http::ResponseWriter> const &)>
        streamBody;
};

/// Components that are created and destroyed on the traffic thread.
struct TrafficComponents {
    JobsHandlers jobs;
    /// Filters between ServiceResolver and RelayFilter, in order.
    std::vector<std::unique_ptr<Filter>> filters;
    /// Objects that must live as long as the thread's loop.
    std::vector<std::shared_ptr<void>> keptAlive;
};

struct TrafficThreadOptions {
    Address listen;
    Routing::ChooserOptions chooser;
    TimeLimits limits;
    SnapshotCell<EntryView> const &view;
    Observe::Tracer &tracer;
    EntryMetrics &metrics;
    TrafficHooks hooks;
    /// Called once on the new thread to create its components.
    std::function<TrafficComponents(ThreadContext &)> makeComponents;
};

/// A thread with its own event loop, HTTP server and HTTP client. Accepts callers, sends requests to backend servers and relays the
/// answers.
class TrafficThread
{
public:
    /// Returns once the thread is listening, or an error if it cannot listen.
    static Result<std::unique_ptr<TrafficThread>> create(TrafficThreadOptions options);
    ~TrafficThread();
    TrafficThread(TrafficThread const &) = delete;
    TrafficThread &operator=(TrafficThread const &) = delete;

    [[nodiscard]] Address address() const;
    /// Runs a task on the thread and passes it the thread's shared state.
    void post(std::function<void(ThreadContext &)> task);
    /// Extends the lifetime of an object until the thread's loop has ended. Must be called on the thread.
    void keepAlive(std::shared_ptr<void> object);
    /// Adds "Connection: close" to answers from now on. New requests are still served.
    void announceLeaving();
    /// Also closes the connections without a request, and each other one once it has none.
    void stopAccepting();
    /// Ends the loop and waits for the thread. Tasks posted afterwards are discarded.
    void stop();
    /// Number of running requests. Thread-safe.
    [[nodiscard]] std::size_t openExchanges();

private:
    explicit TrafficThread(TrafficThreadOptions options);

    Result<Address> listen();
    /// Creates a request with its span and view and counts it.
    OnlineRequestPointer begin(RequestId const &id, Http::Headers const &headers, std::shared_ptr<Http::ResponseWriter> writer);
    void handleJobs(OnlineRequestPointer const &request);
    void accept(Http::HttpRequest http, std::shared_ptr<Http::ResponseWriter> writer);
    std::optional<Http::BodySink> streamBody(Http::HttpRequest const &head, std::shared_ptr<Http::ResponseWriter> const &writer);
    [[nodiscard]] bool isJobsPath(std::string_view path) const;

    TrafficThreadOptions options_;
    Http::EventLoop loop_;
    std::unique_ptr<Http::HttpClient> client_;
    std::unique_ptr<Http::HttpServer> server_;
    std::unique_ptr<ThreadContext> context_;
    TrafficComponents components_;
    std::unique_ptr<FilterChain> chain_;
    Address address_;
    std::thread thread_;
};

} // namespace Anvilyard::Entry
