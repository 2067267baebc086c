#pragma once

#include "LibCore/Ids.h"
#include "LibCore/Result.h"

#include <boost/asio/ip/tcp.hpp>

namespace Anvilyard::Http {

/// Parses addresses such as "127.0.0.1:80" or "[::1]:80". Host names are not resolved.
Result<boost::asio::ip::tcp::endpoint> parseAddress(Address const &address);

Address formatAddress(boost::asio::ip::tcp::endpoint const &endpoint);

} // namespace Anvilyard::Http
