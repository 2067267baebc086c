#include "LibHttp/Refusal.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Anvilyard::Http {

std::string toJson(Refusal const &refusal)
{
    boost::json::value const json = {{"error",
                                      {{"type", refusal.type},
                                       {"code", refusal.code},
                                       {"message", refusal.message},
                                       {"not_run", refusal.runState == RunState::NotRun}}}};
    return boost::json::serialize(json);
}

HttpResponse toResponse(Refusal const &refusal)
{
    HttpResponse response;
    response.status = refusal.status;
    response.headers.set("Content-Type", "application/json");
    if (refusal.retryAfter) {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter);
        response.headers.set("Retry-After", std::to_string(std::max<std::int64_t>(1, seconds.count())));
    }
    response.body = toJson(refusal);
    return response;
}

} // namespace Anvilyard::Http
