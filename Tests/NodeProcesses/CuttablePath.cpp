#include "Tests/NodeProcesses/CuttablePath.h"

#include "LibHttp/AddressParser.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <thread>
#include <vector>

namespace Anvilyard::Tests {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// More connections than a listening socket queues that asks for a queue of none.
constexpr int FillingConnections = 4;

/// Passes bytes on between two sockets.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
    explicit Relay(Tcp::socket instance)
        : instance_(std::move(instance))
        , server_(instance_.get_executor())
    {
    }

    void start(Tcp::endpoint const &server)
    {
        server_.async_connect(server, [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return self->close();
            self->pass(self->instance_, self->server_, self->fromInstance_);
            self->pass(self->server_, self->instance_, self->fromServer_);
        });
    }

    void setSilent(bool isSilent)
    {
        isSilent_ = isSilent;
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (auto *socket : {&instance_, &server_})
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    void close()
    {
        boost::system::error_code ignored;
        instance_.close(ignored);
        server_.close(ignored);
    }

private:
    using Buffer = std::array<char, 16 * 1024>;

    void pass(Tcp::socket &from, Tcp::socket &to, Buffer &buffer)
    {
        from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](auto error, std::size_t size) {
            if (error)
                return self->close();
            // What is sent during a silent cut is lost.
            if (self->isSilent_)
                return self->pass(from, to, buffer);
            asio::async_write(to, asio::buffer(buffer.data(), size), [self, &from, &to, &buffer](auto writeError, std::size_t) {
                writeError ? self->close() : self->pass(from, to, buffer);
            });
        });
    }

    Tcp::socket instance_;
    Tcp::socket server_;
    Buffer fromInstance_{};
    Buffer fromServer_{};
    bool isSilent_ = false;
};

} // namespace

struct CuttablePath::State {
    explicit State(Address const &serverAddress)
        : server(*Http::parseAddress(serverAddress))
        , acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , endpoint(acceptor.local_endpoint())
        , address(Http::formatAddress(endpoint))
    {
        accept();
        thread = std::thread([this] { io.run(); });
    }

    ~State()
    {
        io.stop();
        thread.join();
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (error)
                return;
            auto const relay = std::make_shared<Relay>(std::move(socket));
            relays.push_back(relay);
            relay->start(server);
            accept();
        });
    }

    /// Keeps the port, so that no other process gets it. Without listen() connections are refused.
    void bind()
    {
        acceptor = Tcp::acceptor(io);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(Tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
    }

    void setCut(Cut cut)
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        fillers.clear();
        for (auto const &weak : relays) {
            auto const relay = weak.lock();
            if (!relay)
                continue;
            relay->setSilent(cut == Cut::Silent);
            if (cut == Cut::Reset)
                relay->reset();
        }
        bind();
        if (cut == Cut::None) {
            acceptor.listen(asio::socket_base::max_listen_connections);
            accept();
        } else if (cut == Cut::Silent) {
            acceptor.listen(0);
            for (int filler = 0; filler < FillingConnections; ++filler) {
                fillers.emplace_back(io);
                fillers.back().async_connect(endpoint, [](boost::system::error_code) {});
            }
        }
    }

    Tcp::endpoint server;
    asio::io_context io;
    /// While the path is cut, the thread may have nothing else to do.
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    Tcp::acceptor acceptor;
    Tcp::endpoint endpoint;
    Address address;
    std::vector<std::weak_ptr<Relay>> relays;
    std::list<Tcp::socket> fillers;
    std::thread thread;
};

CuttablePath::CuttablePath(Address const &server)
    : state_(std::make_unique<State>(server))
{
}

CuttablePath::~CuttablePath() = default;

Address const &CuttablePath::address() const
{
    return state_->address;
}

void CuttablePath::setCut(Cut cut)
{
    std::promise<void> done;
    asio::post(state_->io, [&] {
        state_->setCut(cut);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace Anvilyard::Tests
