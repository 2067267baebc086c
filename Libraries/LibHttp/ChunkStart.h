#pragma once

#include "LibHttp/LoopSocket.h"

#include <boost/asio/read.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string_view>

namespace Anvilyard::Http {

/// Reads the start of a chunked body and calls `next` once the buffer holds as many bytes as the smallest such body has. The parser of
/// Boost.Beast asserts that it is given as many when it continues a last chunk that no other chunk precedes. A failed read is not reported,
/// because the next one fails, too.
template<typename Next>
void readChunkStart(LoopSocket &socket, boost::beast::flat_buffer &buffer, Next next)
{
    constexpr std::string_view SmallestBody = "0\r\n\r\n";
    if (buffer.size() >= SmallestBody.size())
        return next();
    boost::asio::async_read(socket,
                            buffer.prepare(SmallestBody.size() - buffer.size()),
                            [&buffer, next = std::move(next)](boost::system::error_code, std::size_t size) {
                                buffer.commit(size);
                                next();
                            });
}

} // namespace Anvilyard::Http
