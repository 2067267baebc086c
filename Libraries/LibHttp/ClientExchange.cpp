#include "LibHttp/ClientExchange.h"

#include "LibHttp/AddressParser.h"
#include "LibHttp/ChunkStart.h"
#include "LibHttp/MessageSyntax.h"
#include "LibHttp/TransferCoding.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>

namespace Anvilyard::Http {

namespace asio = boost::asio;
namespace wire = boost::beast::http;

namespace {

/// A status begins with 1 to 5 (RFC 9110, section 15). The parser accepts any three digits.
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view Version = "HTTP/1.";
    constexpr std::string_view Digits = "0123456789";
    constexpr std::size_t StatusDigits = 3;
    for (auto at = text.find(Version); at != std::string_view::npos; at = text.find(Version, at + 1)) {
        auto const rest = text.substr(at + Version.size());
        bool const hasVersion = rest.size() > 1 + StatusDigits && Digits.find(rest[0]) != std::string_view::npos && rest[1] == ' ';
        if (hasVersion && rest.find_first_not_of(Digits, 2) >= 2 + StatusDigits)
            return true;
    }
    return false;
}

/// Returns whether the head contains the status line of another response. A part of a surplus response that is cut within its reason or
/// within a header's value forms a valid head together with the next response.
bool containsStatusLine(wire::response_header<> const &head)
{
    if (containsStatusLine(std::string_view(head.reason().data(), head.reason().size())))
        return true;
    return std::any_of(head.begin(), head.end(), [](auto const &field) {
        return containsStatusLine(std::string_view(field.value().data(), field.value().size()));
    });
}

} // namespace

ClientExchange::ClientExchange(std::shared_ptr<ClientShared> shared, ClientRequest request, ExchangeHandlers handlers)
    : shared_(std::move(shared))
    , request_(std::move(request))
    , handlers_(std::move(handlers))
{
}

ClientExchange::~ClientExchange()
{
    shared_->sweep->remove(this);
}

void ClientExchange::start()
{
    shared_->sweep->add(shared_from_this());
    auto &source = request_.request;
    if (auto fault = findSyntaxFault(source.target, source.headers)) {
        setStage(Stage::Sending, request_.deadline);
        asio::post(shared_->io, [self = shared_from_this(), fault = std::move(*fault)] { self->fail(HttpError::Malformed, fault); });
        return;
    }
    message_.version(11);
    message_.method_string(source.method);
    message_.target(source.target);
    for (auto const &field : source.headers.fields())
        message_.insert(field.name, field.value);
    // A forwarded request keeps the Host header of its caller.
    if (message_.find(wire::field::host) == message_.end())
        message_.set(wire::field::host, request_.server.value());
    message_.body() = std::move(source.body);
    message_.prepare_payload();
    if (request_.connection == ClientRequest::Connection::AnyIdle)
        connection_ = shared_->idle->take(request_.server, request_.identity);
    if (!connection_)
        return connect();
    connectionUse_ = ConnectionUse::Reused;
    request_.headTimeout = request_.reusedHeadTimeout.value_or(request_.headTimeout);
    // Posting the task ensures that no handler is called from within send().
    setStage(Stage::Sending, readLocalClock() + request_.headTimeout);
    asio::post(shared_->io, [self = shared_from_this()] { self->sendRequest(); });
}

void ClientExchange::connect()
{
    setStage(Stage::Connecting, readLocalClock() + request_.connectTimeout);
    auto const endpoint = parseAddress(request_.server);
    connection_ = std::make_unique<ClientConnection>(shared_->io, shared_->options.headLimitBytes);
    if (!endpoint) {
        asio::post(shared_->io,
                   [self = shared_from_this(), detail = endpoint.error().detail] { self->fail(HttpError::BadAddress, detail); });
        return;
    }
    connection_->socket.async_connect(*endpoint, [self = shared_from_this()](boost::system::error_code error) {
        if (self->stage_ != Stage::Connecting)
            return;
        if (error) {
            self->isRefused_ = error == asio::error::connection_refused;
            return self->fail(HttpError::ConnectFailed, error.message());
        }
        self->applySocketOptions();
        self->setStage(Stage::Sending, readLocalClock() + self->request_.headTimeout);
        self->sendRequest();
    });
}

