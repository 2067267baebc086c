#include "Tests/NodeProcesses/SilentAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Anvilyard::Tests {

namespace {

/// More than a listening socket queues that asks for a queue of none.
constexpr int FillingConnections = 4;

} // namespace

SilentAddress::SilentAddress()
{
    sockaddr_in address{.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto *const generic = reinterpret_cast<sockaddr *>(&address);
    auto const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockets_.push_back(listener);
    if (::bind(listener, generic, size) != 0 || ::getsockname(listener, generic, &size) != 0 || ::listen(listener, 0) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot listen");
    for (int connection = 0; connection < FillingConnections; ++connection) {
        sockets_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        static_cast<void>(::connect(sockets_.back(), generic, size));
    }
    address_ = Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

SilentAddress::~SilentAddress()
{
    for (auto const socket : sockets_)
        ::close(socket);
}

Address const &SilentAddress::address() const
{
    return address_;
}

} // namespace Anvilyard::Tests
