#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibHttp/ConnectionBudget.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpMessage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Anvilyard::Http {

/// Result of writing a piece of a response.
enum class WriteOutcome {
    Written,
    CallerGone,
};

/// Writes one response. All calls are made on the server's loop thread. Destroying it before the response is finished closes the
/// connection.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// Sends a complete response with a Content-Length.
    virtual void respond(HttpResponse response) = 0;
    /// Starts a chunked response; write() and finish() follow. Like respond(), it ends the delivery of a body that is not read yet.
    virtual void start(ResponseHead head) = 0;
    /// Sends a piece of the body. The callback is called once the piece has left the write buffer. Writing the next piece only
    /// then keeps memory bounded.
    virtual void write(std::string piece, std::function<void(WriteOutcome)> done) = 0;
    /// Completes a chunked response.
    virtual void finish() = 0;
    /// Closes the connection without completing the response, so that the caller detects the truncation.
    virtual void abort() = 0;
    /// Sets a callback that is called once if the caller disconnects before the response is finished.
    virtual void onCallerGone(std::function<void()> callback) = 0;
    /// Number of bytes passed to write() that have not been sent yet.
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
    /// States how many bytes of a response the handler keeps before it passes them on. They count as the connection's.
    virtual void setKeptBytes(std::size_t) { }
    /// Sets a callback that is called when the handler has to drop what it keeps of a response, as the connections hold too much memory.
    /// Without one, the connection is closed.
    virtual void onKeptTooMuch(std::function<void()>) { }
};

/// Receives the body of a request piece by piece, for bodies too large to hold in memory.
struct BodySink {
    /// The next piece is read only after `next` was called, so that memory stays bounded when the consumer is slow.
    std::function<void(std::string_view piece, std::function<void()> next)> onPiece;
    /// Called once after the last piece.
    std::function<void()> onEnd;
    /// Called instead of onEnd if the caller disconnects or the body is malformed.
    std::function<void(Error)> onError;
};

using RequestHandler = std::function<void(HttpRequest request, std::shared_ptr<ResponseWriter> writer)>;
/// Returns a sink if the body of the request is to be streamed, or `std::nullopt` if it is to be read into memory.
using StreamedBodyHandler = std::function<std::optional<BodySink>(HttpRequest const &head, std::shared_ptr<ResponseWriter> const &writer)>;

/// What a connection of a caller is doing.
enum class ConnectionState {
    Idle,
    ReadingRequest,
    /// The request was handed to the handler.
    Handling,
    /// A part of the response has been queued.
    Streaming,
    /// The whole response has been queued.
    Finishing,
    /// The response is sent, and the connection ends once the caller has closed it.
    Draining,
    Closed,
};

enum class CloseReason {
    CallerClosed,
    TimedOut,
    /// The handler aborted the response, or dropped its writer.
    Aborted,
    /// The server closes its idle connections.
    Stopping,
    /// The connections of the process hold more memory than they may, and this one was chosen to end.
    MemoryShort,
    /// A new connection took the place of this one, which was idle or stalled.
    ConnectionsFull,
};

[[nodiscard]] char const *nameOf(ConnectionState state);
[[nodiscard]] char const *nameOf(CloseReason reason);

struct ConnectionClose {
    ConnectionState state;
    CloseReason reason;
};

/// Limits on the requests of callers. They can be changed while the server runs.
struct CallerLimits {
    std::size_t headLimitBytes = 32 * 1024;
    std::size_t bodyLimitBytes = 8 * 1024 * 1024;
    /// Maximum time from the first byte of a request to the end of its head. If it is exceeded, the request is refused with 408.
    Duration headTimeout = 20s;
    /// Maximum time from the first byte of a request to the end of its body.
    Duration requestTimeout = 20s;
    /// Maximum time in which a body that is read into memory makes no progress, of MemoryBudget::MinProgressBytes. The request is refused
    /// with 408 then.
    Duration bodyStallTimeout = 20s;
    Duration idleTimeout = 75s;
};

struct HttpServerOptions {
    Address listen;
    CallerLimits limits = {};
    /// Size limit of streamed bodies.
    std::size_t streamedBodyLimitBytes = 1024UL * 1024 * 1024;
    /// Maximum wait for the next piece of a streamed body.
    Duration bodyProgressTimeout = 20s;
    /// Maximum wait for a slow caller to receive 16 KiB of the response, or the rest of what is sent.
    Duration writeTimeout = 60s;
    /// At the limit, a new connection takes the place of one that is stalled or idle, or else is closed.
    std::size_t connectionLimit = 4096;
    /// Bounds the memory of the connections of several servers. If it is null, the server has one of its own without a bound.
    std::shared_ptr<ConnectionBudget> budget;
    StreamedBodyHandler streamedBody;
    /// Called when a connection ends while a request is open, and when the server closes a connection without a request.
    std::function<void(ConnectionClose)> onClosed;
    /// Called with the code of each refusal by the server itself.
    std::function<void(std::string const &code)> onRefused;
    /// Shared allows several servers, each on its own loop, to listen on one port.
    enum class Port { Exclusive, Shared } port = Port::Exclusive;
};

/// HTTP/1.1 server for callers. It handles one exchange at a time on each connection and refuses malformed requests with the
/// JSON error of docs/operators/refusals.md without calling the handler. Several servers, one for each loop, can share a port
/// (SO_REUSEPORT).
class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>> create(EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    virtual ~HttpServer() = default;

    /// Returns the address in use, including the port assigned by the system if port 0 was requested.
    [[nodiscard]] virtual Address address() const = 0;
    /// Adds "Connection: close" to responses but still accepts connections, because a load balancer may keep sending requests.
    virtual void announceLeaving() = 0;
    /// Stops accepting connections. Open exchanges continue.
    virtual void stopAccepting() = 0;
    /// Applies to requests whose head is read after this call.
    virtual void setLimits(CallerLimits limits) = 0;
    /// Closes the connections without a request, and each other one once it has none.
    virtual void closeIdle() = 0;
    /// Number of requests from their first byte to the end of their response.
    [[nodiscard]] virtual std::size_t openExchanges() const = 0;
    /// Number of connections by state; states without connections are left out.
    [[nodiscard]] virtual std::map<ConnectionState, std::size_t> connections() const = 0;
};

} // namespace Anvilyard::Http
