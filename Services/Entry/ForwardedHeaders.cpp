#include "Services/Entry/ForwardedHeaders.h"

#include "LibHttp/HopByHopHeaders.h"

#include <algorithm>
#include <array>

namespace Anvilyard::Entry {

namespace {

/// Request headers that the entry consumes or sets itself, and therefore does not forward.
constexpr std::array<std::string_view, 5> EntryHeaders = {"Host", "Authorization", "Expect", "traceparent", "X-Request-Id"};

template<std::size_t Count>
bool isAmong(std::array<std::string_view, Count> const &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [&](auto known) { return Http::equalsIgnoringCase(known, name); });
}

} // namespace

Http::HttpRequest toBackendRequest(OnlineRequest const &request, std::string traceparent)
{
    Http::HttpRequest forwarded{.method = request.http.method, .target = request.backendTarget, .body = request.http.body};
    for (auto const &field : request.http.headers.fields()) {
        // The entry parses the engines' event streams and cannot parse compressed ones.
        bool const isUnwanted = request.kind == Rules::PoolKind::ModelEngine && Http::equalsIgnoringCase(field.name, "Accept-Encoding");
        if (!isUnwanted && !isAmong(EntryHeaders, field.name) && !Http::isHopByHopHeader(request.http.headers, field.name))
            forwarded.headers.append(field);
    }
    forwarded.headers.append({"X-Request-Id", request.id.value()});
    forwarded.headers.append({"traceparent", std::move(traceparent)});
    return forwarded;
}

Http::Headers toCallerHeaders(OnlineRequest const &request, Http::Headers const &headers)
{
    Http::Headers forwarded;
    for (auto const &field : headers.fields()) {
        if (!Http::isHopByHopHeader(headers, field.name))
            forwarded.append(field);
    }
    request.addEntryHeaders(forwarded);
    return forwarded;
}

} // namespace Anvilyard::Entry
