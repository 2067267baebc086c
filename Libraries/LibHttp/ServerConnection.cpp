#include "LibHttp/ServerConnection.h"

#include "LibHttp/ChunkStart.h"
#include "LibHttp/HttpError.h"
#include "LibHttp/ServerResponseWriter.h"
#include "LibHttp/TransferCoding.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace Anvilyard::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace wire = boost::beast::http;

namespace {

template<typename Fields>
Headers toHeaders(Fields const &fields)
{
    Headers headers;
    for (auto const &field : fields)
        headers.append({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

template<typename Message>
HttpRequest toRequest(Message const &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    return request;
}

/// Room for the bytes of the next request that arrive with a head, and for the end of a head that exceeds its limit.
constexpr std::size_t BufferMarginBytes = 4 * 1024;
/// The framing of a body may be as large as a head and this multiple of its content. One chunk for each byte takes five times as much.
constexpr std::size_t MaxFramingFactor = 16;
/// Memory of a connection besides its buffers.
constexpr std::size_t ConnectionBytes = 4 * 1024;
/// A handler keeps the request for retries while a copy is sent to a backend server.
constexpr std::size_t CopiesOfHandledRequest = 2;
constexpr std::size_t MaxReadBytes = 64 * 1024;
/// The system doubles it. One of 256 KiB takes a response at 200 Mbit/s over a path of 10 ms.
constexpr int SendBufferBytes = 128 * 1024;
/// A caller has to receive as many bytes of a response within the write timeout, or the rest of what is sent.
constexpr std::size_t MinSentBytes = 16 * 1024;
/// Pieces of a response that are queued are joined up to this size.
constexpr std::size_t MaxJoinedBytes = 16 * 1024;

/// Returns whether responses with this status end with their head.
bool hasNoBody(int status)
{
    return status == static_cast<int>(wire::status::no_content) || status == static_cast<int>(wire::status::not_modified);
}

Refusal makeRefusal(int status, std::string code, std::string message)
{
    return {.status = status, .type = "invalid_request_error", .code = std::move(code), .message = std::move(message)};
}

Refusal framingTooLarge()
{
    return makeRefusal(413, "framing_too_large", "the chunks of the body have more framing, or longer trailers, than is taken here");
}

Refusal memoryShort()
{
    return {.status = 503,
            .type = "server_error",
            .code = "memory_short",
            .message = "this instance has no memory left for the request",
            .retryAfter = 1s};
}

} // namespace

void ServerConnection::start(LoopSocket socket, std::shared_ptr<ServerShared> shared)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    // The system takes up to 4 MB for a caller that reads nothing, and reports that a slow one has read only after a third of that.
    socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
    auto const connection = std::make_shared<ServerConnection>(std::move(socket), std::move(shared));
    connection->shared_->sweep->add(connection);
    connection->shared_->connections.emplace(connection.get(), connection);
    connection->memoryId_ = connection->shared_->options.budget->add([weak = connection->weak_from_this()](ReleaseReason reason) {
        if (auto const self = weak.lock())
            self->release(reason);
    });
    connection->readNext();
}

ServerConnection::ServerConnection(LoopSocket socket, std::shared_ptr<ServerShared> shared)
    : socket_(std::move(socket))
    , shared_(std::move(shared))
{
    ++shared_->openConnections;
}

ServerConnection::~ServerConnection()
{
    shared_->sweep->remove(this);
    shared_->connections.erase(this);
    shared_->options.budget->remove(memoryId_);
    --shared_->openConnections;
}

Instant ServerConnection::deadline() const
{
    return deadline_;
}

void ServerConnection::onDeadline()
{
    deadline_ = Instant::max();
    if (state_ == State::ReadingRequest && !bodyPending_) {
        refuse(makeRefusal(408, "request_timeout", "the request was not complete in time"));
        return;
    }
    close(CloseReason::TimedOut);
}

void ServerConnection::readNext()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Idle;
    requestParser_.reset();
    body_.clear();
    headParser_.emplace();
    // The parser takes the line of a chunk, with its extension, and all trailers only if the buffer holds them.
    buffer_.max_size(std::max(shared_->options.limits.headLimitBytes + BufferMarginBytes, buffer_.size()));
    headParser_->header_limit(static_cast<std::uint32_t>(shared_->options.limits.headLimitBytes));
    headParser_->body_limit(boost::none);
    if (buffer_.size() > 0) {
        readHead();
        return;
    }
    buffer_.shrink_to_fit();
    account();
    deadline_ = readLocalClock() + shared_->options.limits.idleTimeout;
    // Waiting for the first byte before reading the head distinguishes an idle connection from an incomplete request.
    socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        if (error)
            return self->close(CloseReason::CallerClosed);
        self->readHead();
    });
}

