#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Anvilyard::Http {

/// Socket types with the concrete executor type of the loop. Asio's default type-erased executor costs an allocation and a
/// virtual call for each operation, and relaying a token takes several operations.
using LoopSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
using LoopAcceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

} // namespace Anvilyard::Http
