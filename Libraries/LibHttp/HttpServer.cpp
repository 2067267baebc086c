#include "LibHttp/HttpServer.h"

#include "LibHttp/AddressParser.h"
#include "LibHttp/DeadlineSweep.h"
#include "LibHttp/EventLoopContext.h"
#include "LibHttp/HttpError.h"
#include "LibHttp/ServerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <variant>

namespace Anvilyard::Http {

namespace asio = boost::asio;

namespace {

using PortSharing = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

class AsioHttpServer final : public HttpServer
{
public:
    AsioHttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler)
        : shared_(std::make_shared<ServerShared>())
        , acceptor_(std::make_shared<LoopAcceptor>(loop.context().io))
    {
        shared_->options = std::move(options);
        shared_->handler = std::move(handler);
        shared_->sweep = std::make_shared<DeadlineSweep>(loop.context().io);
        if (!shared_->options.budget)
            shared_->options.budget = ConnectionBudget::create(loop);
    }

    ~AsioHttpServer() override
    {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
        shared_->handler = nullptr;
        shared_->options.onClosed = nullptr;
        shared_->options.onRefused = nullptr;
        shared_->sweep->close();
    }

    Result<std::monostate> listen()
    {
        auto const endpoint = parseAddress(shared_->options.listen);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        boost::system::error_code error;
        acceptor_->open(endpoint->protocol(), error);
        if (!error)
            acceptor_->set_option(asio::socket_base::reuse_address(true), error);
        if (!error && shared_->options.port == HttpServerOptions::Port::Shared)
            acceptor_->set_option(PortSharing(true), error);
        if (!error)
            acceptor_->bind(*endpoint, error);
        if (!error)
            acceptor_->listen(asio::socket_base::max_listen_connections, error);
        if (error)
            return failure(HttpError::BindFailed, shared_->options.listen.value() + ": " + error.message());
        address_ = formatAddress(acceptor_->local_endpoint());
        accept(acceptor_, shared_);
        return std::monostate{};
    }

    [[nodiscard]] Address address() const override
    {
        return address_;
    }

    void announceLeaving() override
    {
        shared_->leaving = true;
    }

    void stopAccepting() override
    {
        boost::system::error_code ignored;
        if (acceptor_->is_open())
            acceptWaiting();
        acceptor_->close(ignored);
    }

    void setLimits(CallerLimits limits) override
    {
        shared_->options.limits = limits;
    }

    void closeIdle() override
    {
        shared_->closesIdle = true;
        // A copy is iterated, because a closing connection removes itself from the original.
        auto const connections = shared_->connections;
        for (auto const &[address, weak] : connections) {
            if (auto const connection = weak.lock())
                connection->closeIfIdle();
        }
    }

    [[nodiscard]] std::size_t openExchanges() const override
    {
        return shared_->openExchanges;
    }

    [[nodiscard]] std::map<ConnectionState, std::size_t> connections() const override
    {
        std::map<ConnectionState, std::size_t> counts;
        for (auto const &[address, weak] : shared_->connections) {
            if (auto const connection = weak.lock(); connection && connection->state() != ConnectionState::Closed)
                ++counts[connection->state()];
        }
        return counts;
    }

private:
    /// Accepts the connections that the system has made already. It would reset them together with the listening socket, and with them
    /// requests that have arrived.
    void acceptWaiting()
    {
        boost::system::error_code error;
        acceptor_->non_blocking(true, error);
        while (!error) {
            LoopSocket socket(acceptor_->get_executor());
            acceptor_->accept(socket, error);
            if (!error && shared_->openConnections < shared_->options.connectionLimit)
                ServerConnection::start(std::move(socket), shared_);
        }
    }

    static void accept(std::shared_ptr<LoopAcceptor> const &acceptor, std::shared_ptr<ServerShared> const &shared)
    {
        acceptor->async_accept([acceptor, shared](boost::system::error_code error, LoopSocket socket) {
            if (!acceptor->is_open())
                return;
            if (error)
                return acceptLater(acceptor, shared);
            // Connections over the limit are closed immediately, which a load balancer treats as a refusal.
            if (shared->openConnections < shared->options.connectionLimit || shared->options.budget->replaceOne())
                ServerConnection::start(std::move(socket), shared);
            accept(acceptor, shared);
        });
    }

    /// The process has no descriptor left, for example. Trying again at once would keep the loop busy.
    static void acceptLater(std::shared_ptr<LoopAcceptor> const &acceptor, std::shared_ptr<ServerShared> const &shared)
    {
        constexpr Duration RetryDelay = 20ms;
        shared->options.budget->replaceOne();
        auto const timer = std::make_shared<asio::steady_timer>(acceptor->get_executor(), RetryDelay);
        timer->async_wait([timer, acceptor, shared](boost::system::error_code) {
            if (acceptor->is_open())
                accept(acceptor, shared);
        });
    }

    std::shared_ptr<ServerShared> shared_;
    std::shared_ptr<LoopAcceptor> acceptor_;
    Address address_;
};

} // namespace

char const *nameOf(ConnectionState state)
{
    switch (state) {
    case ConnectionState::Idle:
        return "idle";
    case ConnectionState::ReadingRequest:
        return "reading";
    case ConnectionState::Handling:
        return "handling";
    case ConnectionState::Streaming:
        return "streaming";
    case ConnectionState::Finishing:
        return "finishing";
    case ConnectionState::Draining:
        return "draining";
    case ConnectionState::Closed:
        return "closed";
    }
    return "unknown";
}

char const *nameOf(CloseReason reason)
{
    switch (reason) {
    case CloseReason::CallerClosed:
        return "caller-closed";
    case CloseReason::TimedOut:
        return "timed-out";
    case CloseReason::Aborted:
        return "aborted";
    case CloseReason::Stopping:
        return "stopping";
    case CloseReason::MemoryShort:
        return "memory-short";
    case CloseReason::ConnectionsFull:
        return "connections-full";
    }
    return "unknown";
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(EventLoop &loop, HttpServerOptions options, RequestHandler handler)
{
    auto server = std::make_unique<AsioHttpServer>(loop, std::move(options), std::move(handler));
    if (auto listening = server->listen(); !listening)
        return tl::unexpected(listening.error());
    return server;
}

} // namespace Anvilyard::Http