void ServerConnection::readHead()
{
    if (state_ == State::Closed)
        return;
    state_ = State::ReadingRequest;
    ++shared_->openExchanges;
    // From now on calls of the previous exchange's writer are ignored, even if the head of this request is malformed.
    ++exchange_;
    http10_ = false;
    headOnly_ = false;
    requestStartedAt_ = readLocalClock();
    deadline_ = requestStartedAt_ + std::min(shared_->options.limits.headTimeout, shared_->options.limits.requestTimeout);
    receivedBytes_ = 0;
    progressBytes_ = 0;
    account();
    wire::async_read_header(
        socket_, buffer_, *headParser_, [self = shared_from_this()](boost::system::error_code error, std::size_t) { self->onHead(error); });
}

void ServerConnection::onHead(boost::system::error_code error)
{
    if (state_ != State::ReadingRequest)
        return;
    if (error)
        return refuseReadError(error);
    auto const &message = headParser_->get();
    // The parser would treat a request with another transfer coding as having no body, and its body as the next request.
    if (hasUnknownCoding(message))
        return refuse(makeRefusal(400, "unknown_transfer_coding", "the only transfer coding taken here is chunked"));
    keepAlive_ = message.keep_alive();
    http10_ = message.version() < 11;
    headOnly_ = message.method() == wire::verb::head;
    if (!shared_->options.streamedBody)
        return readFullBody();
    auto const writer = std::make_shared<ServerResponseWriter>(shared_from_this(), exchange_);
    auto sink = shared_->options.streamedBody(toRequest(message), writer);
    if (!sink) {
        writer->release();
        // The handler may have refused the request based on its head alone.
        if (state_ == State::ReadingRequest)
            readFullBody();
        return;
    }
    if (state_ == State::ReadingRequest)
        readStreamedBody(std::move(*sink));
}

void ServerConnection::continueIfExpected(std::function<void()> next)
{
    if (!equalsIgnoringCase(std::string(headParser_->get()[wire::field::expect]), "100-continue"))
        return readBodyStart(std::move(next));
    auto const text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    asio::async_write(socket_,
                      asio::buffer(*text),
                      [self = shared_from_this(), text, next = std::move(next)](boost::system::error_code error, std::size_t) {
                          if (error)
                              return self->close(CloseReason::CallerClosed);
                          self->readBodyStart(next);
                      });
}

void ServerConnection::readBodyStart(std::function<void()> next)
{
    if (!headParser_->chunked())
        return next();
    readChunkStart(socket_, buffer_, *headParser_, [self = shared_from_this(), next = std::move(next)](boost::system::error_code error) {
        if (!error)
            return next();
        if (self->bodyPending_)
            return self->deliverPiece(error, 0);
        if (self->state_ == State::ReadingRequest)
            self->refuseReadError(error);
    });
}

void ServerConnection::readFullBody()
{
    if (auto const length = headParser_->content_length(); length && *length > shared_->options.limits.bodyLimitBytes)
        return refuseReadError(wire::error::body_limit);
    auto const &limits = shared_->options.limits;
    deadline_ = std::min(requestStartedAt_ + limits.requestTimeout, readLocalClock() + limits.bodyStallTimeout);
    continueIfExpected([self = shared_from_this()] {
        self->requestParser_.emplace(std::move(*self->headParser_));
        self->requestParser_->body_limit(self->shared_->options.limits.bodyLimitBytes);
        self->requestParser_->eager(true);
        self->parseBody();
    });
}

/// Parses what the buffer holds. The read functions of Boost.Beast would go on reading while a piece ends within the framing, so that
/// neither progress nor framing could be counted.
void ServerConnection::parseBody()
{
    while (!requestParser_->is_done()) {
        auto const room = body_.prepare();
        auto &body = requestParser_->get().body();
        body.data = room.data();
        body.size = room.size();
        boost::system::error_code error = wire::error::need_more;
        auto const consumed = buffer_.size() > 0 ? requestParser_->put(buffer_.data(), error) : 0;
        buffer_.consume(consumed);
        onBodyPart(consumed, room.size() - body.size);
        if (isFramingTooLarge())
            return refuse(framingTooLarge());
        if (error == wire::error::need_more)
            return readBodyPart();
        if (error && error != wire::error::need_buffer)
            return refuseReadError(error);
    }
    dispatchBody();
}

