#pragma once

#include "LibRouting/RetryPolicy.h"
#include "LibRouting/ServerHealth.h"

#include <cstdint>
#include <string_view>

/// Functions that extract control information from a backend server's answer.
namespace Anvilyard::Entry {

/// Returns whether an error answer states, by the `not_run` field of its error object, that nothing ran.
Routing::NotRunEvidence parseNotRunEvidence(std::string_view body);

/// Returns the `completion_tokens` count from the "usage" part of a complete answer, or 0 if there is none.
std::uint64_t parseCompletionTokens(std::string_view body);

/// Status 503 means that a server is busy and does not count as an error.
Routing::ServerEvidence classifyStatus(int status);

} // namespace Anvilyard::Entry
