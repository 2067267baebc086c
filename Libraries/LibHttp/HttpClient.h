#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/StrongType.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HttpError.h"
#include "LibHttp/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Anvilyard::Http {

/// How far a request got. Determines what may be reported about it and whether it may be sent again.
enum class Reached {
    /// No byte of the request was written to a connection, so it cannot have run.
    NothingSent,
    /// Bytes were sent but no response arrived, so the request may have run.
    Sent,
    /// The head of the response arrived.
    ResponseStarted,
};

/// Whether the exchange used a connection of an earlier exchange.
enum class ConnectionUse {
    Fresh,
    Reused,
};

struct ExchangeFailure {
    Error error;
    Reached reached = Reached::NothingSent;
    ConnectionUse connection = ConnectionUse::Fresh;
    /// The server's host refused the connection, so no process listens there.
    bool isRefused = false;
};

/// Callbacks of an exchange, called on the loop's thread. The last call is exactly one onEnd or onFailure.
struct ExchangeHandlers {
    std::function<void(ResponseHead)> onHead;
    std::function<void(std::string_view piece)> onPiece;
    /// The response is complete according to its framing.
    std::function<void()> onEnd;
    std::function<void(ExchangeFailure)> onFailure;
    /// The connection is made and the request is about to be sent. Until then, it is certain that no server has any of it.
    std::function<void()> onSending = {};
};

/// Tells requests apart that servers name in their responses. Two sends of one request have the same identity.
using RequestIdentity = StrongType<struct RequestIdentityTag, std::uint64_t>;
/// Returns the identity of a request from its id.
RequestIdentity identifyRequest(std::string_view id);

struct ClientRequest {
    Address server;
    HttpRequest request;
    /// Deadline of the complete exchange.
    Instant deadline;
    Duration connectTimeout = 1s;
    /// Maximum wait for the response's head after the request was sent. Neither interim responses nor those to other requests extend it.
    Duration headTimeout = 30s;
    /// Head timeout on a reused connection, which may have failed silently since the earlier exchange. Defaults to `headTimeout`.
    std::optional<Duration> reusedHeadTimeout;
    /// Maximum wait between two pieces of the body.
    Duration progressTimeout = 30s;
    /// Responses that are discarded before the expected one may together be as large as one response.
    std::size_t bodyLimitBytes = 64UL * 1024 * 1024;
    /// A request that must not be repeated uses FreshOnly, because an idle connection may be dead without notice.
    enum class Connection { AnyIdle, FreshOnly } connection = Connection::AnyIdle;
    /// Whether closing the connection may end the body, as HTTP/1.1 allows. Only an orderly close ends it, never a reset.
    enum class Framing { Delimited, CloseMayEnd } framing = Framing::Delimited;
    /// Returns whether a response belongs to this request. A response that does not is read to its end and discarded, and the
    /// next one on the connection is checked, because servers may send a surplus response late, in place of the expected one.
    /// If empty, any response is accepted.
    std::function<bool(ResponseHead const &)> matchesRequest;
    /// If set, no connection is used that has carried a request of the same identity: a copy of the earlier response may come late, and
    /// `matchesRequest` cannot tell it from the response to this request.
    std::optional<RequestIdentity> identity;
};

/// One running exchange. Destroying the handle does not end it; cancel() ends it and closes its connection.
class Exchange
{
public:
    virtual ~Exchange() = default;
    /// Ends the exchange immediately without calling any more handlers.
    virtual void cancel() = 0;
    /// Stops reading until resume(), so that memory stays bounded when the caller is slow.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct HttpClientOptions {
    std::size_t idleConnectionsPerServer = 32;
    /// Idle time after which a connection is closed rather than reused.
    Duration idleTimeout = 30s;
    /// Maximum size of a response's head, also of all interim responses before it.
    std::size_t headLimitBytes = 32 * 1024;
    /// Time after which unacknowledged bytes break the connection. Otherwise the loss of the network path would go unnoticed for
    /// minutes.
    std::optional<Duration> unacknowledgedTimeout;
    /// Idle time before a keep-alive probe and between probes, in full seconds. Two unanswered probes break the connection.
    std::optional<std::chrono::seconds> keepAliveInterval;
};

/// HTTP/1.1 client for backend servers and the platform. Connections are kept for reuse only after complete responses, and
/// are not reused if unexpected bytes have arrived. The client never retries by itself.
class HttpClient
{
public:
    static std::unique_ptr<HttpClient> create(EventLoop &loop, HttpClientOptions options);
    /// Ends the running exchanges without calling any more handlers.
    virtual ~HttpClient() = default;

    /// Must be called on the loop's thread.
    virtual std::shared_ptr<Exchange> send(ClientRequest request, ExchangeHandlers handlers) = 0;
    /// Closes the idle connections to a server, for example after one of them timed out.
    virtual void dropIdle(Address const &server) = 0;

    /// Reads the complete response into memory and calls back once.
    std::shared_ptr<Exchange> fetch(ClientRequest request, std::function<void(tl::expected<HttpResponse, ExchangeFailure>)> done);
};

} // namespace Anvilyard::Http