void ServerConnection::readBodyPart()
{
    auto const room = std::min(MaxReadBytes, buffer_.max_size() - buffer_.size());
    if (room == 0)
        return refuse(framingTooLarge());
    account();
    socket_.async_read_some(buffer_.prepare(room), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
        if (self->state_ != State::ReadingRequest)
            return;
        if (error)
            return self->close(CloseReason::CallerClosed);
        self->buffer_.commit(size);
        self->parseBody();
    });
}

void ServerConnection::onBodyPart(std::size_t consumed, std::size_t content)
{
    body_.commit(content);
    receivedBytes_ += consumed;
    shared_->options.budget->onMoved(memoryId_, content);
    if (body_.size() < progressBytes_ + MemoryBudget::MinProgressBytes)
        return;
    auto const &limits = shared_->options.limits;
    progressBytes_ = body_.size();
    deadline_ = std::min(requestStartedAt_ + limits.requestTimeout, readLocalClock() + limits.bodyStallTimeout);
}

bool ServerConnection::isFramingTooLarge() const
{
    auto const content = body_.size();
    return receivedBytes_ - content > shared_->options.limits.headLimitBytes + MaxFramingFactor * content;
}

void ServerConnection::dispatchBody()
{
    // The handler holds a request until it has run, so memory for it is refused before it starts.
    auto const bytes = ConnectionBytes + CopiesOfHandledRequest * body_.size();
    if (!shared_->options.budget->memory().admits(bytes))
        return refuse(memoryShort());
    auto request = toRequest(requestParser_->get());
    request.body = body_.take();
    requestParser_.reset();
    dispatchRequest(std::move(request));
}

void ServerConnection::readStreamedBody(BodySink sink)
{
    sink_ = std::make_shared<BodySink>(std::move(sink));
    bodyPending_ = true;
    state_ = State::Handling;
    piece_.resize(PieceBytes);
    continueIfExpected([self = shared_from_this()] {
        self->pieceParser_.emplace(std::move(*self->headParser_));
        self->pieceParser_->body_limit(self->shared_->options.streamedBodyLimitBytes);
        self->readPiece();
    });
}

void ServerConnection::readPiece()
{
    if (state_ == State::Closed || !bodyPending_)
        return;
    if (pieceParser_->is_done()) {
        bodyPending_ = false;
        deadline_ = Instant::max();
        auto const sink = std::exchange(sink_, nullptr);
        watchForDisconnect();
        return sink->onEnd();
    }
    deadline_ = readLocalClock() + shared_->options.bodyProgressTimeout;
    auto &body = pieceParser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    wire::async_read_some(socket_, buffer_, *pieceParser_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error == wire::error::need_buffer)
            error = {};
        self->deliverPiece(error, self->piece_.size() - self->pieceParser_->get().body().size);
    });
}

void ServerConnection::deliverPiece(boost::system::error_code error, std::size_t size)
{
    if (state_ == State::Closed || !bodyPending_)
        return;
    if (error)
        return failBody(error);
    if (size == 0)
        return readPiece();
    // No deadline applies while the consumer processes the piece, because the caller does not cause that delay.
    deadline_ = Instant::max();
    // The consumer may refuse the request during the call, which resets `sink_`.
    auto const sink = sink_;
    sink->onPiece({piece_.data(), size}, [weak = weak_from_this(), exchange = exchange_] {
        if (auto const self = weak.lock(); self && self->exchange_ == exchange)
            self->readPiece();
    });
}

void ServerConnection::failBody(boost::system::error_code error)
{
    bodyPending_ = false;
    keepAlive_ = false;
    auto const sink = std::exchange(sink_, nullptr);
    auto const code = error == wire::error::body_limit                                 ? HttpError::BodyTooLarge
        : error == wire::error::end_of_stream || error == wire::error::partial_message ? HttpError::ClosedEarly
                                                                                       : HttpError::Malformed;
    sink->onError({.code = make_error_code(code), .detail = error.message()});
}

void ServerConnection::dispatchRequest(HttpRequest request)
{
    if (!shared_->handler)
        return close(CloseReason::Stopping);
    state_ = State::Handling;
    deadline_ = Instant::max();
    handledBytes_ = CopiesOfHandledRequest * request.body.capacity();
    account();
    watchForDisconnect();
    shared_->handler(std::move(request), std::make_shared<ServerResponseWriter>(shared_from_this(), exchange_));
}

