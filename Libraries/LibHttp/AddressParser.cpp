#include "LibHttp/AddressParser.h"

#include "LibHttp/HttpError.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>

namespace Anvilyard::Http {

Result<boost::asio::ip::tcp::endpoint> parseAddress(Address const &address)
{
    std::string_view const text = address.value();
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure(HttpError::BadAddress, address.value());
    auto host = std::string(text.substr(0, colon));
    auto const portText = text.substr(colon + 1);
    bool const isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    auto const [end, portError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code hostError;
    auto const number = boost::asio::ip::make_address(host, hostError);
    // Without brackets the last group of an IPv6 address cannot be distinguished from a port.
    if (hostError || number.is_v6() != isBracketed || portError != std::errc{} || end != portText.data() + portText.size())
        return failure(HttpError::BadAddress, address.value());
    return boost::asio::ip::tcp::endpoint(number, port);
}

Address formatAddress(boost::asio::ip::tcp::endpoint const &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return Address(text.str());
}

} // namespace Anvilyard::Http
