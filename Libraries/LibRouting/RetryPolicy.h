#pragma once

#include "LibHttp/HttpClient.h"
#include "LibHttp/Refusal.h"

#include <variant>

namespace Anvilyard::Routing {

/// Consequence of sending a request a second time.
enum class Repeatability {
    /// The caller forbade a second run (`Anvilyard-Repeat: never`).
    Never,
    /// A method with side effects, such as POST to a plain service.
    Unsafe,
    /// A method that HTTP defines as idempotent.
    Idempotent,
    /// A completion: running it again uses capacity but has no side effects.
    Generation,
};

/// Part of the response that was already relayed to the caller.
enum class Relayed {
    Nothing,
    Part,
};

/// The exchange ended before the response was complete.
struct ExchangeFailed {
    Http::HttpError error = Http::HttpError::ClosedEarly;
    Http::Reached reached = Http::Reached::NothingSent;
    Http::ConnectionUse connection = Http::ConnectionUse::Fresh;
    Relayed relayed = Relayed::Nothing;
};

/// Whether a response states that the request was not run.
enum class NotRunEvidence {
    None,
    Stated,
    /// The protocol states it explicitly, and this response does not contain the statement.
    Withheld,
};

/// The server answered with an error status, and nothing of the response was relayed yet.
struct ServerErrorResponse {
    int status = 0;
    NotRunEvidence evidence = NotRunEvidence::None;
};

using AttemptEnd = std::variant<ExchangeFailed, ServerErrorResponse>;

enum class NextStep {
    /// The connection may be at fault rather than the server: send to the same server on a new connection.
    SendOnFreshConnection,
    SendToOtherServer,
    /// Ask the engine to resume the stream after the last token relayed.
    ResumeStream,
    /// Relay the server's own error response to the caller.
    RelayResponse,
    Refuse,
    /// The caller has received part of the response: end it in such a way that it cannot be mistaken for a complete one.
    AbortResponse,
};

/// What can be done with a request that its server fails.
enum class SendsLeft {
    /// It can be sent to another server.
    Some,
    None,
};

/// Returns whether the request may have run, given the end of an attempt.
Http::RunState runStateAfter(AttemptEnd const &end);

/// Returns a step that is safe after an attempt. The caller checks whether time and retry budget allow it. Performs no I/O.
NextStep nextStepAfter(AttemptEnd const &end, Repeatability repeatability);

/// Returns whether a step may run the request again on a server and therefore needs the retry budget.
bool isRetry(NextStep step);

/// Name for logs.
char const *nameOf(NextStep step);

} // namespace Anvilyard::Routing