void ServerConnection::watchForDisconnect()
{
    socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this(), exchange = exchange_](boost::system::error_code error) {
        if (error || !self->isCurrent(exchange))
            return;
        char byte = 0;
        boost::system::error_code peekError;
        self->socket_.non_blocking(true, peekError);
        self->socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
        // NOTE: Available bytes are the caller's next request, which is read after this response. Until then a close is detected
        // only by a failing write.
        if (!peekError || peekError == asio::error::would_block)
            return;
        if (auto const callback = std::exchange(self->callerGone_, nullptr))
            callback();
        self->close(CloseReason::CallerClosed);
    });
}

void ServerConnection::refuseReadError(boost::system::error_code error)
{
    if (error == wire::error::header_limit || (error == wire::error::buffer_overflow && !requestParser_))
        return refuse(makeRefusal(431, "head_too_large", "the request's head is larger than is taken here"));
    if (error == wire::error::body_limit)
        return refuse(makeRefusal(413, "body_too_large", "the request's body is larger than is taken here"));
    bool const isClosed = error == wire::error::end_of_stream || error == wire::error::partial_message;
    if (isClosed || error.category() != make_error_code(wire::error::end_of_stream).category())
        return close(CloseReason::CallerClosed);
    refuse(makeRefusal(400, "malformed_request", "the request is not proper HTTP: " + error.message()));
}

void ServerConnection::refuse(Refusal const &refusal)
{
    state_ = State::Handling;
    keepAlive_ = false;
    // What was read of the body is not needed any more. A pending read may still use the parser, which must find no room then.
    if (requestParser_)
        requestParser_->get().body() = {};
    body_.clear();
    if (shared_->options.onRefused)
        shared_->options.onRefused(refusal.code);
    respond(exchange_, toResponse(refusal));
}

bool ServerConnection::isCurrent(std::uint64_t exchange) const
{
    return exchange == exchange_ && state_ != State::Closed && state_ != State::Idle && state_ != State::Draining;
}

std::string ServerConnection::renderHead(int status, Headers const &headers, std::optional<std::size_t> contentLength)
{
    wire::response<wire::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(status));
    for (auto const &field : headers.fields())
        message.insert(field.name, field.value);
    if (shared_->leaving)
        keepAlive_ = false;
    bool const isBodyEndedByClose = !contentLength && http10_;
    if (!hasNoBody(status)) {
        if (contentLength)
            message.content_length(*contentLength);
        else if (isBodyEndedByClose)
            keepAlive_ = false;
        else
            message.chunked(true);
    }
    message.keep_alive(keepAlive_);
    std::ostringstream text;
    text << message.base();
    return text.str();
}

void ServerConnection::respond(std::uint64_t exchange, HttpResponse response)
{
    if (!isCurrent(exchange) || (state_ != State::Handling && state_ != State::ReadingRequest))
        return;
    // The response was sent without reading the body, so the connection cannot be used for another request.
    if (state_ == State::ReadingRequest)
        keepAlive_ = false;
    stopReadingBody();
    state_ = State::Finishing;
    headOnly_ = headOnly_ || hasNoBody(response.status);
    handledBytes_ = 0;
    keptBytes_ = 0;
    pending_.push_back(renderHead(response.status, response.headers, response.body.size()));
    queuedBytes_ += pending_.back().size();
    queue(headOnly_ ? std::string() : std::move(response.body), nullptr);
}

void ServerConnection::startStream(std::uint64_t exchange, ResponseHead head)
{
    if (!isCurrent(exchange) || state_ != State::Handling)
        return;
    stopReadingBody();
    state_ = State::Streaming;
    headOnly_ = headOnly_ || hasNoBody(head.status);
    queue(renderHead(head.status, head.headers, std::nullopt), nullptr);
}

void ServerConnection::stopReadingBody()
{
    if (!std::exchange(bodyPending_, false))
        return;
    // The rest of the body must not be read as the next request.
    keepAlive_ = false;
    sink_.reset();
}

