#pragma once

#include "LibHttp/LoopSocket.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace Anvilyard::Http {

/// A connection to a server, with the bytes read but not parsed yet.
struct ClientConnection {
    /// `maxBufferBytes`: limit of a head, the line of a chunk or the trailers, which are parsed only once they are complete.
    ClientConnection(boost::asio::io_context &io, std::size_t maxBufferBytes)
        : socket(io)
        , buffer(maxBufferBytes)
    {
    }

    LoopSocket socket;
    boost::beast::flat_buffer buffer;
};

} // namespace Anvilyard::Http
