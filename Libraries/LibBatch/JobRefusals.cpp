#include "LibBatch/JobRefusals.h"

namespace Anvilyard::Batch {

namespace {

constexpr std::chrono::seconds StoreRetryAfter{10};

} // namespace

Http::Refusal storeUnavailable(std::string message)
{
    return {
        .status = 503, .type = "server_error", .code = "store_unavailable", .message = std::move(message), .retryAfter = StoreRetryAfter};
}

Http::Refusal badRequest(std::string code, std::string message)
{
    return {.status = 400, .type = "invalid_request_error", .code = std::move(code), .message = std::move(message)};
}

Http::Refusal notFound(std::string message)
{
    return {.status = 404, .type = "invalid_request_error", .code = "not_found", .message = std::move(message)};
}

Http::Refusal conflict(std::string message)
{
    return {.status = 409, .type = "invalid_request_error", .code = "idempotency_conflict", .message = std::move(message)};
}

Http::Refusal outcomeUnknown(std::string message)
{
    return {.status = 503,
            .type = "server_error",
            .code = "outcome_unknown",
            .message = std::move(message),
            .runState = Http::RunState::MayHaveRun,
            .retryAfter = StoreRetryAfter};
}

} // namespace Anvilyard::Batch
