#include "Services/Node/PeerPermitCall.h"

#include "LibServing/ServerLimitNews.h"
#include "Services/Node/PeerJobCalls.h"

#include <charconv>

namespace Anvilyard::Node {

namespace {

constexpr std::string_view PermitPath = "/permits";
constexpr int GrantedStatus = 200;
constexpr int DeniedStatus = 429;

} // namespace

bool isPeerPermitCall(Http::HttpRequest const &request)
{
    return request.path() == PermitPath;
}

Http::HttpRequest toRequest(PeerPermitCall const &call, Instant now)
{
    return {.method = "POST",
            .target = std::string(PermitPath) + "?urgency=" + std::to_string(static_cast<int>(call.urgency)),
            .body = Serving::encodeServerLimits({call.limit}, now)};
}

std::optional<PeerPermitCall> parsePeerPermitCall(Http::HttpRequest const &request, Instant now)
{
    auto const limits = Serving::decodeServerLimits(request.body, now);
    auto const urgency = readNumberParameter(request, "urgency");
    if (!limits || limits->size() != 1 || urgency >= Serving::UrgencyCount)
        return std::nullopt;
    return PeerPermitCall{.limit = limits->front(), .urgency = static_cast<Serving::Urgency>(urgency)};
}

Http::HttpResponse toResponse(Serving::Permit const &permit)
{
    auto const wait = std::chrono::ceil<std::chrono::milliseconds>(permit.wait);
    return {.status = permit.isGranted ? GrantedStatus : DeniedStatus, .body = std::to_string(wait.count())};
}

std::optional<Serving::Permit> parsePermit(Http::HttpResponse const &response)
{
    if (response.status == GrantedStatus)
        return Serving::Permit{.isGranted = true};
    std::int64_t wait = 0;
    auto const *const end = response.body.data() + response.body.size();
    if (response.status != DeniedStatus || std::from_chars(response.body.data(), end, wait).ptr != end)
        return std::nullopt;
    return Serving::Permit{.isGranted = false, .wait = std::chrono::milliseconds(wait)};
}

} // namespace Anvilyard::Node
