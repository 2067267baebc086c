#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Anvilyard::Http {

/// How a chunk handed to a response writer went.
enum class WriteOutcome {
    Written,
    CallerGone,
};

/// Writes one response. All calls are made on the server's loop thread. Dropping it unfinished closes the connection.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends a whole response with a Content-Length.
    virtual void respond(HttpResponse response) = 0;
    /// Starts a chunked response; write() and finish() follow.
    virtual void start(ResponseHead head) = 0;
    /// Sends a piece of the body. The callback comes once the piece left our memory; write the next one then for bounded memory.
    virtual void write(std::string piece, std::function<void(WriteOutcome)> done) = 0;
    /// Ends a chunked response properly.
    virtual void finish() = 0;
    /// Closes the connection without a proper end, so that nobody takes the answer for whole.
    virtual void abort() = 0;
    /// Calls back once, if the caller closes before the response is finished.
    virtual void onCallerGone(std::function<void()> callback) = 0;
    /// Bytes handed over by write() that have not left yet.
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

/// Receives a request's body piece by piece, for bodies too large to hold.
struct BodySink {
    /// The next piece is read only after `next` was called, so that a slow consumer bounds our memory.
    std::function<void(std::string_view piece, std::function<void()> next)> onPiece;
    /// Called once after the last piece.
    std::function<void()> onEnd;
    /// Called in place of onEnd when the caller vanished or the body was malformed.
    std::function<void(Error)> onError;
};

using RequestHandler = std::function<void(HttpRequest request, std::shared_ptr<ResponseWriter> writer)>;
/// Given head and writer of a request, returns a sink when its body is to be streamed, or nothing to have it read whole.
using StreamedBodyHandler = std::function<std::optional<BodySink>(HttpRequest const &head, std::shared_ptr<ResponseWriter> const &writer)>;

/// What a server takes from callers; may change while it runs.
struct CallerLimits {
    std::size_t headLimitBytes = 32 * 1024;
    std::size_t bodyLimitBytes = 8 * 1024 * 1024;
    /// A request's head must be complete this long after its first byte, or its connection is dropped with 408.
    Duration headTimeout = 20s;
    /// The same for the whole request.
    Duration requestTimeout = 20s;
    Duration idleTimeout = 75s;
};

struct HttpServerOptions {
    Address listen;
    CallerLimits limits = {};
    /// Limit for bodies that StreamedBodyHandler takes.
    std::size_t streamedBodyLimitBytes = 1024UL * 1024 * 1024;
    /// For streamed bodies: longest wait for the next piece.
    Duration bodyProgressTimeout = 20s;
    /// Longest wait for a slow caller to take a piece of the response.
    Duration writeTimeout = 60s;
    std::size_t connectionLimit = 4096;
    StreamedBodyHandler streamedBody;
    /// Shared lets several servers, each on its own loop, listen on one port.
    enum class Port { Exclusive, Shared } port = Port::Exclusive;
};

/// HTTP/1.1 towards callers: one exchange at a time on each connection, malformed input refused before the handler sees it
/// with the JSON error of docs/operators/refusals.md. Several servers, one a loop, may share a port (SO_REUSEPORT).
class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    virtual ~HttpServer() = default;

    /// The address in use, with the port the system chose for port 0.
    [[nodiscard]] virtual Address address() const = 0;
    /// Adds "Connection: close" to answers, while still accepting what a balancer sends.
    virtual void announceLeaving() = 0;
    /// Stops accepting; open exchanges go on.
    virtual void stopAccepting() = 0;
    /// In force for every request whose head is read from now on.
    virtual void setLimits(CallerLimits limits) = 0;
    /// Closes the connections on which no request is under way.
    virtual void closeIdle() = 0;
    [[nodiscard]] virtual std::size_t openExchanges() const = 0;
};

} // namespace Anvilyard::Http
