#include "Services/Entry/ServerProbe.h"

namespace Anvilyard::Entry {

namespace {

constexpr Duration ProbeTimeout = 2s;
constexpr int FirstServerError = 500;

} // namespace

void probeServer(Http::HttpClient &client, Address const &server, std::function<void(Routing::ProbeOutcome)> done)
{
    Http::ClientRequest request{
        .server = server,
        .request = {.method = "GET", .target = "/health"},
        .deadline = readLocalClock() + ProbeTimeout,
        .connection = Http::ClientRequest::Connection::FreshOnly,
    };
    client.fetch(std::move(request), [done = std::move(done)](auto const &response) {
        if (response)
            return done(response->status < FirstServerError ? Routing::ProbeOutcome::Answered : Routing::ProbeOutcome::Unhealthy);
        bool const isConnected = response.error().reached != Http::Reached::NothingSent;
        done(isConnected ? Routing::ProbeOutcome::Unhealthy : Routing::ProbeOutcome::Failed);
    });
}

} // namespace Anvilyard::Entry