void ServerConnection::write(std::uint64_t exchange, std::string piece, std::function<void(WriteOutcome)> done)
{
    if (!isCurrent(exchange) || state_ != State::Streaming) {
        if (done)
            asio::post(socket_.get_executor(), [done = std::move(done)] { done(WriteOutcome::CallerGone); });
        return;
    }
    // An empty chunk would end the response.
    bool const isEmptyWrite = piece.empty() || headOnly_;
    if (isEmptyWrite)
        piece.clear();
    else if (!http10_)
        piece = beast::buffers_to_string(wire::make_chunk(asio::buffer(piece)));
    queue(std::move(piece), std::move(done));
}

void ServerConnection::finish(std::uint64_t exchange)
{
    if (!isCurrent(exchange) || state_ != State::Streaming)
        return;
    state_ = State::Finishing;
    queue(http10_ || headOnly_ ? std::string() : beast::buffers_to_string(wire::make_chunk_last()), nullptr);
}

void ServerConnection::abort(std::uint64_t exchange)
{
    if (isCurrent(exchange))
        close(CloseReason::Aborted);
}

void ServerConnection::onCallerGone(std::uint64_t exchange, std::function<void()> callback)
{
    if (isCurrent(exchange))
        callerGone_ = std::move(callback);
}

void ServerConnection::onKeptTooMuch(std::uint64_t exchange, std::function<void()> callback)
{
    if (isCurrent(exchange))
        keptTooMuch_ = std::move(callback);
}

std::size_t ServerConnection::pendingBytes() const
{
    return queuedBytes_ + inFlightBytes_;
}

void ServerConnection::setKeptBytes(std::uint64_t exchange, std::size_t bytes)
{
    if (!isCurrent(exchange))
        return;
    keptBytes_ = bytes;
    account();
}

void ServerConnection::queue(std::string bytes, std::function<void(WriteOutcome)> done)
{
    queuedBytes_ += bytes.size();
    if (!pending_.empty() && pending_.back().size() + bytes.size() <= MaxJoinedBytes)
        pending_.back() += bytes;
    else
        pending_.push_back(std::move(bytes));
    if (done)
        pendingCallbacks_.push_back(std::move(done));
    if (!writing_)
        flush();
    account();
}

void ServerConnection::flush()
{
    writing_ = true;
    inFlight_ = std::exchange(pending_, {});
    inFlightBytes_ = std::exchange(queuedBytes_, 0);
    inFlightCallbacks_ = std::exchange(pendingCallbacks_, {});
    deadline_ = readLocalClock() + shared_->options.writeTimeout;
    sentOfFlush_ = 0;
    std::vector<asio::const_buffer> buffers;
    for (auto const &piece : inFlight_)
        buffers.push_back(asio::buffer(piece));
    asio::async_write(
        socket_,
        buffers,
        [self = shared_from_this()](boost::system::error_code error, std::size_t sent) {
            constexpr std::size_t MaxBytesOfWrite = 64 * 1024;
            self->onBytesSent(sent);
            return error ? 0 : MaxBytesOfWrite;
        },
        [self = shared_from_this()](boost::system::error_code error, std::size_t) { self->onFlushed(error); });
}

/// `sentOfFlush`: bytes of the running write that were sent so far.
void ServerConnection::onBytesSent(std::size_t sentOfFlush)
{
    auto const sent = sentOfFlush - std::exchange(sentOfFlush_, sentOfFlush);
    if (sent == 0 || state_ == State::Closed)
        return;
    shared_->options.budget->onMoved(memoryId_, sent);
    unreportedSentBytes_ += sent;
    if (unreportedSentBytes_ < MinSentBytes)
        return;
    unreportedSentBytes_ = 0;
    deadline_ = readLocalClock() + shared_->options.writeTimeout;
}

void ServerConnection::onFlushed(boost::system::error_code error)
{
    writing_ = false;
    inFlight_ = {};
    inFlightBytes_ = 0;
    if (error || state_ == State::Closed) {
        close(CloseReason::CallerClosed);
        return failWrites();
    }
    deadline_ = Instant::max();
    account();
    for (auto const &callback : std::exchange(inFlightCallbacks_, {}))
        callback(WriteOutcome::Written);
    // A callback may have queued more bytes or finished the response.
    if (writing_)
        return;
    if (!pending_.empty() || !pendingCallbacks_.empty())
        return flush();
    if (state_ == State::Finishing)
        endExchange();
}