void ClientExchange::applySocketOptions()
{
    using IntegerOption = int;
    auto &socket = connection_->socket;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    auto const set = [&](int name, IntegerOption value) {
        // If the option cannot be set, a dead connection is detected later, by the deadline of the stage.
        static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value)));
    };
    if (auto const &timeout = shared_->options.unacknowledgedTimeout)
        set(TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(*timeout).count()));
    if (auto const &interval = shared_->options.keepAliveInterval) {
        constexpr int MaxProbes = 2;
        set(TCP_KEEPIDLE, static_cast<int>(interval->count()));
        set(TCP_KEEPINTVL, static_cast<int>(interval->count()));
        set(TCP_KEEPCNT, MaxProbes);
    }
}

void ClientExchange::sendRequest()
{
    if (stage_ != Stage::Sending)
        return;
    // Bytes may be sent from now on even if the write fails.
    reached_ = Reached::Sent;
    if (request_.identity)
        connection_->onSent(*request_.identity);
    if (handlers_.onSending)
        handlers_.onSending();
    wire::async_write(connection_->socket, message_, [self = shared_from_this()](boost::system::error_code error, std::size_t) {
        if (self->stage_ != Stage::Sending)
            return;
        if (error)
            return self->fail(HttpError::ClosedEarly, error.message());
        // The caller of send() keeps the request if it may be sent again.
        self->message_.body() = std::string();
        self->headDeadline_ = readLocalClock() + self->request_.headTimeout;
        self->readHead();
    });
}

void ClientExchange::readHead()
{
    setStage(Stage::AwaitingHead, headDeadline_);
    parser_.emplace();
    hasChunkStart_ = false;
    parser_->header_limit(static_cast<std::uint32_t>(shared_->options.headLimitBytes));
    parser_->body_limit(request_.bodyLimitBytes);
    if (message_.method() == wire::verb::head)
        parser_->skip(true);
    wire::async_read_header(connection_->socket,
                            connection_->buffer,
                            *parser_,
                            [self = shared_from_this()](boost::system::error_code error, std::size_t size) { self->onHead(error, size); });
}

void ClientExchange::onHead(boost::system::error_code error, std::size_t size)
{
    if (stage_ != Stage::AwaitingHead)
        return;
    if (error)
        return failRead(error);
    auto const &message = parser_->get();
    if (message.result_int() < MinStatus || message.result_int() > MaxStatus)
        return fail(HttpError::Malformed, "the status " + std::to_string(message.result_int()) + " does not exist");
    if (containsStatusLine(message))
        return fail(HttpError::Malformed, "the head is joined from those of two responses");
    if (message.result() == wire::status::switching_protocols)
        return fail(HttpError::Malformed, "the server switched to a protocol that was not asked for");
    if (message.result_int() >= 100 && message.result_int() < 200) {
        interimBytes_ += size;
        if (interimBytes_ > shared_->options.headLimitBytes)
            return fail(HttpError::HeadTooLarge, "the interim responses exceed the limit of a head");
        return readHead();
    }
    reached_ = Reached::ResponseStarted;
    if (hasUnknownCoding(message))
        return fail(HttpError::Malformed, "the response's transfer coding is not chunked");
    ResponseHead head{.status = static_cast<int>(message.result_int())};
    for (auto const &field : message)
        head.headers.append({std::string(field.name_string()), std::string(field.value())});
    isUnmatched_ = request_.matchesRequest && !request_.matchesRequest(head);
    // A response to another request does not show how far this one got.
    if (isUnmatched_) {
        reached_ = Reached::Sent;
        discardedBytes_ += size;
    }
    setStage(Stage::ReadingBody, pieceDeadline());
    piece_.resize(PieceBytes);
    if (!isUnmatched_ && handlers_.onHead)
        handlers_.onHead(std::move(head));
    readPiece();
}

void ClientExchange::readPiece()
{
    if (stage_ != Stage::ReadingBody || paused_ || readPending_)
        return;
    auto const headLimitBytes = shared_->options.headLimitBytes;
    if (discardedBytes_ > headLimitBytes && discardedBytes_ - headLimitBytes > request_.bodyLimitBytes)
        return fail(HttpError::BodyTooLarge, "the responses to other requests exceed the limit of one response");
    if (parser_->is_done())
        return isUnmatched_ ? readHead() : complete();
    // A body that ends only with the connection cannot be distinguished from a truncated one.
    if (parser_->need_eof() && (isUnmatched_ || request_.framing == ClientRequest::Framing::Delimited))
        return fail(HttpError::Malformed, "the response has neither a length nor chunks");
    setStage(Stage::ReadingBody, pieceDeadline());
    if (parser_->chunked() && !std::exchange(hasChunkStart_, true)) {
        readPending_ = true;
        return readChunkStart(
            connection_->socket, connection_->buffer, *parser_, [self = shared_from_this()](boost::system::error_code error) {
                self->readPending_ = false;
                error ? self->onPiece(error, 0) : self->readPiece();
            });
    }
    auto &body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    readPending_ = true;
    wire::async_read_some(
        connection_->socket, connection_->buffer, *parser_, [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            self->readPending_ = false;
            self->onPiece(error, size);
        });
}

