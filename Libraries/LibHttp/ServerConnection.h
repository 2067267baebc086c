#pragma once

#include "LibHttp/DeadlineSweep.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/LoopSocket.h"
#include "LibHttp/Refusal.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilyard::Http {

class ServerConnection;

/// State shared by the connections of one server. It outlives the server while connections remain.
struct ServerShared {
    HttpServerOptions options;
    RequestHandler handler;
    std::shared_ptr<DeadlineSweep> sweep;
    std::size_t openConnections = 0;
    std::size_t openExchanges = 0;
    bool leaving = false;
    /// Connections are closed as soon as they are idle.
    bool closesIdle = false;
    std::unordered_map<ServerConnection *, std::weak_ptr<ServerConnection>> connections;
};

/// The connection of one caller. The next request is read only after the response to the previous one is finished.
class ServerConnection final
    : public DeadlineHolder
    , public std::enable_shared_from_this<ServerConnection>
{
public:
    static void start(LoopSocket socket, std::shared_ptr<ServerShared> shared);

    ServerConnection(LoopSocket socket, std::shared_ptr<ServerShared> shared);
    ~ServerConnection() override;
    ServerConnection(ServerConnection const &) = delete;
    ServerConnection &operator=(ServerConnection const &) = delete;

    [[nodiscard]] Instant deadline() const override;
    void onDeadline() override;

    /// The following functions are called by the response writer. `exchange` is the number of the exchange, so that a late call
    /// for an earlier exchange has no effect.
    void respond(std::uint64_t exchange, HttpResponse response);
    void startStream(std::uint64_t exchange, ResponseHead head);
    void write(std::uint64_t exchange, std::string piece, std::function<void(WriteOutcome)> done);
    void finish(std::uint64_t exchange);
    void abort(std::uint64_t exchange);
    void onCallerGone(std::uint64_t exchange, std::function<void()> callback);
    [[nodiscard]] std::size_t pendingBytes() const;
    /// Closes the connection if it is idle and its caller has sent no request yet.
    void closeIfIdle();
    [[nodiscard]] ConnectionState state() const;

private:
    using State = ConnectionState;

    void readNext();
    void readHead();
    void onHead(boost::system::error_code error);
    void readFullBody();
    void readStreamedBody(BodySink sink);
    void readPiece();
    void deliverPiece(boost::system::error_code error, std::size_t size);
    void failBody(boost::system::error_code error);
    /// Called once a response starts, which ends the delivery of the request's body.
    void stopReadingBody();
    void continueIfExpected(std::function<void()> next);
    void readBodyStart(std::function<void()> next);
    void dispatchRequest(HttpRequest request);
    void watchForDisconnect();
    void refuse(Refusal const &refusal);
    void refuseReadError(boost::system::error_code error);
    void queue(std::string bytes, std::function<void(WriteOutcome)> done);
    void flush();
    void onFlushed(boost::system::error_code error);
    void failWrites();
    void endExchange();
    void drain();
    void close(CloseReason reason);
    [[nodiscard]] bool hasUnreadBytes() const;
    void reportClose(CloseReason reason) const;
    [[nodiscard]] bool isCurrent(std::uint64_t exchange) const;
    [[nodiscard]] std::string renderHead(int status, Headers const &headers, std::optional<std::size_t> contentLength);

    using WriteCallback = std::function<void(WriteOutcome)>;
    using HeadParser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using PieceParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    static constexpr std::size_t PieceBytes = 64 * 1024;
    static constexpr Duration LingerTimeout = 1s;

    LoopSocket socket_;
    std::shared_ptr<ServerShared> shared_;
    boost::beast::flat_buffer buffer_;
    std::optional<HeadParser> headParser_;
    std::optional<RequestParser> requestParser_;
    std::optional<PieceParser> pieceParser_;
    std::vector<char> piece_;
    std::shared_ptr<BodySink> sink_;
    State state_ = State::Idle;
    Instant deadline_ = Instant::max();
    Instant requestStartedAt_ = Instant::min();
    std::uint64_t exchange_ = 0;
    bool keepAlive_ = true;
    bool http10_ = false;
    bool headOnly_ = false;
    bool bodyPending_ = false;
    std::function<void()> callerGone_;

    std::string pending_;
    std::vector<WriteCallback> pendingCallbacks_;
    std::string inFlight_;
    std::vector<WriteCallback> inFlightCallbacks_;
    bool writing_ = false;
};

} // namespace Anvilyard::Http
