#pragma once

#include "LibHttp/ClientConnection.h"
#include "LibHttp/DeadlineSweep.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/IdleConnections.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace Anvilyard::Http {

/// State shared by the exchanges of one client. It outlives the client while exchanges remain.
struct ClientShared {
    ClientShared(boost::asio::io_context &context, HttpClientOptions clientOptions)
        : io(context)
        , options(clientOptions)
        , sweep(std::make_shared<DeadlineSweep>(context))
        , idle(std::make_shared<IdleConnections>(clientOptions))
    {
    }

    boost::asio::io_context &io;
    HttpClientOptions options;
    std::shared_ptr<DeadlineSweep> sweep;
    std::shared_ptr<IdleConnections> idle;
};

/// One request and its response: connect, send, read the head, read the body.
class ClientExchange final
    : public Exchange
    , public DeadlineHolder
    , public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::shared_ptr<ClientShared> shared, ClientRequest request, ExchangeHandlers handlers);
    ~ClientExchange() override;
    ClientExchange(ClientExchange const &) = delete;
    ClientExchange &operator=(ClientExchange const &) = delete;

    void start();
    void cancel() override;
    void pause() override;
    void resume() override;
    [[nodiscard]] Instant deadline() const override;
    void onDeadline() override;

private:
    enum class Stage {
        Connecting,
        Sending,
        AwaitingHead,
        ReadingBody,
        Ended,
    };

    void connect();
    void sendRequest();
    void readHead();
    /// `size`: bytes of the head, as received.
    void onHead(boost::system::error_code error, std::size_t size);
    void readPiece();
    void applySocketOptions();
    /// `consumed`: bytes of the piece as received, with the framing of its chunks.
    void onPiece(boost::system::error_code error, std::size_t consumed);
    void complete();
    void fail(HttpError error, std::string detail);
    void failRead(boost::system::error_code error);
    void end();
    [[nodiscard]] Instant pieceDeadline() const;
    void setStage(Stage stage, Instant until);

    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    static constexpr std::size_t PieceBytes = 16 * 1024;

    std::shared_ptr<ClientShared> shared_;
    ClientRequest request_;
    ExchangeHandlers handlers_;
    std::unique_ptr<ClientConnection> connection_;
    Request message_;
    std::optional<Parser> parser_;
    std::vector<char> piece_;
    Stage stage_ = Stage::Connecting;
    Instant deadline_ = Instant::max();
    /// When the head of the expected response is due.
    Instant headDeadline_ = Instant::max();
    Reached reached_ = Reached::NothingSent;
    bool isRefused_ = false;
    ConnectionUse connectionUse_ = ConnectionUse::Fresh;
    bool paused_ = false;
    bool readPending_ = false;
    /// Whether the start of the current response's chunked body was read.
    bool hasChunkStart_ = false;
    /// Whether the current response belongs to another request.
    bool isUnmatched_ = false;
    /// Bytes of interim responses, and of responses to other requests.
    std::size_t interimBytes_ = 0;
    std::size_t discardedBytes_ = 0;
};

} // namespace Anvilyard::Http
