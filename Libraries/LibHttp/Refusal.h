#pragma once

#include "LibHttp/HttpMessage.h"

#include <optional>
#include <string>

namespace Anvilyard::Http {

/// Whether a refusal guarantees that no part of the request ran.
enum class RunState {
    NotRun,
    MayHaveRun,
};

/// An error response to a caller.
struct Refusal {
    int status = 500;
    /// OpenAI's error type, for example "invalid_request_error".
    std::string type;
    /// A stable code for programs, for example "model_not_found".
    std::string code;
    std::string message;
    RunState runState = RunState::NotRun;
    /// Sent as Retry-After, rounded up to full seconds.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Returns a response with the body `{"error": {"type", "code", "message", "not_run"}}`.
HttpResponse toResponse(Refusal const &refusal);
/// Returns only the body of toResponse(), for example for an error event in a stream.
std::string toJson(Refusal const &refusal);

} // namespace Anvilyard::Http
