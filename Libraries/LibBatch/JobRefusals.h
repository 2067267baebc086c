#pragma once

#include "LibHttp/Refusal.h"

#include <string>

namespace Anvilyard::Batch {

/// Refusals shared by several requests of the batch interface.
Http::Refusal storeUnavailable(std::string message);
Http::Refusal badRequest(std::string code, std::string message);
/// Also returned to a customer that requests another customer's object.
Http::Refusal notFound(std::string message);
Http::Refusal conflict(std::string message);
/// Reports that the store may or may not have applied the change.
Http::Refusal outcomeUnknown(std::string message);

} // namespace Anvilyard::Batch
