#pragma once

#include "LibHttp/HttpServer.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace Anvilyard::Tests {

/// Stand-in for a backend server that responds with event streams or with whole bodies. It runs a limited number of requests at once and
/// queues the others. All calls are made on the event loop.
class ModelServer
{
public:
    enum class ResponseForm {
        /// The head is sent at the HeadMoment of the server.
        EventStream,
        /// Head and body are sent together when the run ends.
        Whole,
    };

    enum class HeadMoment {
        RunBegins,
        FirstEvent,
    };

    /// What becomes of a response on its way to the caller.
    enum class ResponseFate {
        Arrives,
        /// The connection is closed instead, when the server has ended its run.
        Reset,
        /// The same after the head of an error response.
        BreakOff,
        /// Nothing arrives and the connection stays open.
        Silence,
    };

    struct Run {
        Http::HttpRequest request;
        ResponseFate fate = ResponseFate::Arrives;
        bool isHeadSent = false;
        std::shared_ptr<Http::ResponseWriter> writer;
        std::uint64_t nextEvent = 0;
        std::unique_ptr<Http::Timer> timer;
        /// Status with which the server rejects the request instead of running it to its end.
        std::optional<int> rejection;
    };
    /// Called once the request has run for a while, before the first event or the whole response.
    using Behaviour = std::function<void(ModelServer &server, std::shared_ptr<Run> const &run)>;

    struct Options {
        std::string id;
        /// If the port is taken, the system assigns another one.
        Address listen = Address("127.0.0.1:0");
        ResponseForm form = ResponseForm::EventStream;
        /// Of event streams.
        HeadMoment headMoment = HeadMoment::RunBegins;
        std::size_t slots = 4;
        /// Time from the start of a run until the behaviour is called.
        Duration promptTime = 30ms;
        /// Whole responses are filled up to this size.
        std::size_t minResponseBytes = 0;
        Duration eventGap = 10ms;
        std::uint64_t events = 10;
        /// Precedes the text of each event.
        std::string eventPrefix;
        Behaviour behaviour = [](ModelServer &server, std::shared_ptr<Run> const &run) { server.complete(run); };
        /// Returns the status of a request that ends with an error response.
        std::function<std::optional<int>(Http::HttpRequest const &)> rejection = [](auto const &) { return std::nullopt; };
        std::function<void(Http::HttpRequest const &)> onRejected = [](auto const &) {};
        std::function<ResponseFate(Http::HttpRequest const &)> fate = [](auto const &) { return ResponseFate::Arrives; };
        /// Called when a run begins.
        std::function<void(Http::HttpRequest const &)> onStarted = [](auto const &) {};
        /// Called when the server has generated the whole response to a request.
        std::function<void(Http::HttpRequest const &)> onFinished = [](auto const &) {};
        /// Called for each request that is to be run, before the server decides whether it runs it.
        std::function<void(Http::HttpRequest const &)> onReceived = [](auto const &) {};
        std::function<void()> onCrashed = [] {};
        /// Returns headers that the responses to requests have besides those of the protocol.
        std::function<Http::Headers()> extraHeaders = [] { return Http::Headers(); };
    };

    ModelServer(Http::EventLoop &loop, Options options);
    ~ModelServer();
    ModelServer(ModelServer const &) = delete;
    ModelServer &operator=(ModelServer const &) = delete;

    [[nodiscard]] std::string const &id() const;
    [[nodiscard]] Address const &address() const;
    [[nodiscard]] bool isUp() const;
    [[nodiscard]] ResponseForm form() const;

    /// Completes the response in the server's form.
    void complete(std::shared_ptr<Run> const &run);
    /// Writes the next event of the run.
    void writeEvent(std::shared_ptr<Run> const &run);
    /// Writes the remaining events of the run, one after the other, and ends its response.
    void writeEvents(std::shared_ptr<Run> const &run);
    /// Closes the connection of the run.
    void cut(std::shared_ptr<Run> const &run);
    /// Stops reading and writing until then, while its host still accepts connections and bytes, as a process that is paused.
    void silence(Instant until);
    /// Closes all connections and refuses new ones.
    void crash();
    /// Like crash(), but does not call onCrashed.
    void stop();

private:
    void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseWriter> const &writer);
    /// Returns the time, or the end of the silence if that is later.
    [[nodiscard]] Instant afterSilence(Instant time) const;
    /// Starts the timer of a run. It is started again if the server is silent then.
    void schedule(std::shared_ptr<Run> const &run, Instant at, std::function<void(std::shared_ptr<Run> const &)> action);
    void startWaiting();
    void sendHead(std::shared_ptr<Run> const &run);
    void reject(std::shared_ptr<Run> const &run);
    /// Ends a run whose response does not arrive.
    void lose(std::shared_ptr<Run> const &run);
    void end(std::shared_ptr<Run> const &run);
    [[nodiscard]] Http::Headers headersFor(Http::HttpRequest const &request) const;

    Http::EventLoop &loop_;
    Options options_;
    Address address_;
    std::unique_ptr<Http::HttpServer> server_;
    std::list<std::shared_ptr<Run>> waiting_;
    std::list<std::shared_ptr<Run>> running_;
    /// Connections on which nothing arrives.
    std::list<std::shared_ptr<Http::ResponseWriter>> silent_;
    Instant silentUntil_ = Instant::min();
    /// Requests that arrived during a silence.
    std::list<std::unique_ptr<Http::Timer>> deferred_;
};

} // namespace Anvilyard::Tests
