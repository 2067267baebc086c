#include "Services/Entry/OnlineRequest.h"

#include "LibObserve/Events.h"

namespace Anvilyard::Entry {

OnlineRequest::~OnlineRequest()
{
    for (auto const &action : endCallbacks)
        action();
}

void OnlineRequest::addEntryHeaders(Http::Headers &headers) const
{
    headers.set("X-Request-Id", id.value());
}

void OnlineRequest::refuse(Http::Refusal const &refusal)
{
    if (isAnswered)
        return;
    isRefused = true;
    Observe::log(Observe::Events::EntryRequestRefused, {{"request", id.value()}, {"code", refusal.code}});
    if (span)
        span->tag("refused", refusal.code);
    respond(Http::toResponse(refusal));
}

void OnlineRequest::respond(Http::HttpResponse response)
{
    if (isAnswered)
        return;
    isAnswered = true;
    addEntryHeaders(response.headers);
    if (span)
        span->tag("status", std::to_string(response.status));
    writer->respond(std::move(response));
}

} // namespace Anvilyard::Entry
