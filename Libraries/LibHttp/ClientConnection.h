#pragma once

#include "LibHttp/HttpClient.h"
#include "LibHttp/LoopSocket.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>

namespace Anvilyard::Http {

/// A connection to a server, with the bytes read but not parsed yet.
struct ClientConnection {
    /// `maxBufferBytes`: limit of a head, the line of a chunk or the trailers, which are parsed only once they are complete.
    ClientConnection(boost::asio::io_context &io, std::size_t maxBufferBytes)
        : socket(io)
        , buffer(maxBufferBytes)
    {
    }

    void onSent(RequestIdentity identity)
    {
        if (lastSent.size() == MaxLastSent)
            lastSent.pop_front();
        lastSent.push_back(identity);
    }

    [[nodiscard]] bool hasCarried(RequestIdentity identity) const
    {
        return std::ranges::find(lastSent, identity) != lastSent.end();
    }

    /// A surplus response comes in place of one of the next.
    static constexpr std::size_t MaxLastSent = 32;

    LoopSocket socket;
    boost::beast::flat_buffer buffer;
    std::deque<RequestIdentity> lastSent;
};

} // namespace Anvilyard::Http
