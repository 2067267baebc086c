#pragma once

#include "LibCore/Random.h"
#include "LibHttp/Refusal.h"
#include "LibRouting/RetryPolicy.h"

#include <string>

/// All refusals of the entry in one place, so that they can be compared with docs/operators/refusals.md.
namespace Anvilyard::Entry::Refusals {

Http::Refusal unknownCaller();
Http::Refusal notFound();
Http::Refusal methodNotAllowed();
Http::Refusal malformedBody(std::string const &reason);
Http::Refusal malformedHeader(std::string const &header);
Http::Refusal modelNotFound(std::string const &model);
Http::Refusal serviceNotFound(std::string const &service);
Http::Refusal rulesNotInForce(std::chrono::milliseconds retryAfter);
Http::Refusal rateLimited(std::chrono::milliseconds retryAfter);
Http::Refusal overloaded(std::chrono::milliseconds retryAfter);
/// No server can be chosen, or no server that was tried could be reached.
Http::Refusal noServer(Http::RunState runState, std::chrono::milliseconds retryAfter);
Http::Refusal deadlinePassed(Http::RunState runState);
/// The request was sent, but no complete answer arrived.
Http::Refusal outcomeUnknown();
Http::Refusal backendFailed(Http::RunState runState, std::chrono::milliseconds retryAfter);
/// The refusal for a request whose attempts all ended without an answer that could be relayed.
Http::Refusal afterAttempts(Routing::Repeatability repeatability, Http::RunState runState, std::chrono::milliseconds retryAfter);
Http::Refusal streamBroken();
Http::Refusal storeUnavailable(std::chrono::milliseconds retryAfter);
Http::Refusal earlierOutcomeUnknown(std::chrono::milliseconds retryAfter);
Http::Refusal idempotencyConflict();
Http::Refusal jobsUnavailable(std::chrono::milliseconds retryAfter);

/// Returns a random delay between `minDelay` and three times `minDelay`, so that callers that are refused together do not retry
/// together.
std::chrono::milliseconds jitteredDelay(std::chrono::milliseconds minDelay, RandomSource &random);

} // namespace Anvilyard::Entry::Refusals
