#include "Tests/Fakes/ScriptedServer.h"

#include "LibHttp/AddressParser.h"
#include "LibHttp/EventLoopContext.h"

#include <array>
#include <boost/asio/write.hpp>
#include <vector>

namespace Anvilyard::Tests {

namespace asio = boost::asio;

namespace {

class ScriptedConnection final
    : public ScriptedServer::Connection
    , public std::enable_shared_from_this<ScriptedConnection>
{
public:
    ScriptedConnection(asio::ip::tcp::socket socket,
                       std::size_t index,
                       ScriptedServer::Script script,
                       std::shared_ptr<std::size_t> openConnections)
        : socket_(std::move(socket))
        , index_(index)
        , script_(std::move(script))
        , openConnections_(std::move(openConnections))
    {
        ++*openConnections_;
    }

    ~ScriptedConnection() override
    {
        --*openConnections_;
    }

    ScriptedConnection(ScriptedConnection const &) = delete;
    ScriptedConnection &operator=(ScriptedConnection const &) = delete;

    [[nodiscard]] std::size_t index() const override
    {
        return index_;
    }

    [[nodiscard]] std::weak_ptr<Connection> handle() override
    {
        return weak_from_this();
    }

    [[nodiscard]] std::string const &head() const override
    {
        return head_;
    }

    void send(std::string bytes) override
    {
        pending_ += bytes;
        flush();
    }

    void sendFrom(std::function<std::string()> source) override
    {
        source_ = std::move(source);
        flush();
    }

    void close() override
    {
        isClosing_ = true;
        flush();
    }

    void reset() override
    {
        // Closing a socket that does not linger resets the connection.
        socket_.set_option(asio::socket_base::linger(true, 0));
        close();
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(piece_), [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (error) {
                self->source_ = nullptr;
                return;
            }
            self->received_.append(self->piece_.data(), size);
            self->processHeads();
            self->read();
        });
    }

private:
    void processHeads()
    {
        constexpr std::string_view EndOfHead = "\r\n\r\n";
        for (auto end = received_.find(EndOfHead); end != std::string::npos; end = received_.find(EndOfHead)) {
            head_ = received_.substr(0, end);
            received_.erase(0, end + EndOfHead.size());
            script_(*this, requests_++);
        }
    }

    void flush()
    {
        if (isWriting_ || !socket_.is_open())
            return;
        if (pending_.empty() && source_)
            pending_ = source_();
        if (pending_.empty()) {
            source_ = nullptr;
            if (isClosing_)
                socket_.close();
            return;
        }
        isWriting_ = true;
        inFlight_ = std::exchange(pending_, {});
        asio::async_write(socket_, asio::buffer(inFlight_), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            self->isWriting_ = false;
            if (error)
                self->source_ = nullptr;
            else
                self->flush();
        });
    }

    asio::ip::tcp::socket socket_;
    std::size_t index_;
    ScriptedServer::Script script_;
    std::shared_ptr<std::size_t> openConnections_;
    std::array<char, 4096> piece_{};
    std::string received_;
    std::string head_;
    std::size_t requests_ = 0;
    std::string pending_;
    std::string inFlight_;
    std::function<std::string()> source_;
    bool isWriting_ = false;
    bool isClosing_ = false;
};

class AsioScriptedServer final : public ScriptedServer
{
public:
    AsioScriptedServer(Http::EventLoop &loop, Script script)
        : acceptor_(loop.context().io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , script_(std::move(script))
    {
        accept();
    }

    [[nodiscard]] Address address() const override
    {
        return Http::formatAddress(acceptor_.local_endpoint());
    }

    [[nodiscard]] std::size_t connections() const override
    {
        return connections_;
    }

    [[nodiscard]] std::size_t openConnections() const override
    {
        return *openConnections_;
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            std::make_shared<ScriptedConnection>(std::move(socket), connections_++, script_, openConnections_)->read();
            accept();
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    Script script_;
    std::size_t connections_ = 0;
    /// Connections may outlive the server.
    std::shared_ptr<std::size_t> openConnections_ = std::make_shared<std::size_t>(0);
};

} // namespace

std::unique_ptr<ScriptedServer> ScriptedServer::create(Http::EventLoop &loop, Script script)
{
    return std::make_unique<AsioScriptedServer>(loop, std::move(script));
}

} // namespace Anvilyard::Tests
