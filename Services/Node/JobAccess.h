#pragma once

#include "LibHttp/HttpServer.h"
#include "LibJobs/Job.h"
#include "LibServing/RouteTable.h"

#include <optional>

namespace Anvilyard::Node {

/// Caller of the job API, as in AttemptParameters: empty for a caller without a key, unset if the desired state has no customers.
using JobCaller = std::optional<CustomerId>;

/// Whether a caller may read and end a job: every caller if batch jobs of the job's host are public, and otherwise those of the customer
/// that submitted it. A job that was submitted without a customer is open to the callers of all customers. `routes` may be null.
[[nodiscard]] bool mayAccess(Serving::RouteTable const *routes, Jobs::JobRecord const &job, JobCaller const &caller);

/// Customer that is sent to servers with the items of a job, as in AttemptParameters. `routes` may be null.
[[nodiscard]] std::optional<CustomerId> itemCustomer(Serving::RouteTable const *routes, Jobs::JobRecord const &job);

/// Marks the answer of a runner that has checked the caller of a job call. Earlier builds ignore the caller, and the entry must not use
/// their answers.
[[nodiscard]] Http::HttpResponse markAccessChecked(Http::HttpResponse response);
[[nodiscard]] bool isAccessChecked(Http::HttpResponse const &response);

/// Responds if a runner holds the job and the caller may not access it. Returns whether it did. `job` is null if the runner does not hold
/// it.
bool refuseForeign(Serving::RouteTable const *routes, Jobs::JobRecord const *job, JobCaller const &caller, Http::ResponseWriter &writer);
/// Responds to PeerJobAccess.
void respondWithAccess(Serving::RouteTable const *routes,
                       Jobs::JobRecord const *job,
                       JobCaller const &caller,
                       Http::ResponseWriter &writer);

/// Status of a runner that does not hold the job. The entry then reads the store.
constexpr int NotOwnerStatus = 421;
/// Status of a runner that holds a job which the caller may not access.
constexpr int ForeignJobStatus = 404;

} // namespace Anvilyard::Node
