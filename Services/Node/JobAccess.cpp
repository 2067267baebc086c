#include "Services/Node/JobAccess.h"

namespace Anvilyard::Node {

namespace {

constexpr std::string_view CheckedHeader = "Job-Access-Checked";

} // namespace

bool mayAccess(Serving::RouteTable const *routes, Jobs::JobRecord const &job, JobCaller const &caller)
{
    if (!caller)
        return true;
    auto const *route = routes ? routes->findBatchRoute(job.host) : nullptr;
    if (route && route->isPublic)
        return true;
    return !caller->value().empty() && (!job.customer || *job.customer == *caller);
}

std::optional<CustomerId> itemCustomer(Serving::RouteTable const *routes, Jobs::JobRecord const &job)
{
    // The headers of an item may hold a key, which servers are not sent if there are customers.
    bool const hasCustomers = routes && routes->customers();
    return job.customer || !hasCustomers ? job.customer : CustomerId();
}

Http::HttpResponse markAccessChecked(Http::HttpResponse response)
{
    response.headers.set(CheckedHeader, "1");
    return response;
}

bool isAccessChecked(Http::HttpResponse const &response)
{
    return response.headers.contains(CheckedHeader);
}

bool refuseForeign(Serving::RouteTable const *routes, Jobs::JobRecord const *job, JobCaller const &caller, Http::ResponseWriter &writer)
{
    if (!job || mayAccess(routes, *job, caller))
        return false;
    writer.respond(markAccessChecked({.status = ForeignJobStatus}));
    return true;
}

void respondWithAccess(Serving::RouteTable const *routes, Jobs::JobRecord const *job, JobCaller const &caller, Http::ResponseWriter &writer)
{
    if (!refuseForeign(routes, job, caller, writer))
        writer.respond(markAccessChecked({.status = job ? 200 : NotOwnerStatus}));
}

} // namespace Anvilyard::Node
