#include "Tests/LibHttp/RawConnection.h"

#include "LibHttp/AddressParser.h"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>
#include <sys/time.h>

namespace Anvilyard::Tests {

namespace asio = boost::asio;

namespace {

constexpr timeval ReadLimit{.tv_sec = 20, .tv_usec = 0};

} // namespace

struct RawConnection::Socket {
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
};

RawConnection::RawConnection(Address const &server)
    : socket_(std::make_unique<Socket>())
{
    auto &socket = socket_->socket;
    socket.connect(*Http::parseAddress(server));
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &ReadLimit, sizeof ReadLimit);
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &ReadLimit, sizeof ReadLimit);
}

RawConnection::~RawConnection() = default;

bool RawConnection::send(std::string_view bytes)
{
    boost::system::error_code error;
    asio::write(socket_->socket, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

void RawConnection::finishSending()
{
    boost::system::error_code ignored;
    socket_->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

bool RawConnection::readSome(std::string &received)
{
    std::array<char, 16 * 1024> piece{};
    // Asio's read function ignores the receive timeout of the socket.
    auto const size = ::recv(socket_->socket.native_handle(), piece.data(), piece.size(), 0);
    if (size > 0) {
        received.append(piece.data(), static_cast<std::size_t>(size));
        return true;
    }
    isReset_ = size < 0 && errno == ECONNRESET;
    isEnded_ = size == 0 || isReset_;
    return false;
}

std::string RawConnection::readUntil(std::string_view text)
{
    std::string received;
    while (received.find(text) == std::string::npos && readSome(received))
        continue;
    return received;
}

std::string RawConnection::readPiece()
{
    std::string received;
    readSome(received);
    return received;
}

std::string RawConnection::readAll()
{
    std::string received;
    while (readSome(received))
        continue;
    return received;
}

bool RawConnection::isEnded() const
{
    return isEnded_;
}

bool RawConnection::isReset() const
{
    return isReset_;
}

} // namespace Anvilyard::Tests