void ServerConnection::endExchange()
{
    --shared_->openExchanges;
    callerGone_ = nullptr;
    keptTooMuch_ = nullptr;
    handledBytes_ = 0;
    keptBytes_ = 0;
    state_ = State::Idle;
    boost::system::error_code ignored;
    // Cancels the wait in watchForDisconnect(), which the next read replaces.
    socket_.cancel(ignored);
    // The connection is closed only after a response that announced it, because the next request may already have been sent.
    if (!keepAlive_) {
        state_ = State::Draining;
        socket_.shutdown(LoopSocket::shutdown_send, ignored);
        deadline_ = readLocalClock() + LingerTimeout;
        account();
        return drain();
    }
    if (shared_->closesIdle && !hasUnreadBytes())
        return close(CloseReason::Stopping);
    readNext();
}

void ServerConnection::drain()
{
    // Closing a socket with unread bytes resets the connection, and the caller might lose the response.
    piece_.resize(std::max(piece_.size(), DrainBytes));
    socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || self->state_ == State::Closed)
            return self->close(CloseReason::CallerClosed);
        self->drain();
    });
}

void ServerConnection::close(CloseReason reason)
{
    if (state_ == State::Closed)
        return;
    reportClose(reason);
    if (state_ != State::Idle && state_ != State::Draining)
        --shared_->openExchanges;
    boost::system::error_code ignored;
    // For a caller of HTTP/1.0 an orderly close ends a streamed body. Only a reset shows that it is incomplete.
    if (http10_ && (state_ == State::Streaming || state_ == State::Finishing))
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    state_ = State::Closed;
    shared_->sweep->remove(this);
    shared_->options.budget->remove(memoryId_);
    socket_.close(ignored);
    if (auto const callback = std::exchange(callerGone_, nullptr))
        callback();
    if (bodyPending_)
        failBody(wire::error::end_of_stream);
    // A running write calls its callbacks when it completes.
    if (!writing_)
        failWrites();
}

void ServerConnection::release(ReleaseReason reason)
{
    if (state_ == State::Closed)
        return;
    if (reason == ReleaseReason::KeptResponse && keptTooMuch_) {
        // A copy is called, because the callback may end the exchange.
        return std::function(keptTooMuch_)();
    }
    bool const isMemoryShort = reason != ReleaseReason::ConnectionsFull;
    if (state_ == State::ReadingRequest && isMemoryShort)
        return refuse(memoryShort());
    close(isMemoryShort ? CloseReason::MemoryShort : CloseReason::ConnectionsFull);
}

MemoryPhase ServerConnection::memoryPhase() const
{
    switch (state_) {
    case State::Idle:
    case State::Closed:
        return MemoryPhase::Idle;
    case State::ReadingRequest:
        return MemoryPhase::Reading;
    case State::Handling:
        return bodyPending_ ? MemoryPhase::Reading : MemoryPhase::Handling;
    case State::Streaming:
        return pendingBytes() > 0 ? MemoryPhase::Writing : MemoryPhase::Handling;
    case State::Finishing:
        return MemoryPhase::Writing;
    case State::Draining:
        return MemoryPhase::Draining;
    }
    return MemoryPhase::Idle;
}

void ServerConnection::account()
{
    // The buffer of a head grows within the read.
    auto const buffer = state_ == State::ReadingRequest && !requestParser_ ? buffer_.max_size() : buffer_.capacity();
    shared_->options.budget->update(memoryId_,
                                    memoryPhase(),
                                    ConnectionBytes + buffer + body_.capacity() + piece_.capacity() + handledBytes_ + keptBytes_
                                        + pendingBytes(),
                                    keptBytes_);
}

void ServerConnection::reportClose(CloseReason reason) const
{
    bool const hasNoRequest =
        state_ == State::Idle || state_ == State::Draining || (state_ == State::ReadingRequest && !headParser_->got_some());
    if (shared_->options.onClosed && !(hasNoRequest && reason == CloseReason::CallerClosed))
        shared_->options.onClosed({.state = state_, .reason = reason});
}

void ServerConnection::closeIfIdle()
{
    // Closing a socket with unread bytes resets it, and the caller might lose the end of the previous response.
    if (state_ == State::Idle && !hasUnreadBytes())
        close(CloseReason::Stopping);
}

bool ServerConnection::hasUnreadBytes() const
{
    boost::system::error_code ignored;
    return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

ConnectionState ServerConnection::state() const
{
    return state_;
}

void ServerConnection::failWrites()
{
    for (auto const &callback : std::exchange(inFlightCallbacks_, {}))
        callback(WriteOutcome::CallerGone);
    for (auto const &callback : std::exchange(pendingCallbacks_, {}))
        callback(WriteOutcome::CallerGone);
}

} // namespace Anvilyard::Http
