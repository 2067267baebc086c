#include "Services/Node/DatagramSocket.h"

#include "LibHttp/AddressParser.h"
#include "LibHttp/EventLoopContext.h"
#include "LibHttp/HttpError.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <variant>

namespace Anvilyard::Node {

namespace asio = boost::asio;
using Http::HttpError;

namespace {

class AsioDatagramSocket final : public DatagramSocket
{
public:
    AsioDatagramSocket(Http::EventLoop &loop, OnDatagram onDatagram)
        : socket_(loop.context().io)
        , onDatagram_(std::move(onDatagram))
    {
    }

    Result<std::monostate> listen(Address const &address)
    {
        auto const endpoint = Http::parseAddress(address);
        if (!endpoint)
            return tl::unexpected(endpoint.error());
        asio::ip::udp::endpoint const local(endpoint->address(), endpoint->port());
        boost::system::error_code error;
        socket_.open(local.protocol(), error);
        if (!error)
            socket_.bind(local, error);
        if (!error)
            socket_.non_blocking(true, error);
        if (error)
            return failure(HttpError::BindFailed, address.value() + " (UDP): " + error.message());
        receive();
        return std::monostate{};
    }

    void send(Address const &to, std::string_view content) override
    {
        auto const endpoint = Http::parseAddress(to);
        if (!endpoint)
            return;
        boost::system::error_code dropped;
        socket_.send_to(asio::buffer(content.data(), content.size()), {endpoint->address(), endpoint->port()}, 0, dropped);
    }

    [[nodiscard]] Address address() const override
    {
        boost::system::error_code error;
        auto const local = socket_.local_endpoint(error);
        return Http::formatAddress({local.address(), local.port()});
    }

private:
    static constexpr std::size_t MaxDatagramBytes = 16 * 1024;
    /// Datagrams received per turn of the event loop. The limit keeps a flood of datagrams from delaying requests.
    static constexpr int MaxDatagramsPerTurn = 64;

    void receive()
    {
        socket_.async_wait(asio::socket_base::wait_read, [this](boost::system::error_code error) {
            if (error == asio::error::operation_aborted)
                return;
            try {
                drain();
            } catch (...) {
                // The handler failed on one datagram. Without another wait, this instance would receive no further one.
                receive();
                throw;
            }
            receive();
        });
    }

    void drain()
    {
        for (int count = 0; count < MaxDatagramsPerTurn; ++count) {
            asio::ip::udp::endpoint from;
            boost::system::error_code error;
            auto const size = socket_.receive_from(asio::buffer(buffer_), from, 0, error);
            if (error == asio::error::would_block)
                return;
            // Other errors report that earlier datagrams could not be delivered.
            if (!error)
                onDatagram_({buffer_.data(), size});
        }
    }

    asio::ip::udp::socket socket_;
    OnDatagram onDatagram_;
    std::array<char, MaxDatagramBytes> buffer_{};
};

} // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::open(Http::EventLoop &loop, Address const &listen, OnDatagram onDatagram)
{
    auto socket = std::make_unique<AsioDatagramSocket>(loop, std::move(onDatagram));
    if (auto listening = socket->listen(listen); !listening)
        return tl::unexpected(listening.error());
    return socket;
}

} // namespace Anvilyard::Node