void ClientExchange::onPiece(boost::system::error_code error, std::size_t consumed)
{
    if (stage_ != Stage::ReadingBody)
        return;
    if (error && error != wire::error::need_buffer)
        return failRead(error);
    if (isUnmatched_)
        discardedBytes_ += consumed;
    if (auto const size = piece_.size() - parser_->get().body().size; size > 0 && handlers_.onPiece && !isUnmatched_)
        handlers_.onPiece({piece_.data(), size});
    readPiece();
}

void ClientExchange::complete()
{
    // Bytes beyond the message belong to no request, so a connection with such bytes must not be reused.
    bool const isReusable = parser_->keep_alive() && connection_->buffer.size() == 0;
    // Idle connections are many, and would keep a buffer of the size of a head each.
    connection_->buffer.shrink_to_fit();
    if (isReusable)
        shared_->idle->put(request_.server, std::move(connection_));
    auto const onEnd = std::move(handlers_.onEnd);
    end();
    if (onEnd)
        onEnd();
}

void ClientExchange::failRead(boost::system::error_code error)
{
    if (error == wire::error::header_limit)
        return fail(HttpError::HeadTooLarge, error.message());
    if (error == wire::error::body_limit)
        return fail(HttpError::BodyTooLarge, error.message());
    bool const isHttpError = error.category() == make_error_code(wire::error::end_of_stream).category();
    bool const isTruncated = error == wire::error::end_of_stream || error == wire::error::partial_message;
    fail(isHttpError && !isTruncated ? HttpError::Malformed : HttpError::ClosedEarly, error.message());
}

void ClientExchange::fail(HttpError error, std::string detail)
{
    if (stage_ == Stage::Ended)
        return;
    auto const onFailure = std::move(handlers_.onFailure);
    ExchangeFailure failure{
        .error = {.code = make_error_code(error), .detail = request_.server.value() + ": " + detail},
        .reached = reached_,
        .connection = connectionUse_,
        .isRefused = isRefused_,
    };
    end();
    if (onFailure)
        onFailure(std::move(failure));
}

void ClientExchange::end()
{
    stage_ = Stage::Ended;
    deadline_ = Instant::max();
    shared_->sweep->remove(this);
    if (connection_) {
        boost::system::error_code ignored;
        connection_->socket.close(ignored);
    }
    // The handlers are destroyed later by the loop, because this function may have been called from one of them. Even moving them would
    // invalidate captures that std::function stores within itself.
    asio::post(shared_->io, [self = shared_from_this()] { self->handlers_ = {}; });
}

void ClientExchange::cancel()
{
    end();
}

void ClientExchange::pause()
{
    paused_ = true;
    // The deadlines of the earlier stages concern the server, which a pause does not delay.
    if (stage_ == Stage::ReadingBody)
        deadline_ = request_.deadline;
}

void ClientExchange::resume()
{
    if (!std::exchange(paused_, false) || stage_ != Stage::ReadingBody)
        return;
    setStage(Stage::ReadingBody, pieceDeadline());
    readPiece();
}

Instant ClientExchange::deadline() const
{
    return deadline_;
}

void ClientExchange::onDeadline()
{
    if (stage_ == Stage::Connecting)
        return fail(HttpError::ConnectTimeout, "no connection in time");
    fail(HttpError::Silent, "no progress in time");
}

/// The body of another response does not extend the wait for the head of the expected one.
Instant ClientExchange::pieceDeadline() const
{
    auto const deadline = readLocalClock() + request_.progressTimeout;
    return isUnmatched_ ? std::min(deadline, headDeadline_) : deadline;
}

void ClientExchange::setStage(Stage stage, Instant until)
{
    stage_ = stage;
    bool const isPausedBody = paused_ && stage == Stage::ReadingBody;
    deadline_ = isPausedBody ? request_.deadline : std::min(until, request_.deadline);
}

} // namespace Anvilyard::Http
