#pragma once

#include "LibHttp/Refusal.h"
#include "Services/Node/ServingProtocol.h"

/// All refusals of a node in one place, for comparison with docs/operators/refusals.md.
namespace Anvilyard::Node::Refusals {

/// Converts a refusal to a response. The protocol formats Retry-After.
Http::HttpResponse write(Http::Refusal const &refusal, ServingProtocol const &protocol);

Http::Refusal badRequest(std::string const &reason);
Http::Refusal noRoute();
/// The caller presents no key, or several.
Http::Refusal keyMissing();
/// No customer holds the key that the caller presents.
Http::Refusal keyUnknown();
Http::Refusal notReady();
/// This instance exits before the request could end.
Http::Refusal stopping();
Http::Refusal overloaded(Duration retryAfter);
/// The customer has more than its share of the requests while capacity is short.
Http::Refusal overShare(Duration retryAfter);
/// All servers of the service have limits, and these are reached.
Http::Refusal limitsReached(Duration retryAfter);
/// The customer has reached its rate limit.
Http::Refusal customerLimitReached(Duration retryAfter);
Http::Refusal noServer();
/// It is not known which software version began the stream that the caller takes up, and will not be.
Http::Refusal originUnknown();
/// It cannot be found out now which software version began the stream.
Http::Refusal originUnreachable();
/// No server of the software version that began the stream is left.
Http::Refusal versionGone();
Http::Refusal notServed();
/// Part of the request's prompt crashes the servers that run it.
Http::Refusal promptQuarantined(Duration retryAfter);
/// Requests with the same path, caller and body crash the servers that run them.
Http::Refusal requestQuarantined(Duration retryAfter, Serving::RequestFingerprint fingerprint);
Http::Refusal outcomeUnknown();
Http::Refusal timedOut(Http::RunState runState);
Http::Refusal jobNotFound();
/// Another customer submitted a job under this id.
Http::Refusal jobIdInUse();
Http::Refusal itemNotFound();
Http::Refusal overQuota(Duration retryAfter);
/// The runner that admits jobs cannot be reached.
Http::Refusal quotaUnknown();
Http::Refusal storeUnavailable();
Http::Refusal storeOutcomeUnknown();

} // namespace Anvilyard::Node::Refusals
