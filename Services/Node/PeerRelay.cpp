#include "Services/Node/PeerRelay.h"

#include <charconv>

namespace Anvilyard::Node {

namespace {

constexpr std::string_view StateHeader = "Relay-State-Version";
constexpr std::string_view PoolHeader = "Relay-Pool";
constexpr std::string_view VersionHeader = "Relay-Software-Version";
constexpr std::string_view AuthenticatedHeader = "Relay-Authenticated";
constexpr std::string_view RefusalHeader = "Relay-Refusal";
constexpr int UnableStatus = 503;

std::optional<std::string> take(Http::Headers &headers, std::string_view name)
{
    auto const found = headers.find(name);
    if (!found)
        return std::nullopt;
    std::string value(*found);
    headers.remove(name);
    return value;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

} // namespace

void addRelayTerms(Http::HttpRequest &request, RelayTerms const &terms)
{
    // A caller may have sent headers of these names.
    for (auto const name : {StateHeader, PoolHeader, VersionHeader, AuthenticatedHeader})
        take(request.headers, name);
    request.headers.append({std::string(StateHeader), std::to_string(terms.stateVersion.value())});
    request.headers.append({std::string(PoolHeader), terms.pool.value()});
    if (terms.version)
        request.headers.append({std::string(VersionHeader), terms.version->value()});
    if (terms.isAuthenticated)
        request.headers.append({std::string(AuthenticatedHeader), "1"});
}

std::optional<RelayTerms> takeRelayTerms(Http::HttpRequest &request)
{
    auto const state = take(request.headers, StateHeader);
    auto pool = take(request.headers, PoolHeader);
    auto version = take(request.headers, VersionHeader);
    bool const isAuthenticated = take(request.headers, AuthenticatedHeader) == "1";
    auto const number = state ? parseNumber(*state) : std::nullopt;
    if (!number || !pool)
        return std::nullopt;
    RelayTerms terms{
        .stateVersion = Serving::StateVersion(*number), .pool = PoolName(std::move(*pool)), .isAuthenticated = isAuthenticated};
    if (version)
        terms.version = Serving::SoftwareVersion(std::move(*version));
    return terms;
}

Http::HttpResponse relayRefusal(std::string reason)
{
    return {.status = UnableStatus, .headers = {{std::string(RefusalHeader), std::move(reason)}}};
}

std::optional<std::string> readRelayRefusal(Http::Headers const &headers)
{
    auto const reason = headers.find(RefusalHeader);
    return reason ? std::optional(std::string(*reason)) : std::nullopt;
}

} // namespace Anvilyard::Node
