#pragma once

#include "LibHttp/LoopSocket.h"

#include <boost/asio/read.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

namespace Anvilyard::Http {

/// Reads the start of a chunked body and calls `next` once the buffer holds as many bytes as the smallest such body has. The parser of
/// Boost.Beast asserts that it is given as many when it continues a last chunk that no other chunk precedes. `next` must not read again
/// after an error, because Asio reports the end of a connection to one read only.
template<typename Parser, typename Next>
void readChunkStart(LoopSocket &socket, boost::beast::flat_buffer &buffer, Parser &parser, Next next)
{
    constexpr std::string_view SmallestBody = "0\r\n\r\n";
    if (buffer.size() >= SmallestBody.size())
        return next(boost::system::error_code());
    boost::asio::async_read(socket,
                            buffer.prepare(SmallestBody.size() - buffer.size()),
                            [&buffer, &parser, next = std::move(next)](boost::system::error_code error, std::size_t size) {
                                buffer.commit(size);
                                if (error == boost::asio::error::eof) {
                                    parser.put(buffer.data(), error);
                                    if (!error || error == boost::beast::http::error::need_more)
                                        error = boost::beast::http::error::partial_message;
                                }
                                next(error);
                            });
}

} // namespace Anvilyard::Http
