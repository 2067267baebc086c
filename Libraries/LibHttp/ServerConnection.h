#pragma once

#include "LibHttp/BodySegments.h"
#include "LibHttp/DeadlineSweep.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/LoopSocket.h"
#include "LibHttp/Refusal.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
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
    void setKeptBytes(std::uint64_t exchange, std::size_t bytes);
    void onKeptTooMuch(std::uint64_t exchange, std::function<void()> callback);
    /// Closes the connection if it is idle and its caller has sent no request yet.
    void closeIfIdle();
    [[nodiscard]] ConnectionState state() const;

private:
    using State = ConnectionState;

    void readNext();
    void readHead();
    void onHead(boost::system::error_code error);
    void readFullBody();
    void parseBody();
    void readBodyPart();
    /// `consumed`: bytes as received, with the framing of chunks; `content`: those of the body.
    void onBodyPart(std::size_t consumed, std::size_t content);
    [[nodiscard]] bool isFramingTooLarge() const;
    void dispatchBody();
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
    void release(ReleaseReason reason);
    /// Reports to the budget what the connection holds.
    void account();
    [[nodiscard]] MemoryPhase memoryPhase() const;
    void onBytesSent(std::size_t sentOfFlush);
    [[nodiscard]] bool hasUnreadBytes() const;
    void reportClose(CloseReason reason) const;
    [[nodiscard]] bool isCurrent(std::uint64_t exchange) const;
    [[nodiscard]] std::string renderHead(int status, Headers const &headers, std::optional<std::size_t> contentLength);

    using WriteCallback = std::function<void(WriteOutcome)>;
    using HeadParser = boost::beast::http::request_parser<boost::beast::http::empty_body>;
    using PieceParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    static constexpr std::size_t PieceBytes = 64 * 1024;
    static constexpr std::size_t DrainBytes = 4 * 1024;
    static constexpr Duration LingerTimeout = 1s;

    LoopSocket socket_;
    std::shared_ptr<ServerShared> shared_;
    boost::beast::flat_buffer buffer_;
    std::optional<HeadParser> headParser_;
    /// Reads a body into `body_`.
    std::optional<PieceParser> requestParser_;
    BodySegments body_;
    std::optional<PieceParser> pieceParser_;
    std::vector<char> piece_;
    std::shared_ptr<BodySink> sink_;
    State state_ = State::Idle;
    Instant deadline_ = Instant::max();
    Instant requestStartedAt_ = Instant::min();
    MemoryHolderId memoryId_;
    /// Of the body that is being read, as received and with its framing.
    std::size_t receivedBytes_ = 0;
    /// How much content that body had when it last made progress.
    std::size_t progressBytes_ = 0;
    /// Of the request that the handler has.
    std::size_t handledBytes_ = 0;
    std::size_t keptBytes_ = 0;
    std::uint64_t exchange_ = 0;
    bool keepAlive_ = true;
    bool http10_ = false;
    bool headOnly_ = false;
    bool bodyPending_ = false;
    std::function<void()> callerGone_;
    std::function<void()> keptTooMuch_;

    std::vector<std::string> pending_;
    std::size_t queuedBytes_ = 0;
    std::vector<WriteCallback> pendingCallbacks_;
    std::vector<std::string> inFlight_;
    std::size_t inFlightBytes_ = 0;
    std::size_t sentOfFlush_ = 0;
    std::size_t unreportedSentBytes_ = 0;
    std::vector<WriteCallback> inFlightCallbacks_;
    bool writing_ = false;
};

} // namespace Anvilyard::Http
