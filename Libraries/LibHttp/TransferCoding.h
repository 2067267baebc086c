#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace Anvilyard::Http {

/// Returns whether the message has a transfer coding other than chunked. The end and the content of such a body cannot be
/// determined here.
template<typename Fields>
bool hasUnknownCoding(Fields const &fields)
{
    auto const [first, last] = fields.equal_range(boost::beast::http::field::transfer_encoding);
    if (first == last)
        return false;
    return std::next(first) != last || !boost::beast::iequals(first->value(), "chunked");
}

} // namespace Anvilyard::Http
