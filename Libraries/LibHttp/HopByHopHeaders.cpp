#include "LibHttp/HopByHopHeaders.h"

#include <algorithm>
#include <array>

namespace Anvilyard::Http {

namespace {

constexpr std::array<std::string_view, 10> HopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

/// Returns whether the `Connection` header lists the header as hop-by-hop.
bool isNamedByConnection(Headers const &headers, std::string_view name)
{
    auto list = headers.find("Connection").value_or("");
    while (!list.empty()) {
        auto const comma = std::min(list.find(','), list.size());
        auto token = list.substr(0, comma);
        list.remove_prefix(std::min(list.size(), comma + 1));
        token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
        token = token.substr(0, token.find_last_not_of(" \t") + 1);
        if (equalsIgnoringCase(token, name))
            return true;
    }
    return false;
}

} // namespace

bool isHopByHopHeader(Headers const &headers, std::string_view name)
{
    bool const isKnown =
        std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [&](auto known) { return equalsIgnoringCase(known, name); });
    return isKnown || isNamedByConnection(headers, name);
}

} // namespace Anvilyard::Http
